#include "admission/admitter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// `allowance` computes this host's share of each limit. Concurrency is a count;
// the token rate is a token bucket that refills at the allowed rate. A request
// is admitted while the bucket is not empty and may make its level negative,
// because otherwise a request larger than the bucket could never run.
//
// Under overload the expected queueing delay is checked before the limits.
// Requests that would miss their deadline are refused first, then those of
// organisations above their weighted fair share, then all others. Each priority
// step doubles the tolerated delay, so lower priorities are refused earlier.
// Around the tolerated delay the refused fraction rises gradually and is spread
// evenly over the requests: because load reports are delayed, a hard threshold
// would make targets alternate between full and idle.

namespace primrosedeal::admission
{

namespace
{

constexpr auto rate_time_constant_s = 0.3;
constexpr auto bucket_depth_s = 0.5;
/// A host may always use this fraction of its equal share of a token rate.
constexpr auto min_rate_fraction = 0.1;

void update_usage(std::vector<reported_usage>& all, reported_usage const& it)
{
    auto const found = std::ranges::find(all, it.host, &reported_usage::host);
    if (found == all.end())
    {
        all.push_back(it);
        return;
    }
    *found = it;
}

/// Fraction of requests to admit at `fullness`, the expected delay divided by
/// the tolerated delay: all up to half of it, none from one and a half.
auto admitted_fraction(double fullness) -> double
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

auto admitter::account_of(admission_request const& it, time_point now)
    -> account*
{
    auto const known = accounts_.contains(it.organisation);
    if (!known && accounts_.size() >= settings_.max_organisations)
    {
        remove_idle(now);
    }
    if (!known && accounts_.size() >= settings_.max_organisations)
    {
        return nullptr;
    }
    auto& its = accounts_[it.organisation];
    its.limits = it.limits;
    if (!std::exchange(its.seen_locally, true))
    {
        its.updated_at = now;
        its.tokens = rate_of(its, now) * bucket_depth_s;
    }
    return &its;
}

auto admitter::rate_of(account const& it, time_point now) const -> double
{
    auto const limit = it.limits.tokens_per_second;
    auto const equal_share =
        limit / static_cast<double>(settings_.sharing.hosts);
    return std::max(allowance(settings_.sharing, limit, it.reported_rate,
                              it.peer_rate, report_times_, now),
                    min_rate_fraction * equal_share);
}

auto admitter::has_slot(account const& it, time_point now) const -> bool
{
    auto const allowed = allowance(settings_.sharing, it.limits.concurrency,
                                   it.reported_concurrency, it.peer_concurrency,
                                   report_times_, now);
    // If the limit is smaller than the number of hosts, each host's share is
    // below 1, but the first request must still be admitted.
    auto const is_first_request =
        it.in_flight == 0 && it.limits.concurrency >= 1 &&
        std::ranges::all_of(it.peer_concurrency, [](reported_usage const& each)
                            { return each.used == 0; });
    return is_first_request || it.in_flight + 1 <= allowed;
}

void admitter::refill(account& it, time_point now) const
{
    auto const passed = std::max(to_seconds(now - it.updated_at), 0.0);
    auto const rate = rate_of(it, now);
    it.tokens = std::min(it.tokens + rate * passed, rate * bucket_depth_s);
    it.rate *= std::exp(-passed / rate_time_constant_s);
    it.updated_at = now;
}

auto admitter::expected_wait() const -> duration
{
    if (target_backlog_.slots <= 0)
    {
        return duration{0};
    }
    auto const seconds = target_backlog_.waiting / target_backlog_.slots *
                         to_seconds(target_backlog_.service_time);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

auto admitter::above_fair_share(account const& it) const -> bool
{
    return it.rate * active_weight_ > it.limits.weight * used_rate_;
}

auto admitter::admit(admission_request const& it, time_point now) -> decision
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
    constexpr auto max_priority_steps = 8;
    auto const priority_factor = std::exp2(
        std::clamp(it.priority, -max_priority_steps, max_priority_steps));
    auto const tolerated_wait = above_fair_share(*its)
                                    ? settings_.max_wait_above_fair_share
                                    : settings_.max_wait;
    its->overload_credit += admitted_fraction(
        to_seconds(wait) / (to_seconds(tolerated_wait) * priority_factor));
    if (its->overload_credit < 1)
    {
        return refuse(reason::overloaded, to_seconds(wait));
    }
    its->overload_credit = std::min(its->overload_credit, 1.0);
    if (!has_slot(*its, now))
    {
        its->unmet_concurrency = true;
        return refuse(reason::organisation_concurrency, 0);
    }
    if (its->tokens <= 0)
    {
        its->unmet_tokens = true;
        return refuse(reason::organisation_rate,
                      -its->tokens / rate_of(*its, now));
    }
    its->overload_credit -= 1;
    auto const tokens = static_cast<double>(it.estimated.value());
    ++its->in_flight;
    its->tokens -= tokens;
    its->rate += tokens / rate_time_constant_s;
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
    it->second.rate =
        std::max(it->second.rate - unused / rate_time_constant_s, 0.0);
}

void admitter::remove_idle(time_point now)
{
    std::erase_if(accounts_,
                  [&](auto const& each)
                  {
                      auto const& it = each.second;
                      return it.in_flight == 0 &&
                             now - it.updated_at > settings_.idle_expiry;
                  });
}

auto admitter::make_digest(time_point now) -> usage_digest
{
    remove_idle(now);
    auto all = usage_digest{};
    used_rate_ = 0;
    active_weight_ = 0;
    for (auto& [organisation, it] : accounts_)
    {
        auto const idle = std::max(to_seconds(now - it.updated_at), 0.0);
        auto const rate = it.rate * std::exp(-idle / rate_time_constant_s);
        it.reported_concurrency.used = it.in_flight;
        it.reported_concurrency.unmet_demand = it.unmet_concurrency;
        it.reported_rate.used = rate;
        it.reported_rate.unmet_demand = it.unmet_tokens;
        used_rate_ += rate;
        active_weight_ += it.limits.weight;
        if (it.seen_locally)
        {
            all.usages.push_back({organisation, it.reported_concurrency.used,
                                  rate, it.unmet_concurrency, it.unmet_tokens});
        }
        it.unmet_concurrency = false;
        it.unmet_tokens = false;
    }
    return all;
}

auto admitter::index_of(host_id const& host) -> std::uint32_t
{
    auto const [it, added] = hosts_.try_emplace(host, 0);
    if (!added)
    {
        return it->second;
    }
    auto const unassigned = std::ranges::find_if(
        report_times_.at, [](auto const& each) { return !each; });
    it->second =
        static_cast<std::uint32_t>(unassigned - report_times_.at.begin());
    if (unassigned == report_times_.at.end())
    {
        report_times_.at.emplace_back();
    }
    return it->second;
}

void admitter::on_digest(host_id const& host, usage_digest const& it,
                         time_point now)
{
    auto const index = index_of(host);
    report_times_.at[index] = now;
    for (auto& [organisation, its] : accounts_)
    {
        update_usage(its.peer_concurrency, {index, 0, false, now});
        update_usage(its.peer_rate, {index, 0, false, now});
    }
    for (auto const& each : it.usages)
    {
        auto const known = accounts_.contains(each.organisation);
        if (!known && accounts_.size() >= settings_.max_organisations)
        {
            continue;
        }
        auto& its = accounts_[each.organisation];
        its.updated_at = known ? its.updated_at : now;
        update_usage(its.peer_concurrency,
                     {index, each.in_flight, each.unmet_concurrency, now});
        update_usage(its.peer_rate,
                     {index, each.tokens_per_second, each.unmet_tokens, now});
    }
}

void admitter::remove_host(host_id const& host)
{
    auto const it = hosts_.find(host);
    if (it == hosts_.end())
    {
        return;
    }
    report_times_.at[it->second].reset();
    for (auto& [organisation, its] : accounts_)
    {
        auto const from_host = [&](reported_usage const& each)
        {
            return each.host == it->second;
        };
        std::erase_if(its.peer_concurrency, from_host);
        std::erase_if(its.peer_rate, from_host);
    }
    hosts_.erase(it);
}

} // namespace primrosedeal::admission
