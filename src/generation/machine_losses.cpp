#include "generation/machine.hpp"

#include <algorithm>
#include <utility>

// Losses are met in three steps. A silent target is asked by a fresh
// connection: if it answers, only the old connection was forgotten, and the
// generation resumes there, where its prefix is cached. Otherwise it is left
// for another target. With `early_second_attempt_after` another target is
// started beside the silent one and the first token decides.
//
// A target that has not begun is asked too. While it answers it keeps its
// attempt, since leaving it would lose its queue position and its prefill, but
// another is started beside it in case only the connection was forgotten.
//
// An attempt that brought at least `progress_tokens` shows that the request
// does not kill its engines, so only failures without progress in between
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

void machine::choose(std::optional<retry_reason> retry,
                     std::optional<target_id> prefer)
{
    choosing_ = true;
    choose_at_.reset();
    auto it = action::choose_target{};
    it.exclude = excluded_;
    if (prefer)
    {
        std::erase(it.exclude, *prefer);
    }
    it.prefer = std::move(prefer);
    it.version = version_;
    it.resuming = has_output() || !spec_.already.empty();
    it.retry = retry;
    out_.emplace_back(std::move(it));
}

void machine::check_silence(attempt_id id)
{
    auto* const it = find(id);
    if (it == nullptr)
    {
        return;
    }
    if (it->probe_ends && now_ >= *it->probe_ends)
    {
        lose(id, {retry_reason::silence, false, false});
        return;
    }
    auto const silent_for = now_ - it->last_heard;
    auto const second = second_after(*it);
    if (second && silent_for >= *second && may_start_second(*it))
    {
        start_second(*it);
    }
    if (silent_for >= silence_limit(*it) && !it->probe_ends)
    {
        on_silent_target(*it);
    }
}

/// Only an attempt beside a living one is an early second attempt; those that
/// follow when none lives are resumes.
auto machine::cause_of_further_attempt() const -> std::optional<retry_reason>
{
    if (!loss_)
    {
        return std::nullopt;
    }
    return loss_->cause == retry_reason::early_second_attempt
               ? retry_reason::silence
               : loss_->cause;
}

auto machine::may_start_second(attempt const& it) const -> bool
{
    return !it.second_asked && !choosing_ &&
           attempts_.size() < max_parallel_attempts;
}

void machine::start_second(attempt& beside)
{
    beside.second_asked = true;
    if (!contains(excluded_, beside.target))
    {
        excluded_.push_back(beside.target);
    }
    if (!loss_ && beside.heard)
    {
        loss_ = open_loss{retry_reason::early_second_attempt, beside.last_heard,
                          beside.target};
    }
    choose(retry_reason::early_second_attempt, std::nullopt);
}

void machine::on_silent_target(attempt& it)
{
    auto const repeated = contains(excluded_, it.target);
    auto const may_help =
        it.heard ? policy_.probe_before_leaving : !it.known_alive;
    auto const probe_first = may_help && !repeated;
    if (!probe_first)
    {
        // One that answers probes has not failed; it is only overfull.
        lose(it.id, {retry_reason::silence, false, it.known_alive});
        return;
    }
    it.probe_ends = now_ + policy_.probe_timeout;
    out_.push_back(action::probe{it.target});
}

void machine::lose(attempt_id id, attempt_loss const& loss)
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
    out_.push_back(action::cancel_attempt{id});
    out_.push_back(action::target_evidence{lost.target, loss});
    if (!contains(excluded_, lost.target))
    {
        excluded_.push_back(lost.target);
    }
    if (!loss_)
    {
        auto const silent = loss.cause == retry_reason::silence;
        loss_ =
            open_loss{loss.cause, silent ? lost.last_heard : now_, lost.target};
    }
    note_failure(lost, loss);
    if (ended_ || choosing_ || !attempts_.empty())
    {
        return;
    }
    choose(loss.cause, std::nullopt);
}

void machine::note_failure(attempt const& lost, attempt_loss const& loss)
{
    if (loss.unsent || loss.refused)
    {
        return;
    }
    auto const brought = splice_.next_offset() - lost.prefix;
    failures_ = brought >= progress_tokens ? 1 : failures_ + 1;
    if (failures_ >= policy_.max_engine_failures)
    {
        give_up(reason::engines_failed,
                "several targets failed while they ran this request",
                std::nullopt);
    }
}

void machine::note_resumed(attempt const& by)
{
    if (!loss_)
    {
        return;
    }
    auto const same = loss_->target == by.target;
    auto const again = by.heard ? 0 : spec_.prompt.size() + by.prefix;
    out_.push_back(action::resumed{loss_->cause, now_ - loss_->since,
                                   token_count{again}, same});
    loss_.reset();
}

auto machine::silence_limit(attempt const& it) const -> duration
{
    if (it.heard)
    {
        return silence_.threshold(policy_);
    }
    return it.known_alive ? 2 * *second_after(it)
                          : policy_.first_token_probe_after;
}

/// Silence after which a second attempt starts beside `it`, if at all.
auto machine::second_after(attempt const& it) const -> std::optional<duration>
{
    if (it.heard)
    {
        return policy_.early_second_attempt_after;
    }
    if (!it.known_alive)
    {
        return std::nullopt;
    }
    return has_output() ? policy_.resume_first_token_ceiling
                        : policy_.first_token_ceiling;
}

auto machine::next_check(attempt const& it) const -> time_point
{
    if (it.probe_ends)
    {
        return *it.probe_ends;
    }
    auto at = it.last_heard + silence_limit(it);
    auto const second = second_after(it);
    if (second && may_start_second(it))
    {
        at = std::min(at, it.last_heard + *second);
    }
    return at;
}

auto machine::wake_at() const -> std::optional<time_point>
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
    if (choose_at_)
    {
        consider(*choose_at_);
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
