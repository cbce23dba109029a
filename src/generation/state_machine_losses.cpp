#include "generation/state_machine.hpp"

#include <algorithm>
#include <utility>

// Loss handling. A silent target is probed on a new connection. If it answers,
// only the old connection was dropped without notice, and the generation
// resumes at the same target, where its prefix is cached. Otherwise the
// generation resumes at another target. With `early_second_attempt_after`, an
// attempt at another target starts in parallel to the silent one, and the one
// that delivers the next token first is kept.
//
// A target without a first token is probed too. As long as it answers, its
// attempt continues, because cancelling it would lose its queue position and
// its prefill; a second attempt starts in parallel in case only the connection
// was dropped.
//
// An attempt that delivered at least `progress_tokens` shows that the request
// does not crash its engines, so only failures without such progress in between
// count towards `max_engine_failures`.
namespace primrosedeal::generation
{

namespace
{

constexpr auto progress_tokens = std::uint64_t{32};
constexpr auto max_parallel_attempts = std::size_t{2};

auto contains(std::vector<target_id> const& list, target_id const& it) -> bool
{
    return std::find(list.begin(), list.end(), it) != list.end();
}

} // namespace

void state_machine::request_target(std::optional<retry_reason> retry,
                                   std::optional<target_id> prefer)
{
    target_requested_ = true;
    next_choice_at_.reset();
    auto it = action::choose_target{};
    it.exclude = excluded_;
    if (prefer)
    {
        std::erase(it.exclude, *prefer);
    }
    it.prefer = std::move(prefer);
    it.version = version_;
    it.resuming = has_output() || !spec_.prior_tokens.empty();
    it.retry = retry;
    actions_.emplace_back(std::move(it));
}

void state_machine::check_silence(attempt_id id)
{
    auto* const it = find(id);
    if (it == nullptr)
    {
        return;
    }
    if (it->probe_deadline && now_ >= *it->probe_deadline)
    {
        handle_loss(id, {retry_reason::silence, false, false});
        return;
    }
    auto const silent_for = now_ - it->last_progress;
    auto const second = second_attempt_delay(*it);
    if (second && silent_for >= *second && may_start_second(*it))
    {
        start_second(*it);
    }
    if (silent_for >= silence_limit(*it) && !it->probe_deadline)
    {
        on_silent_target(*it);
    }
}

/// An early second attempt runs in parallel to an active one; an attempt that
/// starts while none is active is a resume, with the cause `silence`.
auto state_machine::next_attempt_cause() const -> std::optional<retry_reason>
{
    if (!loss_)
    {
        return std::nullopt;
    }
    return loss_->cause == retry_reason::early_second_attempt
               ? retry_reason::silence
               : loss_->cause;
}

auto state_machine::may_start_second(attempt const& it) const -> bool
{
    return !it.second_requested && !target_requested_ &&
           attempts_.size() < max_parallel_attempts;
}

void state_machine::start_second(attempt& silent_attempt)
{
    silent_attempt.second_requested = true;
    if (!contains(excluded_, silent_attempt.target))
    {
        excluded_.push_back(silent_attempt.target);
    }
    if (!loss_ && silent_attempt.has_tokens)
    {
        loss_ = unresolved_loss{retry_reason::early_second_attempt,
                                silent_attempt.last_progress,
                                silent_attempt.target};
    }
    request_target(retry_reason::early_second_attempt, std::nullopt);
}

void state_machine::on_silent_target(attempt& it)
{
    auto const repeated = contains(excluded_, it.target);
    auto const probe_is_useful =
        it.has_tokens ? policy_.probe_before_abandoning : !it.answered_probe;
    auto const probe_first = probe_is_useful && !repeated;
    if (!probe_first)
    {
        // A target that answers probes has not failed, it is only overloaded.
        handle_loss(it.id, {retry_reason::silence, false, it.answered_probe});
        return;
    }
    it.probe_deadline = now_ + policy_.probe_timeout;
    actions_.push_back(action::probe{it.target});
}

void state_machine::handle_loss(attempt_id id, attempt_loss const& loss)
{
    auto const found =
        std::find_if(attempts_.begin(), attempts_.end(),
                     [&](attempt const& it) { return it.id == id; });
    if (found == attempts_.end())
    {
        return;
    }
    auto const lost = *found;
    attempts_.erase(found);
    actions_.push_back(action::cancel_attempt{id});
    actions_.push_back(action::target_evidence{lost.target, loss});
    if (!contains(excluded_, lost.target))
    {
        excluded_.push_back(lost.target);
    }
    if (!loss_)
    {
        auto const silent = loss.cause == retry_reason::silence;
        loss_ = unresolved_loss{loss.cause, silent ? lost.last_progress : now_,
                                lost.target};
    }
    record_failure(lost, loss);
    if (ended_ || target_requested_ || !attempts_.empty())
    {
        return;
    }
    request_target(loss.cause, std::nullopt);
}

void state_machine::record_failure(attempt const& lost,
                                   attempt_loss const& loss)
{
    if (loss.unsent || loss.refused)
    {
        return;
    }
    auto const new_tokens = output_.next_offset() - lost.first_offset;
    failures_ = new_tokens >= progress_tokens ? 1 : failures_ + 1;
    if (failures_ >= policy_.max_engine_failures)
    {
        fail(reason::engines_failed,
             "several targets failed while they ran this request",
             std::nullopt);
    }
}

void state_machine::record_resume(attempt const& by)
{
    if (!loss_)
    {
        return;
    }
    auto const same_target = loss_->target == by.target;
    auto const prefilled_tokens =
        by.has_tokens ? 0 : spec_.prompt.size() + by.first_offset;
    actions_.push_back(action::resumed{loss_->cause, now_ - loss_->since,
                                       token_count{prefilled_tokens},
                                       same_target});
    loss_.reset();
}

auto state_machine::silence_limit(attempt const& it) const -> duration
{
    if (it.has_tokens)
    {
        return silence_.threshold(policy_);
    }
    return it.answered_probe ? 2 * *second_attempt_delay(it)
                             : policy_.first_token_probe_after;
}

/// Silence after which a second attempt starts in parallel to `it`; empty if
/// none does.
auto state_machine::second_attempt_delay(attempt const& it) const
    -> std::optional<duration>
{
    if (it.has_tokens)
    {
        return policy_.early_second_attempt_after;
    }
    if (!it.answered_probe)
    {
        return std::nullopt;
    }
    return has_output() ? policy_.resume_first_token_ceiling
                        : policy_.first_token_ceiling;
}

auto state_machine::next_check(attempt const& it) const -> time_point
{
    if (it.probe_deadline)
    {
        return *it.probe_deadline;
    }
    auto at = it.last_progress + silence_limit(it);
    auto const second = second_attempt_delay(it);
    if (second && may_start_second(it))
    {
        at = std::min(at, it.last_progress + *second);
    }
    return at;
}

auto state_machine::wake_at() const -> std::optional<time_point>
{
    if (ended_)
    {
        return std::nullopt;
    }
    auto at = std::optional<time_point>{};
    auto const consider = [&](time_point it)
    {
        at = at ? std::min(*at, it) : it;
    };
    if (!has_output())
    {
        consider(spec_.deadline);
    }
    if (next_choice_at_)
    {
        consider(*next_choice_at_);
    }
    if (!caller_slow_)
    {
        for (auto const& it : attempts_)
        {
            consider(next_check(it));
        }
    }
    return at;
}

} // namespace primrosedeal::generation
