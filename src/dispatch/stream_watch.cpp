#include "dispatch/stream_watch.hpp"

#include "core/part_of.hpp"

#include <algorithm>

namespace primrosedeal::dispatch
{

namespace
{

/// Silence since `from`, probed once at `probe_at` and ended at `leave_at`.
auto between_events(stream_facts const& it, time_point from,
                    duration probe_after, duration leave_after, time_point now)
    -> watch_step
{
    if (now >= from + leave_after)
    {
        return leave_target{};
    }
    if (now < from + probe_after)
    {
        return keep_waiting{from + probe_after};
    }
    if (!it.probed_at || *it.probed_at < from)
    {
        return probe_target{};
    }
    return keep_waiting{from + leave_after};
}

auto before_first_event(watch_limits const& limits, stream_facts const& it,
                        time_point now) -> watch_step
{
    // Moving costs a whole reading of the prompt, so it is tried once; the
    // probes go on.
    auto const early =
        it.sent_at + part_of(it.expected_first, limits.first_patience);
    auto const in_time =
        early + part_of(it.expected_first, limits.time_to_read) <=
        it.first_event_due;
    auto const leave_at = in_time ? early : it.first_event_due;
    auto const may_leave = !it.moved_before && leave_at > it.sent_at;
    if (may_leave && now >= leave_at)
    {
        return leave_target{};
    }
    auto const probe_at =
        std::max(it.sent_at + limits.first_probe_after,
                 it.probed_at.value_or(it.sent_at) + limits.first_probe_period);
    if (now >= probe_at)
    {
        return probe_target{};
    }
    return keep_waiting{may_leave ? std::min(probe_at, leave_at) : probe_at};
}

} // namespace

auto check_stream(watch_limits const& limits, stream_facts const& it,
                  time_point now) -> watch_step
{
    auto const gap =
        it.gap_objective > 0s ? it.gap_objective : limits.default_gap;
    if (it.last_event)
    {
        return between_events(it, *it.last_event,
                              part_of(gap, limits.probe_after),
                              part_of(gap, limits.leave_after), now);
    }
    if (it.warm)
    {
        return between_events(it, it.sent_at, part_of(gap, limits.probe_after),
                              limits.warm_patience, now);
    }
    return before_first_event(limits, it, now);
}

} // namespace primrosedeal::dispatch
