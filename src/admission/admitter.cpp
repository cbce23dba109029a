#include "admission/admitter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// Each limit is shared by `allowance`. Concurrency is counted, the token rate
// is a bucket that fills at the allowed rate; a request is admitted while the
// bucket is not empty and may take it below zero, so that one larger than the
// bucket can run at all.
//
// Under overload the expected wait decides, before any limit: what would miss
// its deadline goes at once, then organisations above their share by weight,
// then all; every priority step doubles the wait that is borne, so that lower
// priorities go first. Around the borne wait a rising share is refused, counted
// out evenly: with late reports a hard limit would leave targets full and idle
// by turns.

namespace primrosedeal::admission
{

namespace
{

constexpr auto rate_memory = 0.3;
constexpr auto bucket_seconds = 0.5;
/// A host may always spend this share of its equal part of a token rate.
constexpr auto min_rate_share = 0.1;

void tell(std::vector<told_usage>& all, told_usage const& it)
{
    auto const found = std::ranges::find(all, it.host, &told_usage::host);
    if (found == all.end())
    {
        all.push_back(it);
        return;
    }
    *found = it;
}

/// Share of the requests to take at `fullness`, the wait against the wait that
/// is borne: all up to half of it, none from one and a half.
auto taken_share(double fullness) -> double
{
    return std::clamp(1.5 - fullness, 0.0, 1.0);
}

} // namespace

auto admitter::refuse(reason code, double seconds) const -> refused
{
    auto const limit = to_seconds(settings_.max_retry_after);
    auto const wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, limit)));
    return {code, std::max(wait, settings_.min_retry_after)};
}

auto admitter::account_of(arrival const& it, time_point now) -> account*
{
    auto const known = accounts_.contains(it.organisation);
    if (!known && accounts_.size() >= settings_.max_organisations)
    {
        tick(now);
    }
    if (!known && accounts_.size() >= settings_.max_organisations)
    {
        return nullptr;
    }
    auto& its = accounts_[it.organisation];
    its.limits = it.limits;
    if (!std::exchange(its.seen_here, true))
    {
        its.at = now;
        its.tokens = rate_of(its, now) * bucket_seconds;
    }
    return &its;
}

auto admitter::rate_of(account const& it, time_point now) const -> double
{
    auto const limit = it.limits.tokens_per_second;
    auto const part = limit / static_cast<double>(settings_.sharing.hosts);
    return std::max(allowance(settings_.sharing, limit, it.told_rate,
                              it.peer_rate, heard_, now),
                    min_rate_share * part);
}

auto admitter::has_slot(account const& it, time_point now) const -> bool
{
    auto const allowed =
        allowance(settings_.sharing, it.limits.concurrency, it.told_concurrency,
                  it.peer_concurrency, heard_, now);
    // A limit smaller than the number of hosts must let a first one in.
    auto const alone =
        it.in_flight == 0 && it.limits.concurrency >= 1 &&
        std::ranges::all_of(it.peer_concurrency, [](told_usage const& each)
                            { return each.used == 0; });
    return alone || it.in_flight + 1 <= allowed;
}

void admitter::refill(account& it, time_point now) const
{
    auto const passed = std::max(to_seconds(now - it.at), 0.0);
    auto const rate = rate_of(it, now);
    it.tokens = std::min(it.tokens + rate * passed, rate * bucket_seconds);
    it.rate *= std::exp(-passed / rate_memory);
    it.at = now;
}

auto admitter::expected_wait() const -> duration
{
    if (pressure_.slots <= 0)
    {
        return duration{0};
    }
    auto const seconds = pressure_.waiting / pressure_.slots *
                         to_seconds(pressure_.service_time);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

auto admitter::above_fair_share(account const& it) const -> bool
{
    return it.rate * active_weight_ > it.limits.weight * used_rate_;
}

auto admitter::admit(arrival const& it, time_point now) -> decision
{
    if (it.deadline <= now)
    {
        return refuse(reason::deadline_expired, 0);
    }
    auto* const its = account_of(it, now);
    if (its == nullptr)
    {
        return refuse(reason::overloaded, 0);
    }
    refill(*its, now);
    auto const wait = expected_wait();
    if (now + wait > it.deadline)
    {
        return refuse(reason::deadline_unreachable, to_seconds(wait));
    }
    constexpr auto max_steps = 8;
    auto const patience =
        std::exp2(std::clamp(it.priority, -max_steps, max_steps));
    auto const borne =
        above_fair_share(*its) ? settings_.fair_wait : settings_.max_wait;
    its->credit +=
        taken_share(to_seconds(wait) / (to_seconds(borne) * patience));
    if (its->credit < 1)
    {
        return refuse(reason::overloaded, to_seconds(wait));
    }
    its->credit = std::min(its->credit, 1.0);
    if (!has_slot(*its, now))
    {
        its->wants_concurrency = true;
        return refuse(reason::organisation_concurrency, 0);
    }
    if (its->tokens <= 0)
    {
        its->wants_tokens = true;
        return refuse(reason::organisation_rate,
                      -its->tokens / rate_of(*its, now));
    }
    its->credit -= 1;
    auto const tokens = static_cast<double>(it.estimated.value());
    ++its->in_flight;
    its->tokens -= tokens;
    its->rate += tokens / rate_memory;
    return admitted{};
}

void admitter::finished(organisation_id const& organisation,
                        token_count estimated, token_count used, time_point now)
{
    auto const it = accounts_.find(organisation);
    if (it == accounts_.end() || it->second.in_flight == 0)
    {
        return;
    }
    refill(it->second, now);
    --it->second.in_flight;
    auto const unused = static_cast<double>(estimated.value()) -
                        static_cast<double>(used.value());
    it->second.tokens += unused;
    it->second.rate = std::max(it->second.rate - unused / rate_memory, 0.0);
}

void admitter::tick(time_point now)
{
    std::erase_if(accounts_,
                  [&](auto const& each)
                  {
                      auto const& it = each.second;
                      return it.in_flight == 0 &&
                             now - it.at > settings_.forget_after;
                  });
}

auto admitter::digest(time_point now) -> usage_digest
{
    tick(now);
    auto all = usage_digest{};
    used_rate_ = 0;
    active_weight_ = 0;
    for (auto& [organisation, it] : accounts_)
    {
        auto const idle = std::max(to_seconds(now - it.at), 0.0);
        auto const rate = it.rate * std::exp(-idle / rate_memory);
        it.told_concurrency.used = it.in_flight;
        it.told_concurrency.wanting = it.wants_concurrency;
        it.told_rate.used = rate;
        it.told_rate.wanting = it.wants_tokens;
        used_rate_ += rate;
        active_weight_ += it.limits.weight;
        if (it.seen_here)
        {
            all.usages.push_back({organisation, it.told_concurrency.used, rate,
                                  it.wants_concurrency, it.wants_tokens});
        }
        it.wants_concurrency = false;
        it.wants_tokens = false;
    }
    return all;
}

auto admitter::number_of(host_id const& host) -> std::uint32_t
{
    auto const [it, fresh] = hosts_.try_emplace(host, 0);
    if (!fresh)
    {
        return it->second;
    }
    auto const free =
        std::ranges::find_if(heard_.at, [](auto const& each) { return !each; });
    it->second = static_cast<std::uint32_t>(free - heard_.at.begin());
    if (free == heard_.at.end())
    {
        heard_.at.emplace_back();
    }
    return it->second;
}

void admitter::on_digest(host_id const& host, usage_digest const& it,
                         time_point now)
{
    auto const number = number_of(host);
    heard_.at[number] = now;
    for (auto& [organisation, its] : accounts_)
    {
        tell(its.peer_concurrency, {number, 0, false, now});
        tell(its.peer_rate, {number, 0, false, now});
    }
    for (auto const& each : it.usages)
    {
        auto const known = accounts_.contains(each.organisation);
        if (!known && accounts_.size() >= settings_.max_organisations)
        {
            continue;
        }
        auto& its = accounts_[each.organisation];
        its.at = known ? its.at : now;
        tell(its.peer_concurrency,
             {number, each.in_flight, each.wants_concurrency, now});
        tell(its.peer_rate,
             {number, each.tokens_per_second, each.wants_tokens, now});
    }
}

void admitter::forget(host_id const& host)
{
    auto const it = hosts_.find(host);
    if (it == hosts_.end())
    {
        return;
    }
    heard_.at[it->second].reset();
    for (auto& [organisation, its] : accounts_)
    {
        auto const theirs = [&](told_usage const& each)
        {
            return each.host == it->second;
        };
        std::erase_if(its.peer_concurrency, theirs);
        std::erase_if(its.peer_rate, theirs);
    }
    hosts_.erase(it);
}

} // namespace primrosedeal::admission
