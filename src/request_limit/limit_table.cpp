#include "request_limit/limit_table.hpp"

#include <algorithm>
#include <limits>

namespace primrosedeal::request_limit
{

namespace
{

/// Requests a second that the state permits.
auto permitted(limit_state const& it) -> double
{
    return it.limit ? it.limit->value()
                    : std::numeric_limits<double>::infinity();
}

} // namespace

auto limit_table::observe(response const& it, time_point now) -> bool
{
    auto const state =
        limit_state{it.process_start, it.limit, it.limit ? now : it.sent_at};
    auto const found = limits_.find(it.target);
    if (found == limits_.end())
    {
        if (it.limit)
        {
            put(it.target, {state, now, true});
        }
        return it.limit.has_value();
    }
    auto const before = found->second.state;
    if (it.process_start < before.process_start)
    {
        return false;
    }
    auto const same_process = it.process_start == before.process_start;
    auto const late = before.limit && it.sent_at < before.observed_at;
    if (same_process && late && permitted(state) > permitted(before))
    {
        return false;
    }
    if (same_process && !before.limit && !it.limit)
    {
        return false;
    }
    auto const unchanged = same_process && before.limit == it.limit &&
                           found->second.own &&
                           now - found->second.recorded_at < report_period_;
    put(it.target, {state, unchanged ? found->second.recorded_at : now, true});
    return before.limit != it.limit;
}

auto limit_table::merge(reported_limit const& it, time_point now) -> bool
{
    if (now - it.state.observed_at > report_lifetime)
    {
        return false;
    }
    auto const found = limits_.find(it.target);
    if (found == limits_.end())
    {
        put(it.target, {it.state, now, false});
        return it.state.limit.has_value();
    }
    auto const before = found->second.state;
    auto const newer = it.state.process_start > before.process_start ||
                       (it.state.process_start == before.process_start &&
                        (it.state.observed_at > before.observed_at ||
                         (it.state.observed_at == before.observed_at &&
                          permitted(it.state) < permitted(before))));
    if (!newer)
    {
        return false;
    }
    auto const unchanged = it.state.process_start == before.process_start &&
                           it.state.limit == before.limit &&
                           found->second.own &&
                           now - found->second.recorded_at < report_period_;
    put(it.target, unchanged ? entry{it.state, found->second.recorded_at, true}
                             : entry{it.state, now, false});
    return before.limit != it.state.limit;
}

void limit_table::put(target_id const& id, entry const& it)
{
    if (limits_.size() >= max_limits && !limits_.contains(id))
    {
        limits_.erase(std::min_element(limits_.begin(), limits_.end(),
                                       [](auto const& a, auto const& b) {
                                           return a.second.state.observed_at <
                                                  b.second.state.observed_at;
                                       }));
    }
    limits_[id] = it;
}

auto limit_table::find(target_id const& id, incarnation process_start) const
    -> std::optional<limit_state>
{
    auto const found = limits_.find(id);
    if (found == limits_.end() || !found->second.state.limit ||
        found->second.state.process_start != process_start)
    {
        return std::nullopt;
    }
    return found->second.state;
}

auto limit_table::ended(target_id const& id, incarnation process_start) const
    -> bool
{
    auto const found = limits_.find(id);
    return found != limits_.end() && !found->second.state.limit &&
           found->second.state.process_start == process_start;
}

auto limit_table::report(time_point now) const -> std::vector<reported_limit>
{
    auto out = std::vector<reported_limit>{};
    for (auto const& [id, it] : limits_)
    {
        if (it.own && now - it.state.observed_at <= report_lifetime)
        {
            out.push_back({id, it.state, it.recorded_at});
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](auto const& a, auto const& b)
                     { return a.state.observed_at > b.state.observed_at; });
    out.resize(std::min(out.size(), max_reported_limits));
    return out;
}

void limit_table::remove_target(target_id const& id)
{
    limits_.erase(id);
}

void limit_table::expire(time_point now)
{
    std::erase_if(limits_,
                  [&](auto const& it)
                  {
                      auto const& state = it.second.state;
                      return !state.limit &&
                             now - state.observed_at > 2 * report_lifetime;
                  });
}

} // namespace primrosedeal::request_limit
