#include "dispatch/stream_watch.hpp"

#include "core/part_of.hpp"

#include <algorithm>

namespace primrosedeal::dispatch
{

namespace
{

/// Silence that ends the attempt; `first` ends the first one of a request.
auto silence_limit(watch_limits const& limits, stream_facts const& it,
                   duration first) -> duration
{
    constexpr auto max_doublings = 3U;
    auto const grown =
        first * (1 << std::min(it.silent_attempts, max_doublings));
    return it.last_run ? std::max(grown, limits.last_run_silence) : grown;
}

auto unreachable(watch_limits const& limits, stream_facts const& it,
                 time_point now) -> bool
{
    auto const tolerated = it.last_run ? limits.last_run_silence : duration{0};
    return it.unreachable_since && now >= *it.unreachable_since + tolerated;
}

/// Ends an attempt that has been silent since `from` for long enough, once its
/// target is known to read the close.
auto leave(watch_limits const& limits, stream_facts const& it, time_point from,
           time_point now) -> watch_step
{
    auto const last_sign = std::max(from, it.answered_at.value_or(from));
    auto const answers =
        last_sign > from && now < last_sign + limits.answer_validity;
    auto const give_up_at = last_sign + limits.last_run_silence;
    if (!it.answers_queries || answers || now >= give_up_at)
    {
        return end_attempt{};
    }
    auto const asked = it.probed_at && last_sign < *it.probed_at;
    auto const query_at = asked ? *it.probed_at + limits.query_period : now;
    if (now >= query_at)
    {
        return await_answer{true, now};
    }
    return await_answer{false, std::min(query_at, give_up_at)};
}

/// Probes the target once after `probe_after` of silence since `from`, and ends
/// the attempt after `end_after`.
auto between_events(watch_limits const& limits, stream_facts const& it,
                    time_point from, duration probe_after, duration end_after,
                    time_point now) -> watch_step
{
    if (now >= from + end_after)
    {
        return leave(limits, it, from, now);
    }
    if (now < from + probe_after)
    {
        return keep_waiting{from + probe_after};
    }
    if (!it.probed_at || *it.probed_at < from)
    {
        return probe_target{};
    }
    return keep_waiting{from + end_after};
}

/// Time by which the first event has to arrive from a target that accepts
/// connections.
auto first_event_timeout_at(watch_limits const& limits, stream_facts const& it,
                            time_point connected_at) -> time_point
{
    auto const timeout =
        part_of(it.expected_first, limits.first_event_timeout_factor);
    auto const can_prefill_elsewhere =
        connected_at + timeout +
            part_of(it.expected_first, limits.prefill_time_factor) <=
        it.first_event_due;
    if (it.prefill_timeouts == 0 && timeout > 0s &&
        connected_at < it.first_event_due)
    {
        return can_prefill_elsewhere ? connected_at + timeout
                                     : it.first_event_due;
    }
    // The first event is late in any case, and another target would have to
    // prefill the whole prompt again.
    constexpr auto max_doublings = 3U;
    auto const doublings = std::clamp(it.prefill_timeouts, 1U, max_doublings);
    return connected_at +
           std::max(timeout, limits.min_late_first_event_timeout) *
               (1 << doublings);
}

auto before_first_event(watch_limits const& limits, stream_facts const& it,
                        time_point now) -> watch_step
{
    auto const connected_at = it.connected_at.value_or(it.sent_at);
    auto const timeout_at = first_event_timeout_at(limits, it, connected_at);
    if (!it.last_run && now >= timeout_at)
    {
        return leave(limits, it, connected_at, now);
    }
    auto const probe_at = std::max(
        connected_at + limits.first_event_probe_after,
        it.probed_at.value_or(connected_at) + limits.first_event_probe_period);
    if (now >= probe_at)
    {
        return probe_target{};
    }
    return keep_waiting{it.last_run ? probe_at
                                    : std::min(probe_at, timeout_at)};
}

} // namespace

auto check_stream(watch_limits const& limits, stream_facts const& it,
                  time_point now) -> watch_step
{
    if (unreachable(limits, it, now))
    {
        return end_attempt{};
    }
    auto const gap =
        it.gap_objective > 0s ? it.gap_objective : limits.default_gap;
    if (it.last_event)
    {
        return between_events(
            limits, it, *it.last_event, part_of(gap, limits.probe_fraction),
            silence_limit(limits, it, part_of(gap, limits.end_fraction)), now);
    }
    if (it.warm)
    {
        return between_events(
            limits, it, it.connected_at.value_or(it.sent_at),
            part_of(gap, limits.probe_fraction),
            silence_limit(limits, it, limits.warm_first_event_timeout), now);
    }
    return before_first_event(limits, it, now);
}

} // namespace primrosedeal::dispatch
