#include "gateway/crash_events.hpp"
#include "gateway/log_text.hpp"
#include "gateway/own_link_events.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <utility>

// What a failed attempt says of its target, its path and this host, and what
// the request does next.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;
using dispatch::observation;

auto observation_of(attempt_failure it) -> observation
{
    switch (it)
    {
    case attempt_failure::not_connected:
    case attempt_failure::broken:
        return observation::unreachable;
    case attempt_failure::not_executed:
        return observation::busy;
    case attempt_failure::silent:
        return observation::silent;
    case attempt_failure::misdirected:
    case attempt_failure::target_error:
    case attempt_failure::damaged:
        return observation::failed;
    }
    return observation::failed;
}

auto reason_of_end(dispatch::request_state const& it, time_point now)
    -> refusal_reason
{
    if (now >= it.deadline_at)
    {
        return refusal_reason::deadline;
    }
    if (it.own_link_down && !it.may_have_run)
    {
        return refusal_reason::own_link_down;
    }
    return it.crashes >= dispatch::max_crashes ? refusal_reason::target_crashes
                                               : refusal_reason::attempts_used;
}

/// What the attempt waits for.
auto phase_of(running_attempt const& it) -> std::string_view
{
    return it.has_event ? "events"
           : it.warm    ? "resume_from_copy"
                        : "first_event";
}

} // namespace

auto relay::caused_by_own_link(attempt_failure how, time_point now) -> bool
{
    if (current_->path.helper)
    {
        return false;
    }
    auto const unanswered_since = current_->io->unanswered_since();
    if (unanswered_since)
    {
        return on_connection_timeout(host_, current_->target, *unanswered_since,
                                     now);
    }
    return how == attempt_failure::silent && host_.own_link.down();
}

void relay::on_standstill(time_point now)
{
    auto const& target = current_->target;
    auto const excused = caused_by_own_link(attempt_failure::silent, now) ||
                         failed_on_path(attempt_failure::silent);
    if (!excused)
    {
        host_.detector.report(target.id, target.domain, observation::silent,
                              now);
    }
    log::write(log::level::info, "target_stands_still",
               {{"request", metadata_.id.value()},
                {"attempt", std::to_string(attempts_)},
                {"target", target.id.value()},
                {"phase", std::string{phase_of(*current_)}},
                {"excused", excused ? "true" : "false"}});
}

void relay::log_failed_attempt(attempt_failure how, failure_context const& it,
                               time_point now)
{
    auto const& target = current_->target;
    auto const last_sign = current_->has_event
                               ? last_event_at_.value_or(current_->sent_at)
                               : current_->sent_at;
    log::write(
        log::level::info, "attempt_failed",
        {{"request", metadata_.id.value()},
         {"attempt", std::to_string(attempts_)},
         {"target", target.id.value()},
         {"domain", target.domain.value()},
         {"how", std::string{to_string(how)}},
         {"path", message_.target},
         {"organisation",
          admitted_.organisation ? admitted_.organisation->value() : "none"},
         {"set_aside", it.set_aside ? "true" : "false"},
         {"own_link", it.own_link ? "true" : "false"},
         {"path_lost", it.path_lost ? "true" : "false"},
         {"helper", current_->path.helper.value_or(host_id{}).value()},
         {"phase", std::string{phase_of(*current_)}},
         {"silent_ms", milliseconds(now - last_sign)},
         {"runs", std::to_string(state_.runs)},
         {"max_runs", std::to_string(state_.max_runs)},
         {"domain_in_doubt", host_.detector.domain_suspected(target.domain, now)
                                 ? "true"
                                 : "false"},
         {"last_event", last_event_ ? std::to_string(*last_event_) : "none"}});
}

void relay::on_failure(attempt_failure how,
                       std::optional<target_response> response, time_point now)
{
    auto const target = current_->target;
    auto const own_link = caused_by_own_link(how, now);
    auto const excused = own_link || failed_on_path(how);
    auto const helped = current_->path.helper.has_value();
    auto const may_run_until = current_->io->may_run_until();
    auto const newly_excluded =
        !excused && host_.detector.report(target.id, target.domain,
                                          observation_of(how), now);
    observe_failure_for_rollout(how, excused, now);
    host_.metrics.attempt_failed(to_string(how));
    log_failed_attempt(how, {newly_excluded, own_link, excused && !own_link},
                       now);
    if (how == attempt_failure::not_executed && !current_->warm)
    {
        host_.rejections.rejected(target.id, target.process_start, now);
    }
    if (helped &&
        (how == attempt_failure::silent || how == attempt_failure::broken))
    {
        host_.helpers.failed(*current_->path.helper, now);
    }
    if (how == attempt_failure::misdirected)
    {
        host_.targets.handle(directory::target_replaced{target.id}, now);
        on_target_ended(host_, target.id, now);
        host_.newly_replaced.push_back(target.id);
    }
    auto const arrived = how != attempt_failure::not_connected;
    failed_after_arrival_ += arrived ? 1 : 0;
    state_.connect_failures = arrived ? 0 : state_.connect_failures + 1;
    if (!arrived && std::exchange(attempt_counted_, false))
    {
        host_.request_counts.refund_attempt(admitted_.service->id, now);
    }
    if (may_have_run(how))
    {
        state_.may_have_run = true;
        ++state_.runs;
        state_.fruitless_retries = 0;
    }
    else
    {
        auto const on_path = helped && !current_->helper_failed_there;
        state_.refusals += own_link || on_path ? 0 : 1;
        ++state_.fruitless_retries;
    }
    state_.own_link_down =
        host_.own_link.down() && !host_.paths.lost(admitted_.service->id);
    if (response)
    {
        error_response_ = std::move(response);
    }
    settle_run(how, excused, now);
    if (excused && !arrived && current_->from)
    {
        // Nothing was sent, so the copy can still be used.
        resume_point_ = resume_point{target, *current_->from};
    }
    else
    {
        resume_point_ = resume_point_after_failure();
    }
    if (replacement_ && resume_point_)
    {
        // Not released: the next attempt may use it, else it expires by itself.
        replacement_->name.reset();
    }
    prefill_timeouts_ +=
        how == attempt_failure::silent && !current_->has_event ? 1 : 0;
    silent_attempts_ +=
        how == attempt_failure::silent && current_->has_event ? 1 : 0;
    interrupted_ = state_.answer_started;
    release_target();
    retry_or_end(how, may_run_until, now);
    // Hosts with a direct path know better than one that was helped.
    if (newly_excluded && !helped)
    {
        report_target_loss(target, now);
    }
}

void relay::retry_or_end(attempt_failure how,
                         std::optional<time_point> may_run_until,
                         time_point now)
{
    auto const step = dispatch::after_failure(state_, now);
    if (auto const* const end = std::get_if<dispatch::end_request>(&step))
    {
        end_with_failure(reason_of_end(state_, now), end->status, now);
        return;
    }
    auto const delay = std::get<dispatch::try_again>(step).after;
    auto const overlap = streaming() && may_run_until
                             ? std::max(*may_run_until - now, duration{0})
                             : duration{0};
    if (delay == 0s && overlap == 0s)
    {
        reserve_and_start(now);
    }
    else if (overlap > delay)
    {
        retry_after(overlap, "helper_lease", now);
    }
    else
    {
        retry_after(delay, to_string(how), now);
    }
}

void relay::retry_after(duration delay, std::string_view reason, time_point now)
{
    host_.metrics.stream_waited(reason);
    if (!std::exchange(waiting_logged_, true))
    {
        log::write(
            log::level::info, "stream_waiting",
            {{"request", metadata_.id.value()},
             {"reason", std::string{reason}},
             {"delay_ms", milliseconds(delay)},
             {"time_left_ms", milliseconds(admitted_.deadline_at - now)}});
    }
    retry_timer_ = host_.loop.after(
        delay, [this] { reserve_and_start(net::event_loop::now()); });
}

void relay::on_denial(refusal_reason reason, time_point now)
{
    ++state_.fruitless_retries;
    auto const step = dispatch::after_denial(state_, now);
    if (auto const* const end = std::get_if<dispatch::end_request>(&step))
    {
        end_with_failure(reason, end->status, now);
        return;
    }
    retry_after(std::get<dispatch::try_again>(step).after, to_string(reason),
                now);
}

void relay::reserve_and_start(time_point now)
{
    auto const purpose = state_.answer_started
                             ? fleet::attempt_purpose::continuation
                             : fleet::attempt_purpose::answer;
    // The budget counts attempts after the first one that reached a target.
    attempt_counted_ = failed_after_arrival_ > 0;
    if (attempt_counted_ &&
        !host_.try_reserve_attempt(admitted_.service->id, purpose, now))
    {
        attempt_counted_ = false;
        on_denial(refusal_reason::retry_budget, now);
        return;
    }
    start_next_attempt(now);
}

auto relay::resume_point_after_failure() const -> std::optional<resume_point>
{
    // Targets copy a run's KV cache only from its first event on.
    if (!current_->has_event)
    {
        return std::nullopt;
    }
    if (current_->copy && !current_->copy_lost)
    {
        return resume_point{*current_->copy,
                            {current_->copy->address, metadata_.id.value()}};
    }
    if (replacement_ && replacement_->name)
    {
        return resume_point{replacement_->to,
                            {current_->target.address, *replacement_->name}};
    }
    return std::nullopt;
}

} // namespace primrosedeal::gateway
