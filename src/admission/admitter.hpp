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

/// Decides whether to admit a request, based on its organisation's limits,
/// which all hosts share according to demand, and, when the targets are full,
/// on its priority and deadline.
namespace primrosedeal::admission
{

/// An organisation's limits summed over all hosts, resolved from the configured
/// defaults and exceptions.
struct organisation_limits
{
    /// Number of concurrent requests.
    double concurrency = 64;
    double tokens_per_second = 50'000;
    /// Weight of its fair share under overload, relative to other
    /// organisations.
    double weight = 1;
};

struct admission_request
{
    organisation_id organisation;
    organisation_limits limits;
    /// Prompt tokens plus the maximum number of generated tokens.
    token_count estimated;
    /// Requests with a larger value take precedence.
    int priority = 0;
    time_point deadline{};
};

struct admitted
{
};

struct refused
{
    reason code = reason::overloaded;
    /// Delay after which the caller may retry; always above zero.
    duration retry_after{};
};

using decision = std::variant<admitted, refused>;

/// Queue of all targets together, as estimated by this host.
struct target_backlog
{
    /// Requests above the targets' slots.
    double waiting = 0;
    double slots = 0;
    /// Mean time for which a request occupies a slot.
    duration service_time = 20s;
};

/// One organisation's usage at one host.
struct organisation_usage
{
    organisation_id organisation;
    double in_flight = 0;
    double tokens_per_second = 0;
    bool unmet_concurrency = false;
    bool unmet_tokens = false;
};

/// Usage of all organisations at one host, sent to the other hosts about four
/// times a second.
struct usage_digest
{
    std::vector<organisation_usage> usages;
};

struct admitter_settings
{
    sharing_settings sharing;
    /// State of an organisation without requests for this long is deleted.
    duration idle_expiry = 5s;
    /// Maximum number of tracked organisations; requests of further ones are
    /// refused.
    std::size_t max_organisations = 8192;
    duration min_retry_after = 1s;
    duration max_retry_after = 30s;
    /// Expected queueing delay at which requests of organisations above their
    /// fair share are refused; doubles with each priority step.
    duration max_wait_above_fair_share = 200ms;
    /// The same limit for all other organisations.
    duration max_wait = 800ms;
};

class admitter
{
public:
    explicit admitter(admitter_settings settings) : settings_(settings) {}

    /// An admitted request counts as in flight until `finished` is called.
    auto admit(admission_request const& it, time_point now) -> decision;

    /// `estimated` is the value passed to `admit`, `used` the tokens consumed.
    void finished(organisation_id const& organisation, token_count estimated,
                  token_count used, time_point now);

    void set_target_backlog(target_backlog it)
    {
        target_backlog_ = it;
    }

    /// Deletes the state of idle organisations. Only needed on hosts that do
    /// not send digests.
    void remove_idle(time_point now);

    /// Returns the usage to send to all other hosts now, and deletes the state
    /// of idle organisations. Call every 250 ms.
    auto make_digest(time_point now) -> usage_digest;

    void on_digest(host_id const& host, usage_digest const& it, time_point now);

    /// Removes a host that left permanently; its share becomes available
    /// immediately.
    void remove_host(host_id const& host);

    /// Sets the number of hosts that share the limits, including this one.
    void set_hosts(std::size_t n)
    {
        settings_.sharing.hosts = n;
    }

    [[nodiscard]] auto tracked_organisations() const -> std::size_t
    {
        return accounts_.size();
    }

private:
    struct account
    {
        organisation_limits limits;
        std::uint32_t in_flight = 0;
        /// False if only other hosts have received its requests.
        bool seen_locally = false;
        /// Token bucket level; a negative level must be refilled before the
        /// next request.
        double tokens = 0;
        /// Moving average of tokens spent per second.
        double rate = 0;
        time_point updated_at{};
        /// Requests that may be admitted under overload; one is consumed by
        /// each admission.
        double overload_credit = 0;
        bool unmet_concurrency = false;
        bool unmet_tokens = false;
        reported_usage reported_concurrency;
        reported_usage reported_rate;
        std::vector<reported_usage> peer_concurrency;
        std::vector<reported_usage> peer_rate;
    };

    auto account_of(admission_request const& it, time_point now) -> account*;
    void refill(account& it, time_point now) const;
    [[nodiscard]] auto refuse(reason code, double seconds) const -> refused;
    [[nodiscard]] auto rate_of(account const& it, time_point now) const
        -> double;
    [[nodiscard]] auto has_slot(account const& it, time_point now) const
        -> bool;
    [[nodiscard]] auto expected_wait() const -> duration;
    [[nodiscard]] auto above_fair_share(account const& it) const -> bool;
    auto index_of(host_id const& host) -> std::uint32_t;

    admitter_settings settings_;
    target_backlog target_backlog_;
    std::unordered_map<organisation_id, account> accounts_;
    std::unordered_map<host_id, std::uint32_t> hosts_;
    peer_report_times report_times_;
    /// Sums over the accounts at the last digest.
    double used_rate_ = 0;
    double active_weight_ = 0;
};

} // namespace primrosedeal::admission
