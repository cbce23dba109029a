#include "retry/resume_budget.hpp"

#include <algorithm>

// Token buckets. A resume takes from both accounts or from neither, so that a
// full domain does not use up its targets' budgets.

namespace primrosedeal::retry
{

void resume_budget::refill(account& it, double rate, double burst,
                           time_point now)
{
    auto const passed = std::max(to_seconds(now - it.at), 0.0);
    it.saved = std::min(it.saved + rate * passed, burst);
    it.at = now;
}

auto resume_budget::take(target_id const& target, domain_id const& domain,
                         time_point now) -> bool
{
    auto const fresh_target = account{settings_.target_burst, now};
    auto const fresh_domain = account{settings_.domain_burst, now};
    auto& a = targets_.try_emplace(target, fresh_target).first->second;
    auto& b = domains_.try_emplace(domain, fresh_domain).first->second;
    refill(a, settings_.target_rate, settings_.target_burst, now);
    refill(b, settings_.domain_rate, settings_.domain_burst, now);
    if (a.saved < 1 || b.saved < 1)
    {
        return false;
    }
    a.saved -= 1;
    b.saved -= 1;
    return true;
}

void resume_budget::forget(target_id const& target)
{
    targets_.erase(target);
}

} // namespace primrosedeal::retry
