#include "generation/machine.hpp"

#include <algorithm>
#include <utility>

// Each handler checks that its event belongs to an attempt that is still
// active; everything else is dropped, so late and crossed events are harmless.
// How losses are met stands in machine_losses.cpp.
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

machine::machine(spec what, resume_policy policy)
    : spec_(std::move(what)), policy_(policy), splice_(spec_.already),
      version_(spec_.what.version)
{
}

auto machine::start(time_point now) -> std::vector<any_action>
{
    now_ = now;
    if (auto const reason = end_reached())
    {
        complete(*reason);
    }
    else
    {
        choose(std::nullopt, std::nullopt);
    }
    return std::exchange(out_, {});
}

auto machine::on_event(any_event const& it, time_point now)
    -> std::vector<any_action>
{
    if (ended_)
    {
        return {};
    }
    now_ = now;
    std::visit([this](auto const& e) { handle(e); }, it);
    return std::exchange(out_, {});
}

void machine::handle(event::target_chosen const& it)
{
    if (!std::exchange(choosing_, false))
    {
        return;
    }
    ++attempts_made_;
    auto fresh = attempt{};
    fresh.id = attempt_id{attempts_made_};
    fresh.target = it.target;
    fresh.version = it.version;
    fresh.prefix = splice_.next_offset();
    fresh.last_heard = now_;
    attempts_.push_back(fresh);
    may_have_run_ = true;
    out_.push_back(action::start_attempt{fresh.id, it.target, it.version,
                                         splice_.tokens()});
}

void machine::handle(event::no_target const& it)
{
    if (!std::exchange(choosing_, false) || !attempts_.empty())
    {
        return;
    }
    auto const waited = loss_ ? now_ - loss_->since : duration{0};
    if (!has_output() || waited >= policy_.resume_wait)
    {
        give_up(it.code, "no target can take the generation now",
                it.retry_after);
        return;
    }
    // Those that failed earlier may be back.
    excluded_.clear();
    choose_at_ = now_ + policy_.choose_again_after;
}

void machine::handle(event::chunk const& it)
{
    auto* const from = find(it.attempt);
    if (from == nullptr)
    {
        out_.push_back(action::chunk_dropped{true, false});
        return;
    }
    // Copies only the one chunk of a generation that is cut.
    auto const keep = tokens_within_limit(it);
    take(*from, keep == it.tokens.size() ? it : first_tokens(it, keep));
}

void machine::handle(event::attempt_finished const& it)
{
    auto* const from = find(it.attempt);
    if (from == nullptr)
    {
        return;
    }
    if (it.offset != splice_.next_offset())
    {
        lose(it.attempt, {retry_reason::stream_corrupt, false, false});
        return;
    }
    win(*from);
    complete(it.finish_reason);
}

void machine::handle(event::attempt_lost const& it)
{
    lose(it.attempt, it.loss);
}

void machine::handle(event::probe_result const& it)
{
    auto const asked = [&](attempt const& a)
    {
        return a.target == it.target && a.probe_ends;
    };
    auto const found = std::find_if(attempts_.begin(), attempts_.end(), asked);
    if (found == attempts_.end())
    {
        return;
    }
    if (!it.answered)
    {
        lose(found->id, {retry_reason::silence, false, false});
        return;
    }
    if (!found->heard)
    {
        // It may be computing the prompt or let us wait for a slot.
        found->known_alive = true;
        found->probe_ends.reset();
        return;
    }
    auto const lost = *found;
    attempts_.erase(found);
    out_.push_back(action::cancel_attempt{lost.id});
    // A second silence at this target is its own, not the connection's.
    excluded_.push_back(lost.target);
    if (!loss_)
    {
        loss_ = open_loss{retry_reason::silence, lost.last_heard, lost.target};
    }
    if (attempts_.empty() && !choosing_)
    {
        choose(retry_reason::silence, lost.target);
    }
}

void machine::handle(event::timer const&)
{
    if (!has_output() && now_ >= spec_.deadline)
    {
        give_up(reason::deadline_expired, "no output before the deadline",
                std::nullopt);
        return;
    }
    if (choose_at_ && now_ >= *choose_at_)
    {
        choose(cause_of_further_attempt(), std::nullopt);
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

void machine::handle(event::caller_slow const&)
{
    caller_slow_ = true;
}

void machine::handle(event::caller_ready const&)
{
    caller_slow_ = false;
    for (auto& it : attempts_)
    {
        it.last_heard = now_;
        it.probe_ends.reset();
    }
}

void machine::handle(event::caller_gone const&)
{
    cancel_all();
    ended_ = true;
}

void machine::take(attempt& from, event::chunk const& it)
{
    switch (splice_.offer(it.offset, it.tokens, it.bytes))
    {
    case splice_result::accepted:
        win(from);
        break;
    case splice_result::duplicate:
        out_.push_back(action::chunk_dropped{false, true});
        return;
    case splice_result::gap:
    case splice_result::mismatch:
        lose(from.id, {retry_reason::stream_corrupt, false, false});
        return;
    }
    if (auto const reason = end_reached())
    {
        complete(*reason);
        return;
    }
    relay_ready(false);
}

/// `winner` brought what comes next: it alone goes on.
void machine::win(attempt& winner)
{
    note_resumed(winner);
    if (winner.heard)
    {
        silence_.observe(now_ - winner.last_heard);
    }
    winner.heard = true;
    winner.last_heard = now_;
    winner.probe_ends.reset();
    winner.second_asked = false;
    version_ = winner.version;
    std::erase(excluded_, winner.target);
    for (auto const& it : attempts_)
    {
        if (it.id != winner.id)
        {
            out_.push_back(action::cancel_attempt{it.id});
        }
    }
    auto const kept = winner.id;
    std::erase_if(attempts_, [&](attempt const& it) { return it.id != kept; });
}

void machine::relay_ready(bool last)
{
    auto ready = splice_.take_ready(last);
    if (!ready.tokens.empty())
    {
        out_.push_back(action::relay{ready.offset, std::move(ready.tokens),
                                     std::move(ready.text)});
    }
}

void machine::complete(std::string const& finish_reason)
{
    cancel_all();
    relay_ready(true);
    out_.push_back(action::finish{finish_reason,
                                  token_count{splice_.next_offset()},
                                  splice_.digest_of_given(), std::nullopt});
    ended_ = true;
}

void machine::give_up(reason code, std::string text,
                      std::optional<duration> retry_after)
{
    cancel_all();
    // Held tokens stay unsent, so that what the caller brings back ends on a
    // character boundary.
    auto const ran = may_have_run_ ? verdict::may_have_run : verdict::not_run;
    auto const given = splice_.given_offset();
    out_.push_back(action::finish{
        "incomplete", token_count{given}, splice_.digest_of_given(),
        failure{code, ran, std::move(text), retry_after}});
    ended_ = true;
}

void machine::cancel_all()
{
    for (auto const& it : attempts_)
    {
        out_.push_back(action::cancel_attempt{it.id});
    }
    attempts_.clear();
}

/// Tokens of `it` before the limit, up to an end token.
auto machine::tokens_within_limit(event::chunk const& it) const -> std::size_t
{
    auto const room = spec_.max_tokens.value() > it.offset
                          ? spec_.max_tokens.value() - it.offset
                          : 0;
    auto const keep = std::min<std::size_t>(it.tokens.size(), room);
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

auto machine::end_reached() const -> std::optional<std::string>
{
    auto const& tokens = splice_.tokens();
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

auto machine::has_output() const -> bool
{
    return splice_.next_offset() > spec_.already.size();
}

auto machine::find(attempt_id id) -> attempt*
{
    auto const found =
        std::find_if(attempts_.begin(), attempts_.end(),
                     [&](attempt const& it) { return it.id == id; });
    return found == attempts_.end() ? nullptr : &*found;
}

} // namespace primrosedeal::generation
