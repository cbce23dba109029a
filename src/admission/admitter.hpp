#pragma once

#include "admission/shared_limit.hpp"
#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <variant>
#include <vector>

/// Decides whether a request may start: by its organisation's limits, which
/// all hosts share by demand, and by its deadline when targets are full.
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

/// How full the targets are, as this host sees them.
struct pressure
{
    double waiting = 0;
    double slots = 0;
    /// Mean time that a request keeps a slot.
    duration service_time = 20s;
};

/// One organisation's usage at one host.
struct organisation_usage
{
    organisation_id organisation;
    double in_flight = 0;
    double tokens_per_second = 0;
    bool wants_concurrency = false;
    bool wants_tokens = false;
};

/// What a host tells the others about four times a second.
struct usage_digest
{
    std::vector<organisation_usage> usages;
};

struct admitter_settings
{
    sharing_settings sharing;
    /// An organisation without requests for this long is forgotten.
    duration forget_after = 5s;
    /// Organisations tracked at once; beyond, new ones are refused.
    std::size_t max_organisations = 8192;
    duration min_retry_after = 1s;
    duration max_retry_after = 30s;
    /// Expected wait at which organisations above their fair share are
    /// refused; each priority step doubles it.
    duration fair_wait = 200ms;
    /// The same for every organisation.
    duration max_wait = 800ms;
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

    void set_pressure(pressure it)
    {
        pressure_ = it;
    }

    /// Forgets idle organisations; for hosts that send no digests.
    void tick(time_point now);

    /// What to tell the other hosts, to be sent to all of them now; also
    /// forgets idle organisations. Call every 250 ms.
    auto digest(time_point now) -> usage_digest;

    void on_digest(host_id const& host, usage_digest const& it, time_point now);

    /// `host` has left for good: its part is free at once.
    void forget(host_id const& host);

    /// Hosts that share the limits, this one included.
    void set_hosts(std::size_t n)
    {
        settings_.sharing.hosts = n;
    }

    [[nodiscard]] auto tracked() const -> std::size_t
    {
        return accounts_.size();
    }

private:
    struct account
    {
        organisation_limits limits;
        std::uint32_t in_flight = 0;
        /// False while only other hosts have its requests.
        bool seen_here = false;
        /// Tokens that may be spent; negative: to be earned back first.
        double tokens = 0;
        /// Moving average of tokens spent a second.
        double rate = 0;
        time_point at{};
        /// Whole requests that may pass under overload.
        double credit = 0;
        bool wants_concurrency = false;
        bool wants_tokens = false;
        told_usage told_concurrency;
        told_usage told_rate;
        std::vector<told_usage> peer_concurrency;
        std::vector<told_usage> peer_rate;
    };

    auto account_of(arrival const& it, time_point now) -> account*;
    void refill(account& it, time_point now) const;
    [[nodiscard]] auto refuse(reason code, double seconds) const -> refused;
    [[nodiscard]] auto rate_of(account const& it, time_point now) const
        -> double;
    [[nodiscard]] auto has_slot(account const& it, time_point now) const
        -> bool;
    [[nodiscard]] auto expected_wait() const -> duration;
    [[nodiscard]] auto above_fair_share(account const& it) const -> bool;
    auto number_of(host_id const& host) -> std::uint32_t;

    admitter_settings settings_;
    pressure pressure_;
    std::unordered_map<organisation_id, account> accounts_;
    std::unordered_map<host_id, std::uint32_t> hosts_;
    heard_hosts heard_;
    /// Sums over the accounts at the last digest.
    double used_rate_ = 0;
    double active_weight_ = 0;
};

} // namespace primrosedeal::admission
