#include "core/part_of.hpp"
#include "rollout/rollout_table.hpp"

#include <algorithm>
#include <utility>

// Brings a rollout up to date: evaluation, phases, completion.
namespace primrosedeal::rollout
{

namespace
{

/// Part of the time to the deadline in which a version is observed before it
/// can be completed, since it may turn bad late. Enough is left for a known
/// host that is lost then, of 16 s.
constexpr auto observed_until = 0.6;

} // namespace

auto rollout_table::hosts_moved(service_rollout const& it,
                                fleet_state const& fleet) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        fleet.heard.begin(), fleet.heard.end(),
        [&](host_id const& host)
        {
            auto const found = it.others.find(host);
            return found != it.others.end() && found->second.it.whole;
        }));
}

auto rollout_table::may_complete(service_rollout& it, fleet_state const& fleet,
                                 time_point now) -> bool
{
    auto const quiet = hosts_moved(it, fleet) == fleet.heard.size() &&
                       fleet.all_heard && it.view.target_usable &&
                       it.view.outstanding_at_others == 0;
    if (!quiet)
    {
        it.quiet_since.reset();
        return false;
    }
    it.quiet_since = it.quiet_since.value_or(now);
    return now - *it.quiet_since >= least_quiet_time;
}

void rollout_table::update(service_id const& service, service_view const& view,
                           fleet_state const& fleet, time_point now)
{
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return;
    }
    auto& it = found->second;
    hosts_ = std::max(fleet.known_hosts, fleet.heard.size() + 1);
    rank_ = fleet.rank;
    it.view = view;
    if (has_ended(it.at))
    {
        return;
    }
    auto const beside = std::holds_alternative<waiting>(it.at) ||
                        std::holds_alternative<limited>(it.at);
    auto const all = all_evidence(it, now);
    if (auto const fault = find_fault(all, beside))
    {
        auto why = change{};
        why.why = fault;
        enter(service, it, reverted{}, std::move(why), now);
        return;
    }
    if (!it.usable_since && (!view.target_usable || view.others.empty()))
    {
        // Nothing can be moved yet. Where no other version is listed, the
        // version serves already.
        if (view.target_usable && may_complete(it, fleet, now))
        {
            enter(service, it, finished{}, {}, now);
        }
        else if (!view.target_usable && now - it.ordered_at >= it.it.length)
        {
            enter(service, it, reverted{}, {}, now);
        }
        return;
    }
    it.usable_since = it.usable_since.value_or(now);
    advance(service, it, fleet, responses_of_target(all), now);
}

void rollout_table::advance(service_id const& service, service_rollout& it,
                            fleet_state const& fleet, double responses,
                            time_point now)
{
    auto const length = it.it.length;
    auto const heard = fleet.heard.size() + 1;
    auto at = progress{};
    // Hosts see the first target at different times; short differences are
    // ignored, so that their phases agree.
    constexpr auto late_part = 8;
    auto const begin = *it.usable_since - it.ordered_at > length / late_part
                           ? *it.usable_since
                           : it.ordered_at;
    at.elapsed = now - begin;
    // Targets that are late get some time, though the deadline passes.
    constexpr auto least_part = 4;
    at.length = std::max(it.ordered_at + length - begin, length / least_part);
    at.in_phase = now - it.phase_since;
    at.responses = responses;
    at.others_heard = 2 * heard >= hosts_;
    auto next = next_phase(it.at, at);
    if (at.others_heard && it.view.target_usable && heard > 1 &&
        2 * hosts_moved(it, fleet) >= heard)
    {
        // This host has started late, or was cut off.
        next = whole{};
    }
    if (next != it.at)
    {
        enter(service, it, next, {}, now);
    }
    auto const observed_enough =
        at.elapsed >= part_of(at.length, observed_until);
    if (std::holds_alternative<whole>(it.at) && at.others_heard &&
        may_complete(it, fleet, now) && observed_enough)
    {
        enter(service, it, finished{}, {}, now);
    }
}

} // namespace primrosedeal::rollout
