#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

/// Limits attempts to a configured multiple of requests, even if every target
/// fails, and spreads retries over time.
namespace primrosedeal::retry
{

struct budget_settings
{
    /// Retries earned by each request.
    double ratio = 0.19;
    /// Initial balance in retries, so that a service with few requests can
    /// retry.
    double initial_balance = 5;
    /// Largest balance in retries.
    double max_balance = 50;
    /// Organisations tracked; the least recently used one is evicted.
    std::size_t max_organisations = 1024;
};

/// Whether a retry is allowed, or which account is exhausted.
enum class decision
{
    allowed,
    service_exhausted,
    organisation_exhausted,
};

/// Accounts of retries per service and per organisation. A retry is charged to
/// both accounts or to neither. Attempts of a service stay within
/// `(1 + ratio) * requests + reserve`.
class budget
{
public:
    explicit budget(budget_settings settings) : settings_(settings) {}

    /// Credits a request; call once, before its first attempt.
    void request(service_id const& service,
                 organisation_id const& organisation);

    /// Requests one retry. `decision::allowed` allows it and charges the
    /// accounts.
    auto retry(service_id const& service, organisation_id const& organisation)
        -> decision;

    [[nodiscard]] auto tracked_organisations() const -> std::size_t
    {
        return organisations_.size();
    }

private:
    struct account
    {
        double balance;
        std::list<organisation_id>::iterator lru_position;
    };

    auto service_account(service_id const& service) -> double&;
    auto organisation_account(organisation_id const& organisation) -> double&;

    budget_settings settings_;
    std::unordered_map<service_id, double> services_;
    std::unordered_map<organisation_id, account> organisations_;
    std::list<organisation_id> lru_order_;
};

struct backoff_settings
{
    duration base = 20ms;
    duration limit = 1s;
};

/// Full jitter: uniform in [0, min(limit, base * 2^(attempt - 1))), with
/// `attempt` the number of the attempt that failed, from 1.
auto backoff(backoff_settings const& settings, std::uint32_t attempt,
             random_source& random) -> duration;

} // namespace primrosedeal::retry
