#include "routing/load_view.hpp"

#include <algorithm>

// A report received at time t describes the target at some time in
// [t - lag, t]. It cannot include own events after t, it includes all before
// t - lag, and events in between are weighted linearly. An event's weight
// therefore falls from 1 to 0 as newer reports arrive, not as time passes.

namespace primrosedeal::routing
{

void load_view::reported(target_id const& target, load_report report)
{
    auto& it = entries_[target];
    it.report = report;
    auto const covered = report.at - settings_.report_lag;
    while (!it.events.empty() && it.events.front().at <= covered)
    {
        it.events.pop_front();
    }
}

void load_view::add(target_id const& target, time_point now, int change)
{
    auto& it = entries_[target];
    it.events.push_back({now, change});
    if (it.events.size() > settings_.max_events)
    {
        it.events.pop_front();
    }
}

void load_view::dispatched(target_id const& target, time_point now)
{
    add(target, now, 1);
    ++entries_[target].in_flight;
}

void load_view::finished(target_id const& target, time_point now)
{
    auto const it = entries_.find(target);
    if (it == entries_.end() || it->second.in_flight == 0)
    {
        return;
    }
    add(target, now, -1);
    --it->second.in_flight;
}

void load_view::remove_target(target_id const& target)
{
    entries_.erase(target);
}

auto load_view::expected(target_id const& target, time_point now) const
    -> double
{
    auto const found = entries_.find(target);
    if (found == entries_.end())
    {
        return 0;
    }
    auto const& it = found->second;
    auto const own = static_cast<double>(it.in_flight);
    if (!it.report || now - it.report->at > settings_.report_expiry)
    {
        return own;
    }
    auto load = static_cast<double>(it.report->running + it.report->waiting);
    auto const lag = std::max(to_seconds(settings_.report_lag), 1e-6);
    for (auto const& each : it.events)
    {
        auto const age = to_seconds(it.report->at - each.at);
        load += each.change * std::clamp(1.0 - age / lag, 0.0, 1.0);
    }
    return std::max(load, own);
}

auto load_view::in_flight(target_id const& target) const -> std::uint32_t
{
    auto const it = entries_.find(target);
    return it == entries_.end() ? 0 : it->second.in_flight;
}

} // namespace primrosedeal::routing
