#include "expected_cost/work_left.hpp"

#include <algorithm>

namespace primrosedeal::expected_cost
{

namespace
{

/// A prompt that has not had its first event counts for at least this fraction:
/// when it should have ended, its target may be late.
constexpr auto least_left = 0.2;

/// Multiples of the expected time after which work is overdue.
constexpr auto overdue_prefill = 2.0;
constexpr auto overdue_events = 3.0;
/// A pause that says nothing.
constexpr auto short_pause = duration{400ms};

/// A prompt of a host that left is not observed to its end.
constexpr auto prompt_timeout = duration{30s};

auto to_us(duration it) -> double
{
    return static_cast<double>(it.count());
}

} // namespace

void work_left::progress::started(time_point now)
{
    if (pending++ == 0)
    {
        pending_since = now;
    }
}

void work_left::progress::finished(time_point now)
{
    pending -= pending > 0 ? 1 : 0;
    last_prefilled = now;
}

void work_left::sent(target_id const& id, double prompt, double ahead,
                     time_point now)
{
    auto& it = targets_[id];
    if (it.own.pending == 0)
    {
        it.first_tokens = prompt + ahead;
    }
    it.own.started(now);
}

void work_left::first_event(target_id const& id, double output, time_point now)
{
    targets_[id].own.finished(now);
    resumed(id, output, now);
}

void work_left::resumed(target_id const& id, double output, time_point now)
{
    auto& it = targets_[id];
    it.output += output;
    ++it.streams;
    it.last_event = now;
}

void work_left::generated(target_id const& id, double tokens, time_point now)
{
    if (auto const it = targets_.find(id); it != targets_.end())
    {
        it->second.output = std::max(0.0, it->second.output - tokens);
        it->second.last_event = now;
    }
}

void work_left::ended(target_id const& id, std::optional<double> output_left,
                      time_point now)
{
    auto const found = targets_.find(id);
    if (found == targets_.end())
    {
        return;
    }
    auto& it = found->second;
    if (output_left)
    {
        it.output = std::max(0.0, it.output - *output_left);
        it.streams -= it.streams > 0 ? 1 : 0;
        it.output = it.streams == 0 ? 0 : it.output;
    }
    else
    {
        it.own.finished(now);
    }
    erase_if_idle(id);
}

template <class Matches>
void work_left::drop_prompts(Matches const& matches, time_point now)
{
    for (auto const& it : prompts_)
    {
        auto const found = targets_.find(it.at);
        if (matches(it) && found != targets_.end())
        {
            found->second.others.finished(now);
            erase_if_idle(it.at);
        }
    }
    std::erase_if(prompts_, matches);
}

auto work_left::digest_changed(host_id const& from, target_id const& id,
                               std::uint64_t before, std::uint64_t after,
                               double ahead, time_point now)
    -> std::optional<observed_prefill>
{
    drop_prompts([&](other_prompt const& it)
                 { return now - it.since > prompt_timeout; },
                 now);
    auto const same = [&](other_prompt const& it)
    {
        return it.from == from && it.at == id;
    };
    auto const known = std::find_if(prompts_.begin(), prompts_.end(), same);
    if (after > before)
    {
        auto& it = targets_[id].others;
        if (known == prompts_.end() && prompts_.size() < max_observed_prompts)
        {
            it.started(now);
            prompts_.push_back(
                {from, id, static_cast<double>(after - before), ahead, now});
        }
        else if (known != prompts_.end())
        {
            // Which of the two ends first is not known.
            known->tokens = 0;
        }
        return std::nullopt;
    }
    if (auto const it = targets_.find(id); it != targets_.end())
    {
        it->second.others.last_prefilled = now;
    }
    if (known == prompts_.end() || after > 0)
    {
        return std::nullopt;
    }
    auto const it = *known;
    prompts_.erase(known);
    targets_[id].others.finished(now);
    erase_if_idle(id);
    return it.tokens > 0 ? std::optional{observed_prefill{it.tokens + it.ahead,
                                                          now - it.since}}
                         : std::nullopt;
}

void work_left::erase_if_idle(target_id const& id)
{
    auto const found = targets_.find(id);
    if (found != targets_.end() && found->second.streams == 0 &&
        found->second.own.pending == 0 && found->second.others.pending == 0)
    {
        targets_.erase(found);
    }
}

void work_left::remove(target_id const& id)
{
    targets_.erase(id);
    std::erase_if(prompts_,
                  [&](other_prompt const& it) { return it.at == id; });
}

auto work_left::prefill_left(target_id const& id, pending_tokens const& pending,
                             double usual_prompt, double us_per_token,
                             time_point now) const -> double
{
    auto const sum = static_cast<double>(pending.own + pending.others);
    auto const found = targets_.find(id);
    if (sum == 0 || found == targets_.end())
    {
        return sum;
    }
    auto const& [own, others] =
        std::pair{found->second.own, found->second.others};
    // The target has been at its present prompt since the last one ended or,
    // if it was idle, since this one arrived.
    auto began = std::max(own.last_prefilled, others.last_prefilled);
    auto since = now;
    since = own.pending > 0 ? std::min(since, own.pending_since) : since;
    since = others.pending > 0 ? std::min(since, others.pending_since) : since;
    began = std::max(began, since);
    auto const done = to_us(now - began) / us_per_token;
    auto const present = std::min(sum, usual_prompt);
    return sum - std::clamp(done, 0.0, (1 - least_left) * present);
}

auto work_left::output_left(target_id const& id) const -> double
{
    auto const found = targets_.find(id);
    return found == targets_.end() ? 0 : found->second.output;
}

auto work_left::speed_bound(target_id const& id, expectation const& expected,
                            time_point now) const -> std::optional<double>
{
    auto const found = targets_.find(id);
    if (found == targets_.end())
    {
        return std::nullopt;
    }
    auto const& it = found->second;
    auto out = std::optional<double>{};
    auto const bound = [&](double usual_us, double factor, duration passed)
    {
        auto const expected_us = usual_us / expected.speed;
        if (passed > short_pause && to_us(passed) > factor * expected_us)
        {
            auto const ratio = expected_us / to_us(passed);
            out =
                std::min(out.value_or(expected.speed), expected.speed * ratio);
        }
    };
    if (it.streams > 0)
    {
        bound(events_observed * to_us(expected.event_time), overdue_events,
              now - it.last_event);
    }
    if (it.own.pending > 0)
    {
        bound(it.first_tokens * expected.us_per_token, overdue_prefill,
              now - std::max(it.own.pending_since, it.own.last_prefilled));
    }
    if (it.others.pending > 0)
    {
        auto const since =
            std::max(it.others.pending_since, it.others.last_prefilled);
        bound(expected.prompt * expected.us_per_token, overdue_prefill,
              now - since - expected.digest_age);
    }
    return out;
}

} // namespace primrosedeal::expected_cost
