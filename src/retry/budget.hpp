#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

/// Keeps attempts within a stated multiple of requests, also when every
/// target fails, and spreads retries in time.
namespace primrosedeal::retry
{

struct budget_settings
{
    /// Retries earned by each request.
    double ratio = 0.19;
    /// Retries that an account starts with, so that a quiet service can retry.
    double reserve = 5;
    /// Retries that an account can save.
    double max_saved = 50;
    /// Organisations remembered; the one idle for longest is dropped.
    std::size_t max_organisations = 1024;
};

/// Why a retry was not allowed.
enum class spent
{
    no,
    service,
    organisation,
};

/// One account of each service and one of each organisation. A retry takes
/// from both, or from neither. Attempts of a service stay within
/// `(1 + ratio) * requests + reserve`.
class budget
{
public:
    explicit budget(budget_settings settings) : settings_(settings) {}

    /// A request arrived; call once, before its first attempt.
    void request(service_id const& service,
                 organisation_id const& organisation);

    /// Asks for one further attempt. `spent::no` allows and counts it.
    auto retry(service_id const& service, organisation_id const& organisation)
        -> spent;

    [[nodiscard]] auto tracked_organisations() const -> std::size_t
    {
        return organisations_.size();
    }

private:
    struct account
    {
        double saved;
        std::list<organisation_id>::iterator use;
    };

    auto service_account(service_id const& service) -> double&;
    auto organisation_account(organisation_id const& organisation) -> double&;

    budget_settings settings_;
    std::unordered_map<service_id, double> services_;
    std::unordered_map<organisation_id, account> organisations_;
    std::list<organisation_id> uses_;
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
