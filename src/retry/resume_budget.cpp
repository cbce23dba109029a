#include "retry/resume_budget.hpp"

#include <algorithm>

// A resume is charged to both token buckets or to neither, so that an exhausted
// domain does not drain the budgets of its targets.

namespace primrosedeal::retry
{

void resume_budget::refill(account& it, double rate, double burst,
                           time_point now)
{
    auto const passed = std::max(to_seconds(now - it.refilled_at), 0.0);
    it.tokens = std::min(it.tokens + rate * passed, burst);
    it.refilled_at = now;
}

auto resume_budget::take(target_id const& target, domain_id const& domain,
                         time_point now) -> bool
{
    auto const full_target = account{settings_.target_burst, now};
    auto const full_domain = account{settings_.domain_burst, now};
    auto& target_account =
        targets_.try_emplace(target, full_target).first->second;
    auto& domain_account =
        domains_.try_emplace(domain, full_domain).first->second;
    refill(target_account, settings_.target_rate, settings_.target_burst, now);
    refill(domain_account, settings_.domain_rate, settings_.domain_burst, now);
    if (target_account.tokens < 1 || domain_account.tokens < 1)
    {
        return false;
    }
    target_account.tokens -= 1;
    domain_account.tokens -= 1;
    return true;
}

void resume_budget::forget(target_id const& target)
{
    targets_.erase(target);
}

} // namespace primrosedeal::retry
