#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string_view>

/// Detects failed targets and failure domains from the outcomes of this host's
/// own requests.
///
/// Load pattern: most targets of one failure domain become unreachable together
/// for about a second, some without a connection reset, while every host sends
/// requests to them. One failure excludes a target with exponential backoff.
/// Failures of several targets mark their whole domain as suspected, which
/// saves other requests a connect timeout. A host that is partitioned from a
/// domain for seconds has few requests to detect that with, so a suspected
/// domain is probed by one request at a time, with exponential backoff, until a
/// target there answers.
namespace primrosedeal::dispatch
{

enum class observation
{
    /// The connection failed, or closed without a response.
    unreachable,
    /// The request timed out on an open connection.
    silent,
    /// The target returned an error or a damaged response.
    failed,
    /// The target refused the request for lack of capacity.
    busy,
    answered,
};

auto to_string(observation it) -> std::string_view;

enum class health
{
    healthy,
    /// Its failure domain is suspected, or another host reported it lost.
    suspected,
    /// Excluded until its backoff expires.
    excluded,
};

struct detector_limits
{
    /// Exclusion after a target's first failure; doubles with each further one.
    duration initial_exclusion = 400ms;
    duration max_exclusion = 4s;
    /// Exclusion of a target that lacks capacity.
    duration busy_exclusion = 30ms;
    /// Distinct targets lost within `domain_loss_window` that make their domain
    /// suspected.
    std::size_t domain_loss_threshold = 2;
    duration domain_loss_window = 500ms;
    /// First suspicion of a domain; doubles with each probe that fails.
    duration initial_domain_suspicion = 900ms;
    duration max_domain_suspicion = 4s;
    /// Time for a domain probe to finish; longer than the connect timeout.
    duration domain_probe_timeout = 400ms;
    /// Time that a first report from another host is valid for; doubles with
    /// each one after its end. If most targets are lost, they would be tried
    /// again sooner than all of them are found.
    duration hint_duration = 900ms;
    duration max_hint_duration = 3600ms;
    /// Moving fraction of failed responses from which a target is excluded.
    double failure_ratio_threshold = 0.6;
    std::uint32_t response_window = 8;
};

class failure_detector
{
public:
    explicit failure_detector(detector_limits limits = {}) : limits_(limits) {}

    /// Records the outcome of an attempt. Returns true if a failure newly
    /// excludes the target.
    auto report(target_id const& id, domain_id const& domain, observation seen,
                time_point now) -> bool;

    [[nodiscard]] auto health_of(target_id const& id, domain_id const& domain,
                                 time_point now) const -> health;

    /// Whether `domain` is suspected or a probe of it is in progress.
    [[nodiscard]] auto domain_suspected(domain_id const& domain,
                                        time_point now) const -> bool;

    /// Whether no target of `domain` has answered since it was suspected.
    [[nodiscard]] auto domain_unverified(domain_id const& domain) const -> bool;

    /// A request is sent to a target of `domain`. If the domain is unverified
    /// and its suspicion has expired, this request becomes the domain's probe,
    /// and the domain is suspected again until the probe finishes or times out.
    void sent_to(domain_id const& domain, time_point now);

    /// Another host reported the target unreachable. Only that host may be
    /// affected, so the target is suspected for a while but not excluded.
    void hint(target_id const& id, time_point now);

    /// The loss of `id` was put down to a request, so it no longer counts
    /// against `domain`. A suspicion without enough other losses ends. A probe
    /// in progress goes on, and a domain whose probe failed stays suspected.
    void discount_loss(target_id const& id, domain_id const& domain,
                       time_point now);

    /// The unreachability of `id` was due to this host: ends its exclusion, and
    /// no longer counts its losses against `domain`.
    void withdraw_unreachable(target_id const& id, domain_id const& domain,
                              time_point now);

    /// Deletes all state of a target that was removed.
    void remove_target(target_id const& id);

private:
    struct record
    {
        std::uint32_t failures_in_row = 0;
        /// Moving fraction of failed responses.
        double failed_ratio = 0;
        std::uint32_t responses = 0;
        time_point excluded_until{};
        time_point hinted_until{};
        /// Length of the last hint; 0: the target has answered since.
        duration hint_length{};
    };

    struct loss
    {
        time_point at;
        target_id id;
    };

    /// Observations of one failure domain.
    struct domain_record
    {
        std::deque<loss> losses;
        time_point suspected_until{};
        /// Length of the last suspicion; 0: a target has answered since.
        duration suspicion_length{};
        /// A probe was sent and has neither succeeded nor failed.
        bool probing = false;
        /// Losses that the last suspicion rests on, and how many it needs.
        std::set<target_id> causes;
        std::size_t causes_needed = 0;
        /// `suspicion_length` without them.
        duration length_before{};
    };

    void record_loss(target_id const& id, domain_id const& domain,
                     time_point now);
    void mark_verified(domain_id const& domain);

    detector_limits limits_;
    std::map<target_id, record> records_;
    std::map<domain_id, domain_record> domains_;
};

} // namespace primrosedeal::dispatch
