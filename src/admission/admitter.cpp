#include "admission/admitter.hpp"

#include <algorithm>

// Each host enforces an equal part of every limit. The token rate is a bucket
// of one second; a request is admitted while the bucket is not empty and may
// take it below zero, so that one larger than the bucket can run at all.

namespace primrosedeal::admission
{

auto admitter::refuse(reason code, double seconds) const -> refused
{
    auto const wait = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
    return {code, std::clamp(wait, settings_.min_retry_after,
                             settings_.max_retry_after)};
}

auto admitter::account_of(arrival const& it, time_point now) -> account*
{
    auto const found = accounts_.find(it.organisation);
    if (found != accounts_.end())
    {
        found->second.limits = it.limits;
        return &found->second;
    }
    if (accounts_.size() >= settings_.max_organisations)
    {
        tick(now);
    }
    if (accounts_.size() >= settings_.max_organisations)
    {
        return nullptr;
    }
    auto fresh = account{};
    fresh.limits = it.limits;
    fresh.at = now;
    auto const hosts = static_cast<double>(settings_.hosts);
    fresh.tokens = it.limits.tokens_per_second / hosts;
    return &accounts_.emplace(it.organisation, fresh).first->second;
}

void admitter::refill(account& it, time_point now) const
{
    auto const rate =
        it.limits.tokens_per_second / static_cast<double>(settings_.hosts);
    auto const passed = std::max(to_seconds(now - it.at), 0.0);
    it.tokens = std::min(it.tokens + rate * passed, rate);
    it.at = now;
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
    auto const hosts = static_cast<double>(settings_.hosts);
    if (its->in_flight + 1 > std::max(it.limits.concurrency / hosts, 1.0))
    {
        return refuse(reason::organisation_concurrency, 0);
    }
    auto const rate = it.limits.tokens_per_second / hosts;
    if (its->tokens <= 0)
    {
        return refuse(reason::organisation_rate, -its->tokens / rate);
    }
    ++its->in_flight;
    its->tokens -= static_cast<double>(it.estimated.value());
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
    it->second.tokens += static_cast<double>(estimated.value()) -
                         static_cast<double>(used.value());
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

} // namespace primrosedeal::admission
