#include "generation/state_machine.hpp"

#include <algorithm>
#include <utility>

// Each handler ignores events that do not belong to an active attempt, so late
// and reordered events are harmless. Loss handling is in
// state_machine_losses.cpp.
namespace primrosedeal::generation
{

namespace
{

auto first_tokens(event::chunk it, std::size_t n) -> event::chunk
{
    it.tokens.resize(n);
    it.bytes.resize(std::min(n, it.bytes.size()));
    return it;
}

} // namespace

state_machine::state_machine(spec what, resume_policy policy)
    : spec_(std::move(what)), policy_(policy), output_(spec_.prior_tokens),
      version_(spec_.selection.version)
{
}

auto state_machine::start(time_point now) -> std::vector<any_action>
{
    now_ = now;
    if (auto const reason = end_reached())
    {
        complete(*reason);
    }
    else
    {
        request_target(std::nullopt, std::nullopt);
    }
    return std::exchange(actions_, {});
}

auto state_machine::on_event(any_event const& it, time_point now)
    -> std::vector<any_action>
{
    if (ended_)
    {
        return {};
    }
    now_ = now;
    std::visit([this](auto const& e) { handle(e); }, it);
    return std::exchange(actions_, {});
}

void state_machine::handle(event::target_chosen const& it)
{
    if (!std::exchange(target_requested_, false))
    {
        return;
    }
    ++attempts_started_;
    auto added = attempt{};
    added.id = attempt_id{attempts_started_};
    added.target = it.target;
    added.version = it.version;
    added.first_offset = output_.next_offset();
    added.last_progress = now_;
    attempts_.push_back(added);
    may_have_run_ = true;
    actions_.push_back(action::start_attempt{added.id, it.target, it.version,
                                             output_.tokens()});
}

void state_machine::handle(event::no_target const& it)
{
    if (!std::exchange(target_requested_, false) || !attempts_.empty())
    {
        return;
    }
    auto const waited = loss_ ? now_ - loss_->since : duration{0};
    if (!has_output() || waited >= policy_.resume_wait)
    {
        fail(it.code, "no target can take the generation now", it.retry_after);
        return;
    }
    // Targets that failed earlier may have recovered.
    excluded_.clear();
    next_choice_at_ = now_ + policy_.choose_retry_interval;
}

void state_machine::handle(event::chunk const& it)
{
    auto* const from = find(it.attempt);
    if (from == nullptr)
    {
        actions_.push_back(action::chunk_dropped{true, false});
        return;
    }
    // Copies the chunk only if it has to be truncated.
    auto const keep = tokens_within_limit(it);
    accept_chunk(*from, keep == it.tokens.size() ? it : first_tokens(it, keep));
}

void state_machine::handle(event::attempt_finished const& it)
{
    auto* const from = find(it.attempt);
    if (from == nullptr)
    {
        return;
    }
    if (it.offset != output_.next_offset())
    {
        handle_loss(it.attempt, {retry_reason::stream_corrupt, false, false});
        return;
    }
    record_progress(*from);
    complete(it.finish_reason);
}

void state_machine::handle(event::attempt_lost const& it)
{
    handle_loss(it.attempt, it.loss);
}

void state_machine::handle(event::probe_result const& it)
{
    auto const was_probed = [&](attempt const& a)
    {
        return a.target == it.target && a.probe_deadline;
    };
    auto const found =
        std::find_if(attempts_.begin(), attempts_.end(), was_probed);
    if (found == attempts_.end())
    {
        return;
    }
    if (!it.answered)
    {
        handle_loss(found->id, {retry_reason::silence, false, false});
        return;
    }
    if (!found->has_tokens)
    {
        // It may still be prefilling the prompt or waiting for a free slot.
        found->answered_probe = true;
        found->probe_deadline.reset();
        return;
    }
    auto const lost = *found;
    attempts_.erase(found);
    actions_.push_back(action::cancel_attempt{lost.id});
    // If this target is silent again, the fault is in the target and not in the
    // connection, so it is not probed a second time.
    excluded_.push_back(lost.target);
    if (!loss_)
    {
        loss_ = unresolved_loss{retry_reason::silence, lost.last_progress,
                                lost.target};
    }
    if (attempts_.empty() && !target_requested_)
    {
        request_target(retry_reason::silence, lost.target);
    }
}

void state_machine::handle(event::timer const&)
{
    if (!has_output() && now_ >= spec_.deadline)
    {
        fail(reason::deadline_expired, "no output before the deadline",
             std::nullopt);
        return;
    }
    if (next_choice_at_ && now_ >= *next_choice_at_)
    {
        request_target(next_attempt_cause(), std::nullopt);
    }
    if (caller_slow_)
    {
        return;
    }
    auto ids = std::vector<attempt_id>{};
    for (auto const& it : attempts_)
    {
        ids.push_back(it.id);
    }
    for (auto const id : ids)
    {
        check_silence(id);
    }
}

void state_machine::handle(event::caller_slow const&)
{
    caller_slow_ = true;
}

void state_machine::handle(event::caller_ready const&)
{
    caller_slow_ = false;
    for (auto& it : attempts_)
    {
        it.last_progress = now_;
        it.probe_deadline.reset();
    }
}

void state_machine::handle(event::caller_disconnected const&)
{
    cancel_all();
    ended_ = true;
}

void state_machine::accept_chunk(attempt& from, event::chunk const& it)
{
    switch (output_.offer(it.offset, it.tokens, it.bytes))
    {
    case offer_result::accepted:
        record_progress(from);
        break;
    case offer_result::duplicate:
        actions_.push_back(action::chunk_dropped{false, true});
        return;
    case offer_result::gap:
    case offer_result::mismatch:
        handle_loss(from.id, {retry_reason::stream_corrupt, false, false});
        return;
    }
    if (auto const reason = end_reached())
    {
        complete(*reason);
        return;
    }
    relay_ready(false);
}

/// `winner` delivered the next tokens: records its progress and cancels all
/// other attempts.
void state_machine::record_progress(attempt& winner)
{
    record_resume(winner);
    if (winner.has_tokens)
    {
        silence_.observe(now_ - winner.last_progress);
    }
    winner.has_tokens = true;
    winner.last_progress = now_;
    winner.probe_deadline.reset();
    winner.second_requested = false;
    version_ = winner.version;
    std::erase(excluded_, winner.target);
    for (auto const& it : attempts_)
    {
        if (it.id != winner.id)
        {
            actions_.push_back(action::cancel_attempt{it.id});
        }
    }
    auto const winner_id = winner.id;
    std::erase_if(attempts_,
                  [&](attempt const& it) { return it.id != winner_id; });
}

void state_machine::relay_ready(bool last)
{
    auto ready = output_.take_ready(last);
    if (!ready.tokens.empty())
    {
        actions_.push_back(action::relay{ready.offset, std::move(ready.tokens),
                                         std::move(ready.text)});
    }
}

void state_machine::complete(std::string const& finish_reason)
{
    cancel_all();
    relay_ready(true);
    actions_.push_back(action::finish{finish_reason,
                                      token_count{output_.next_offset()},
                                      output_.released_digest(), std::nullopt});
    ended_ = true;
}

void state_machine::fail(reason code, std::string text,
                         std::optional<duration> retry_after)
{
    cancel_all();
    // Tokens of an incomplete character are not sent, so that the tokens with
    // which the caller resumes end on a character boundary.
    auto const ran = may_have_run_ ? verdict::may_have_run : verdict::not_run;
    auto const released = output_.released_offset();
    actions_.push_back(action::finish{
        "incomplete", token_count{released}, output_.released_digest(),
        failure{code, ran, std::move(text), retry_after}});
    ended_ = true;
}

void state_machine::cancel_all()
{
    for (auto const& it : attempts_)
    {
        actions_.push_back(action::cancel_attempt{it.id});
    }
    attempts_.clear();
}

/// Number of tokens of `it` up to the length limit or the first end token.
auto state_machine::tokens_within_limit(event::chunk const& it) const
    -> std::size_t
{
    auto const remaining = spec_.max_tokens.value() > it.offset
                               ? spec_.max_tokens.value() - it.offset
                               : 0;
    auto const keep = std::min<std::size_t>(it.tokens.size(), remaining);
    auto const& ends = spec_.end_tokens;
    for (auto i = std::size_t{0}; i < keep; ++i)
    {
        if (std::find(ends.begin(), ends.end(), it.tokens[i]) != ends.end())
        {
            return i + 1;
        }
    }
    return keep;
}

auto state_machine::end_reached() const -> std::optional<std::string>
{
    auto const& tokens = output_.tokens();
    auto const& ends = spec_.end_tokens;
    if (!tokens.empty() &&
        std::find(ends.begin(), ends.end(), tokens.back()) != ends.end())
    {
        return "stop";
    }
    if (tokens.size() >= spec_.max_tokens.value())
    {
        return "length";
    }
    return std::nullopt;
}

auto state_machine::has_output() const -> bool
{
    return output_.next_offset() > spec_.prior_tokens.size();
}

auto state_machine::find(attempt_id id) -> attempt*
{
    auto const found =
        std::find_if(attempts_.begin(), attempts_.end(),
                     [&](attempt const& it) { return it.id == id; });
    return found == attempts_.end() ? nullptr : &*found;
}

} // namespace primrosedeal::generation
