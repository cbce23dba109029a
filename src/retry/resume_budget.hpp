#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <unordered_map>

/// Limits the rate of resumes, so that the loss of one target does not overload
/// the targets that take over its streams. Each target and each failure domain
/// has its own token bucket.
namespace primrosedeal::retry
{

struct resume_budget_settings
{
    /// Resumes per second that one host sends to one target.
    double target_rate = 4;
    double target_burst = 2;
    /// Resumes per second that one host sends to one failure domain.
    double domain_rate = 32;
    double domain_burst = 64;
};

/// Holds one account per target and per domain that was asked for a resume.
class resume_budget
{
public:
    explicit resume_budget(resume_budget_settings settings)
        : settings_(settings)
    {
    }

    /// Returns true and charges both accounts if a resume may be sent to
    /// `target` of `domain` now.
    auto take(target_id const& target, domain_id const& domain, time_point now)
        -> bool;

    void forget(target_id const& target);

private:
    struct account
    {
        double tokens = 0;
        time_point refilled_at{};
    };

    static void refill(account& it, double rate, double burst, time_point now);

    resume_budget_settings settings_;
    std::unordered_map<target_id, account> targets_;
    std::unordered_map<domain_id, account> domains_;
};

} // namespace primrosedeal::retry
