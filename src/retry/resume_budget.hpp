#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <unordered_map>

/// Spreads resumes, so that the loss of one target does not overload those
/// that take over. Each target and each failure domain has its own budget.
namespace primrosedeal::retry
{

struct resume_budget_settings
{
    /// Resumes a second that one host sends to one target.
    double target_rate = 4;
    double target_burst = 2;
    /// The same to all targets of one failure domain.
    double domain_rate = 32;
    double domain_burst = 64;
};

/// Memory: one account for each target and domain that took a resume.
class resume_budget
{
public:
    explicit resume_budget(resume_budget_settings settings)
        : settings_(settings)
    {
    }

    /// True if a resume may go to `target` of `domain` now; it then counts.
    auto take(target_id const& target, domain_id const& domain, time_point now)
        -> bool;

    void forget(target_id const& target);

private:
    struct account
    {
        double saved = 0;
        time_point at{};
    };

    static void refill(account& it, double rate, double burst, time_point now);

    resume_budget_settings settings_;
    std::unordered_map<target_id, account> targets_;
    std::unordered_map<domain_id, account> domains_;
};

} // namespace primrosedeal::retry
