#include "dispatch/attempt_policy.hpp"

#include "core/part_of.hpp"

#include <algorithm>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto bad_gateway = 502;
constexpr auto unavailable = 503;
constexpr auto gateway_timeout = 504;

auto retryable(request_state const& it) -> bool
{
    switch (it.kind)
    {
    case routes::request_kind::idempotent:
        return true;
    case routes::request_kind::non_idempotent:
        return !it.may_have_run;
    case routes::request_kind::streaming:
        return it.resumable || !it.may_have_run;
    }
    return false;
}

auto in_time(request_state const& it, time_point now) -> bool
{
    return now + min_time_for_attempt < it.deadline_at;
}

/// Delay before the next retry of a begun stream, within the time left.
auto retry_delay(request_state const& it, time_point now) -> duration
{
    if (it.fruitless_retries <= immediate_retries)
    {
        return 0s;
    }
    constexpr auto max_doublings = 8U;
    auto const doublings =
        std::min(it.fruitless_retries - immediate_retries - 1, max_doublings);
    return std::min({initial_retry_delay * (1 << doublings), max_retry_delay,
                     it.deadline_at - min_time_for_attempt - now});
}

} // namespace

auto to_string(attempt_failure it) -> std::string_view
{
    switch (it)
    {
    case attempt_failure::not_connected:
        return "not_connected";
    case attempt_failure::not_executed:
        return "not_executed";
    case attempt_failure::misdirected:
        return "misdirected";
    case attempt_failure::broken:
        return "broken";
    case attempt_failure::silent:
        return "silent";
    case attempt_failure::target_error:
        return "target_error";
    case attempt_failure::damaged:
        return "damaged";
    }
    return "unknown";
}

auto may_have_run(attempt_failure it) -> bool
{
    return it != attempt_failure::not_connected &&
           it != attempt_failure::not_executed &&
           it != attempt_failure::misdirected;
}

auto final_status(request_state const& it, time_point now) -> int
{
    if (!it.may_have_run)
    {
        return unavailable;
    }
    return now >= it.deadline_at ? gateway_timeout : bad_gateway;
}

auto connect_timeout(request_state const& it, duration objective,
                     time_point now) -> duration
{
    constexpr auto objective_fraction = 0.5;
    auto const initial = std::clamp(part_of(objective, objective_fraction),
                                    min_connect_timeout, max_connect_timeout);
    if (!it.answer_started)
    {
        return initial;
    }
    constexpr auto max_doublings = 8U;
    auto const doublings = std::min(it.connect_failures, max_doublings);
    return std::min({initial * (1 << doublings),
                     max_continuation_connect_timeout,
                     std::max(it.deadline_at - now, duration{0})});
}

auto after_failure(request_state const& it, time_point now) -> next_step
{
    auto const runs_left = it.runs < it.max_runs;
    auto const refusals_left = it.answer_started || it.refusals < max_refusals;
    auto const crashes_left = it.crashes < max_crashes;
    if (retryable(it) && in_time(it, now) && runs_left && refusals_left &&
        crashes_left)
    {
        return try_again{it.answer_started ? retry_delay(it, now) : 0s};
    }
    return end_request{final_status(it, now)};
}

auto after_denial(request_state const& it, time_point now) -> next_step
{
    if (!it.answer_started || !in_time(it, now))
    {
        return end_request{final_status(it, now)};
    }
    auto const time_left = it.deadline_at - min_time_for_attempt - now;
    return try_again{std::max(retry_delay(it, now),
                              std::min(initial_retry_delay, time_left))};
}

} // namespace primrosedeal::dispatch
