#include "lookup/look_up.hpp"

#include <algorithm>
#include <utility>

// At most two attempts are open at a time, the second one a hedge. A retry is
// paid from the shared budget only when it would really begin, so that a
// refused one costs nothing.

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
    if (may_begin())
    {
        begin(std::nullopt);
    }
    else
    {
        give_up(reason::deadline_expired);
    }
    return std::exchange(out_, {});
}

auto look_up::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    if (!finished_)
    {
        std::visit([this](auto const& what) { on(what); }, it);
    }
    return std::exchange(out_, {});
}

void look_up::note_target(attempt_id attempt, target_id target)
{
    auto const known =
        std::any_of(open_.begin(), open_.end(),
                    [&](auto const& each) { return each.id == attempt; });
    if (known)
    {
        tried_.push_back(std::move(target));
    }
}

auto look_up::close(attempt_id id) -> bool
{
    return std::erase_if(open_,
                         [&](auto const& each) { return each.id == id; }) > 0;
}

auto look_up::may_begin() const -> bool
{
    return begun_ < settings_.max_attempts &&
           now_ + settings_.shortest_attempt <= deadline_;
}

void look_up::begin(std::optional<retry_reason> because)
{
    auto const id = attempt_id{++begun_};
    open_.push_back({id, now_});
    out_.emplace_back(send{id, tried_, because});
}

void look_up::on(answered const& it)
{
    if (!close(it.attempt))
    {
        return;
    }
    may_have_sent_ = true;
    if (!is_target_error(it.status))
    {
        end(it);
        return;
    }
    bad_answer_ = it;
    retry_or_give_up(retry_reason::target_error);
}

void look_up::on(failed const& it)
{
    if (close(it.attempt))
    {
        may_have_sent_ = may_have_sent_ || it.may_have_sent;
        retry_or_give_up(it.why);
    }
}

void look_up::on(no_target const& it)
{
    if (close(it.attempt) && open_.empty())
    {
        give_up(tried_.empty() ? reason::no_target : reason::target_failed);
    }
}

void look_up::retry_or_give_up(retry_reason why)
{
    if (!open_.empty())
    {
        return; // the hedge still runs
    }
    if (!may_begin())
    {
        auto const late = now_ + settings_.shortest_attempt > deadline_;
        give_up(late ? reason::deadline_expired : reason::target_failed);
        return;
    }
    if (budget_.retry(service_, organisation_) != retry::decision::allowed)
    {
        give_up(reason::retry_budget_exhausted);
        return;
    }
    begin(why);
}

void look_up::on(timer_due const& /*it*/)
{
    if (now_ >= deadline_)
    {
        give_up(reason::deadline_expired);
        return;
    }
    auto silent = std::vector<attempt_id>{};
    for (auto const& each : open_)
    {
        if (each.begun + settings_.attempt_timeout <= now_)
        {
            silent.push_back(each.id);
        }
    }
    for (auto const id : silent)
    {
        out_.emplace_back(cancel{id});
        on(failed{id, retry_reason::silence, true});
    }
    auto const hedge = hedge_time();
    if (!finished_ && hedge && *hedge <= now_)
    {
        hedged_ = true;
        if (may_begin() &&
            budget_.retry(service_, organisation_) == retry::decision::allowed)
        {
            begin(retry_reason::early_second_attempt);
        }
    }
}

auto look_up::hedge_time() const -> std::optional<time_point>
{
    if (!settings_.hedge_after || hedged_ || open_.size() != 1)
    {
        return std::nullopt;
    }
    return open_.front().begun + *settings_.hedge_after;
}

auto look_up::next_timer() const -> std::optional<time_point>
{
    if (finished_)
    {
        return std::nullopt;
    }
    auto first = deadline_;
    for (auto const& each : open_)
    {
        first = std::min(first, each.begun + settings_.attempt_timeout);
    }
    return std::min(first, hedge_time().value_or(first));
}

void look_up::give_up(reason why)
{
    if (bad_answer_)
    {
        end(*bad_answer_); // what a target said is better than our guess
        return;
    }
    auto what = failure{};
    what.code = why;
    what.ran = may_have_sent_ || !open_.empty() ? verdict::may_have_run
                                                : verdict::not_run;
    what.text = "look-up given up: " + std::string{to_string(why)};
    end(std::move(what));
}

void look_up::end(std::variant<answered, failure> result)
{
    for (auto const& each : open_)
    {
        out_.emplace_back(cancel{each.id});
    }
    open_.clear();
    finished_ = true;
    out_.emplace_back(finish{std::move(result)});
}

} // namespace primrosedeal::lookup
