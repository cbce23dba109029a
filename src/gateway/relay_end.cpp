#include "gateway/log_text.hpp"
#include "gateway/relay.hpp"
#include "gateway/response_heads.hpp"
#include "log/log.hpp"

#include <utility>

// Ends requests: with a refusal, with a failure or because their client left.
namespace primrosedeal::gateway
{

namespace
{

/// Retry-After when no target had capacity.
constexpr auto retry_after_busy = duration{100ms};

} // namespace

void relay::refuse(refusal const& it, time_point now)
{
    host_.metrics.refused(to_string(it.reason));
    log::write(log::level::info, "request_refused",
               {{"request", metadata_.id.value()},
                {"status", std::to_string(it.status)},
                {"reason", std::string{to_string(it.reason)}},
                {"host", metadata_.host},
                {"path", message_.target},
                {"configuration",
                 table_ ? std::to_string(table_->version().value()) : "none"}});
    reply_error(it);
    finish("refused", it.status, now);
}

void relay::reply_error(refusal const& it)
{
    client_->reply(make_error_head(it.status, it.retry_after),
                   "{\"error\":\"" + std::string{to_string(it.reason)} + "\"}",
                   false);
}

auto relay::limit_retry_after(time_point now) -> std::optional<duration>
{
    return request_limit::retry_after(
        host_.limiter, host_.targets.usable(admitted_.service->id),
        host_.random, now);
}

auto relay::pause_retry_after(time_point now) -> std::optional<duration>
{
    return host_.pauses.retry_after(host_.targets.usable(admitted_.service->id),
                                    host_.random, now);
}

auto relay::rejection_retry_after() -> std::optional<duration>
{
    return rejection_limit::retry_after(
        host_.rejection_gate, host_.targets.usable(admitted_.service->id),
        arrival(), host_.random);
}

void relay::end_with_failure(refusal_reason reason, int status, time_point now)
{
    host_.metrics.refused(to_string(reason));
    if (attempts_ > 0)
    {
        completion_times().observe_unanswered(now - arrived_at_, now);
    }
    release_target();
    if (state_.answer_started)
    {
        client_->abort();
        finish(to_string(reason), 0, now);
        return;
    }
    if (error_response_)
    {
        client_->reply(forwarded(error_response_->head), error_response_->body,
                       false);
        finish("target_error", error_response_->head.status, now);
        return;
    }
    constexpr auto not_run = 503;
    auto const retryable =
        status == not_run && reason != refusal_reason::hopeless;
    auto const leaving = reason == refusal_reason::leaving ||
                         (reason == refusal_reason::deadline &&
                          admitted_.deadline_at < client_deadline_at_);
    auto const elsewhere = leaving || reason == refusal_reason::own_link_down ||
                           reason == refusal_reason::no_path;
    auto const delay = elsewhere ? retry_after_elsewhere
                       : reason == refusal_reason::target_limits
                           ? limit_retry_after(now).value_or(retry_after_busy)
                       : reason == refusal_reason::targets_paused
                           ? pause_retry_after(now).value_or(retry_after_busy)
                       : reason == refusal_reason::rejection_limits
                           ? rejection_retry_after().value_or(retry_after_busy)
                           : retry_after_busy;
    auto const retry_after = retryable ? std::optional{delay} : std::nullopt;
    reply_error({status, reason, retry_after});
    finish(to_string(reason), status, now);
}

void relay::on_deadline(time_point now)
{
    if (current_ && current_->io && current_->io->may_have_sent())
    {
        state_.may_have_run = true;
        on_run_unresolved("deadline", now);
    }
    if (current_ && !current_->has_event)
    {
        observe_for_rollout(false, now);
    }
    end_with_failure(refusal_reason::deadline,
                     dispatch::final_status(state_, now), now);
}

void relay::on_client_flow(bool stopped, time_point now)
{
    if (current_ && current_->io)
    {
        current_->io->pause_reading(stopped, now);
    }
}

void relay::on_client_disconnected(http1::client_loss how, time_point now)
{
    host_.metrics.client_lost(to_string(how));
    log::write(log::level::info, "client_lost",
               {{"request", metadata_.id.value()},
                {"how", std::string{to_string(how)}},
                {"answer_started", state_.answer_started ? "true" : "false"}});
    completion_times().observe_unanswered(now - arrived_at_, now);
    if (current_ && current_->io && current_->io->may_have_sent())
    {
        on_run_unresolved("client_gone", now);
    }
    release_target();
    finish("client_gone", 0, now);
}

void relay::finish(std::string_view outcome, int status, time_point now)
{
    auto const kind = admitted_.route == nullptr
                          ? std::string_view{"none"}
                          : to_string(admitted_.route->kind);
    deadline_.cancel();
    retry_timer_.cancel();
    host_.metrics.request_ended(kind, outcome, now - arrived_at_);
    log::write(
        log::level::info, "request_ended",
        {{"request", metadata_.id.value()},
         {"kind", std::string{kind}},
         {"outcome", std::string{outcome}},
         {"status", std::to_string(status)},
         {"attempts", std::to_string(attempts_)},
         {"runs", std::to_string(state_.runs)},
         {"took_ms", milliseconds(now - arrived_at_)},
         {"first_event_ms", milliseconds(time_to_first_event_)},
         {"longest_pause_ms", milliseconds(longest_pause_)},
         {"last_event", last_event_ ? std::to_string(*last_event_) : "none"}});
    // A member function may still be on the stack, so destroy this later.
    host_.loop.post([held = shared_from_this()] {});
    host_.relays.erase(this);
}

} // namespace primrosedeal::gateway
