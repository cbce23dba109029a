#include "lookup/look_up.hpp"

#include <algorithm>
#include <utility>

// At most two attempts are open at a time; the second one is a hedge. A retry
// is charged to the shared budget only after all other checks have passed, so a
// retry that is not made costs nothing.

namespace primrosedeal::lookup
{

auto is_target_error(int status) -> bool
{
    return status == 502 || status == 503 || status == 504;
}

auto look_up::start(time_point now) -> actions
{
    now_ = now;
    budget_.request(service_, organisation_);
    if (may_begin_attempt())
    {
        begin_attempt(std::nullopt);
    }
    else
    {
        fail(reason::deadline_expired);
    }
    return std::exchange(out_, {});
}

auto look_up::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    if (!finished_)
    {
        std::visit([this](auto const& e) { on(e); }, it);
    }
    return std::exchange(out_, {});
}

void look_up::note_target(attempt_id attempt, target_id target)
{
    auto const is_open =
        std::any_of(open_attempts_.begin(), open_attempts_.end(),
                    [&](auto const& each) { return each.id == attempt; });
    if (is_open)
    {
        tried_.push_back(std::move(target));
    }
}

auto look_up::remove_open_attempt(attempt_id id) -> bool
{
    return std::erase_if(open_attempts_,
                         [&](auto const& each) { return each.id == id; }) > 0;
}

auto look_up::may_begin_attempt() const -> bool
{
    return attempts_begun_ < settings_.max_attempts &&
           now_ + settings_.min_attempt_time <= deadline_;
}

void look_up::begin_attempt(std::optional<retry_reason> cause)
{
    auto const id = attempt_id{++attempts_begun_};
    open_attempts_.push_back({id, now_});
    out_.emplace_back(send{id, tried_, cause});
}

void look_up::on(answered const& it)
{
    if (!remove_open_attempt(it.attempt))
    {
        return;
    }
    may_have_sent_ = true;
    if (!is_target_error(it.status))
    {
        finish_with(it);
        return;
    }
    target_error_ = it;
    retry_or_fail(retry_reason::target_error);
}

void look_up::on(failed const& it)
{
    if (remove_open_attempt(it.attempt))
    {
        may_have_sent_ = may_have_sent_ || it.may_have_sent;
        retry_or_fail(it.cause);
    }
}

void look_up::on(no_target const& it)
{
    if (remove_open_attempt(it.attempt) && open_attempts_.empty())
    {
        fail(tried_.empty() ? reason::no_target : reason::target_failed);
    }
}

void look_up::retry_or_fail(retry_reason cause)
{
    if (!open_attempts_.empty())
    {
        return; // the other attempt is still open
    }
    if (!may_begin_attempt())
    {
        auto const too_late = now_ + settings_.min_attempt_time > deadline_;
        fail(too_late ? reason::deadline_expired : reason::target_failed);
        return;
    }
    if (budget_.retry(service_, organisation_) != retry::decision::allowed)
    {
        fail(reason::retry_budget_exhausted);
        return;
    }
    begin_attempt(cause);
}

void look_up::on(timer_due const& /*it*/)
{
    if (now_ >= deadline_)
    {
        fail(reason::deadline_expired);
        return;
    }
    auto timed_out = std::vector<attempt_id>{};
    for (auto const& each : open_attempts_)
    {
        if (each.started_at + settings_.attempt_timeout <= now_)
        {
            timed_out.push_back(each.id);
        }
    }
    for (auto const id : timed_out)
    {
        out_.emplace_back(cancel{id});
        on(failed{id, retry_reason::silence, true});
    }
    auto const hedge = hedge_time();
    if (!finished_ && hedge && *hedge <= now_)
    {
        hedged_ = true;
        if (may_begin_attempt() &&
            budget_.retry(service_, organisation_) == retry::decision::allowed)
        {
            begin_attempt(retry_reason::early_second_attempt);
        }
    }
}

auto look_up::hedge_time() const -> std::optional<time_point>
{
    if (!settings_.hedge_after || hedged_ || open_attempts_.size() != 1)
    {
        return std::nullopt;
    }
    return open_attempts_.front().started_at + *settings_.hedge_after;
}

auto look_up::next_timer() const -> std::optional<time_point>
{
    if (finished_)
    {
        return std::nullopt;
    }
    auto earliest = deadline_;
    for (auto const& each : open_attempts_)
    {
        earliest =
            std::min(earliest, each.started_at + settings_.attempt_timeout);
    }
    return std::min(earliest, hedge_time().value_or(earliest));
}

void look_up::fail(reason failure_reason)
{
    if (target_error_)
    {
        // More specific than a failure reported by this host.
        finish_with(*target_error_);
        return;
    }
    auto error = failure{};
    error.code = failure_reason;
    error.ran = may_have_sent_ || !open_attempts_.empty()
                    ? verdict::may_have_run
                    : verdict::not_run;
    error.text = "look-up given up: " + std::string{to_string(failure_reason)};
    finish_with(std::move(error));
}

void look_up::finish_with(std::variant<answered, failure> result)
{
    for (auto const& each : open_attempts_)
    {
        out_.emplace_back(cancel{each.id});
    }
    open_attempts_.clear();
    finished_ = true;
    out_.emplace_back(finish{std::move(result)});
}

} // namespace primrosedeal::lookup
