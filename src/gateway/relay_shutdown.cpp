#include "gateway/log_text.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <utility>

// Keeps a host that shuts down from starting what it would have to cut.
namespace primrosedeal::gateway
{

auto relay::completion_times() const -> dispatch::completion_times&
{
    return host_.completion_times.of(admitted_.route->kind,
                                     admitted_.service->id);
}

auto relay::fits_before_exit(time_point now) const -> bool
{
    if (!host_.shutdown_started_at)
    {
        return true;
    }
    auto const& route = *admitted_.route;
    auto const recent = completion_times().recent(now);
    auto const since = *host_.shutdown_started_at;
    auto const needed =
        dispatch::time_needed({route.kind, route.resumable, route.objective,
                               client_deadline_at_ - now, now - since},
                              recent);
    auto const grace = host_.settings.shutdown_grace;
    if (dispatch::can_finish_before_exit(since, grace, needed, now))
    {
        return true;
    }
    auto const times = recent.value_or(dispatch::recent_times{});
    log::write(log::level::info, "too_late_before_exit",
               {{"request", metadata_.id.value()},
                {"kind", std::string{to_string(route.kind)}},
                {"needed_ms", milliseconds(needed)},
                {"left_ms",
                 milliseconds(dispatch::final_answer_time(since, grace) - now)},
                {"usual_upper_ms", milliseconds(times.upper)},
                {"slowest_ms", milliseconds(times.slowest)},
                {"answered", std::to_string(times.answered)}});
    return false;
}

auto relay::end_without_time(time_point now) -> bool
{
    auto const expired = now >= admitted_.deadline_at;
    if (!expired && (state_.answer_started || fits_before_exit(now)))
    {
        return false;
    }
    if (std::exchange(attempt_counted_, false))
    {
        host_.request_counts.refund_attempt(admitted_.service->id, now);
    }
    end_with_failure(expired ? refusal_reason::deadline
                             : refusal_reason::leaving,
                     dispatch::final_status(state_, now), now);
    return true;
}

} // namespace primrosedeal::gateway
