#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <variant>

/// Decides whether a request may start, by its organisation's limits.
namespace primrosedeal::admission
{

/// An organisation's limits over all hosts, from defaults and exceptions.
struct organisation_limits
{
    /// Requests side by side.
    double concurrency = 64;
    double tokens_per_second = 50'000;
    /// Share under overload, relative to other organisations.
    double weight = 1;
};

struct arrival
{
    organisation_id organisation;
    organisation_limits limits;
    /// Prompt and the most that may be generated.
    token_count estimated;
    /// Larger goes first.
    int priority = 0;
    time_point deadline{};
};

struct admitted
{
};

struct refused
{
    reason code = reason::overloaded;
    /// When to come back; always set and above zero.
    duration retry_after{};
};

using decision = std::variant<admitted, refused>;

struct admitter_settings
{
    /// Entry hosts that share the limits.
    std::size_t hosts = 1;
    /// An organisation without requests for this long is forgotten.
    duration forget_after = 5s;
    /// Organisations tracked at once.
    std::size_t max_organisations = 8192;
    duration min_retry_after = 1s;
    duration max_retry_after = 30s;
};

class admitter
{
public:
    explicit admitter(admitter_settings settings) : settings_(settings) {}

    /// An admitted request counts until `finished`.
    auto admit(arrival const& it, time_point now) -> decision;

    /// `estimated` as it was admitted with, `used` what it took.
    void finished(organisation_id const& organisation, token_count estimated,
                  token_count used, time_point now);

    /// Forgets idle organisations; call about once a second.
    void tick(time_point now);

    [[nodiscard]] auto tracked() const -> std::size_t
    {
        return accounts_.size();
    }

private:
    struct account
    {
        organisation_limits limits;
        std::uint32_t in_flight = 0;
        /// Tokens that may be spent; negative: to be earned back first.
        double tokens = 0;
        time_point at{};
    };

    auto account_of(arrival const& it, time_point now) -> account*;
    void refill(account& it, time_point now) const;
    [[nodiscard]] auto refuse(reason code, double seconds) const -> refused;

    admitter_settings settings_;
    std::unordered_map<organisation_id, account> accounts_;
};

} // namespace primrosedeal::admission
