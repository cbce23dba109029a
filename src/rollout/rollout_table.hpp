#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "rollout/evaluation.hpp"
#include "rollout/evidence.hpp"
#include "rollout/order.hpp"
#include "rollout/plan.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Rollouts of all services as one host sees them: their orders and statuses,
/// the evidence, the present phase, and what this host is to write.
///
/// Load pattern: every host counts what it has observed and what others report
/// in digests, and stops a bad version by itself, also while the store or other
/// hosts do not answer. The share is raised only with the evidence of half of
/// the known hosts.
///
/// Hosts write the status in the order of their ids, each after a delay; two
/// writers at once do no harm, as each write names the revisions that it goes
/// by. Entries that disappear are ignored: a store that was restored from a
/// copy may lack them, and its older entries are no new orders.
namespace primrosedeal::rollout
{

/// Time that a host waits for each one ahead of it to write the status.
constexpr auto status_write_slot = duration{200ms};
constexpr auto max_status_write_delay = duration{1s};
/// Time after which a write that has not come back as an entry is repeated.
constexpr auto status_write_retry = duration{1s};
/// Time for which no host has a request at another version before the version
/// counts as carrying the whole load.
constexpr auto least_quiet_time = duration{600ms};

/// What a host sees of a service with an order.
struct service_view
{
    /// The target version has a usable target.
    bool target_usable = false;
    /// All other versions that are listed.
    version_set others;
    /// Requests that this host and the hosts heard have outstanding at targets
    /// of other versions.
    std::uint64_t outstanding_at_others = 0;
};

/// What a host sees of the fleet.
struct fleet_state
{
    std::size_t known_hosts = 1;
    /// Known hosts before this one in the order of ids.
    std::size_t rank = 0;
    /// Other hosts with current digests.
    std::vector<host_id> heard;
    /// Every known host is heard or counts as lost.
    bool all_heard = false;
    /// Hosts that would write a status before this one.
    std::size_t hosts_ahead = 0;
    /// The store answers this host.
    bool may_write = false;
};

struct status_write
{
    service_id service;
    entry_revision order;
    state what = state::in_progress;
    software_version target;
};

/// A change of a rollout's state, with its evidence, for the log.
struct change
{
    service_id service;
    order it;
    phase from;
    phase to;
    double responses = 0;
    own_requests own;
    std::optional<finding> why;
    /// The host that reported the version as bad.
    std::optional<host_id> reported_by;
};

class rollout_table
{
public:
    explicit rollout_table(rollout_bounds bounds) : bounds_(bounds) {}

    void set_bounds(rollout_bounds it)
    {
        bounds_ = it;
    }

    /// Returns whether it is a new order.
    auto apply(service_id const& service, order const& it, time_point now)
        -> bool;
    void apply(service_id const& service, status const& it, time_point now);
    /// The store has no status of `service` any more.
    void status_removed(service_id const& service);

    [[nodiscard]] auto has(service_id const& service) const -> bool
    {
        return services_.contains(service);
    }

    /// Services with an order, and its target version.
    [[nodiscard]] auto orders() const -> std::map<service_id, order>;

    /// A request has reached the service.
    void request(service_id const& service);
    void sent(service_id const& service, software_version const& to);
    /// `it.at_target_version` is set by `at`.
    void observe(service_id const& service, software_version const& at,
                 observation it, time_point now);

    /// Whether nothing of `service` may be sent to `version`, streams that
    /// have begun there too.
    [[nodiscard]] auto excludes(service_id const& service,
                                software_version const& version) const -> bool;

    /// Where the next request of `service` may go. `listed`: the versions of
    /// all its targets.
    [[nodiscard]] auto permitted(service_id const& service,
                                 version_set const& listed) const
        -> permitted_versions;

    /// Evidence of another host.
    void merge(host_id const& from, std::vector<report> const& it,
               time_point now);
    /// Evidence of this host, for its digest.
    [[nodiscard]] auto reports(time_point now) -> std::vector<report>;
    /// Increases with each change that others should hear of soon.
    [[nodiscard]] auto change_count() const -> std::uint64_t
    {
        return change_count_;
    }

    /// Brings `service` up to date. Call several times a second.
    void update(service_id const& service, service_view const& view,
                fleet_state const& fleet, time_point now);
    /// Changes since the last call.
    [[nodiscard]] auto take_changes() -> std::vector<change>;
    /// The statuses that this host is to write now.
    [[nodiscard]] auto next_writes(fleet_state const& fleet, time_point now)
        -> std::vector<status_write>;

private:
    struct received
    {
        report it;
        time_point at{};
    };

    struct service_rollout
    {
        service_rollout(order its, duration bound, time_point now);

        order it;
        time_point ordered_at{};
        /// When the version first had a usable target, and when the phase
        /// began.
        std::optional<time_point> usable_since;
        time_point phase_since{};
        phase at = waiting{};
        service_view view;
        own_requests requests;
        own_evidence own;
        std::map<host_id, received> others;
        std::optional<time_point> quiet_since;
        /// The entry in the store, if it belongs to the order.
        std::optional<state> stored;
        std::optional<time_point> unwritten_since;
        time_point next_write_at{};
        /// Orders before this one. A restored store may list them again.
        std::vector<order> superseded;
        /// Versions that these have rolled back or replaced. They get no new
        /// requests where another version is listed, unless it is ordered.
        version_set withdrawn;
    };

    [[nodiscard]] static auto all_evidence(service_rollout& it, time_point now)
        -> evidence;
    [[nodiscard]] static auto withdrawn_by(service_rollout const& it)
        -> version_set;
    [[nodiscard]] static auto wanted(service_rollout const& it) -> state;
    void enter(service_id const& service, service_rollout& it, phase const& to,
               change why, time_point now);
    void adopt_stored(service_id const& service, service_rollout& it,
                      time_point now);
    /// Other hosts whose new requests all go to the version.
    [[nodiscard]] static auto hosts_moved(service_rollout const& it,
                                          fleet_state const& fleet)
        -> std::size_t;
    void advance(service_id const& service, service_rollout& it,
                 fleet_state const& fleet, double responses, time_point now);
    [[nodiscard]] static auto may_complete(service_rollout& it,
                                           fleet_state const& fleet,
                                           time_point now) -> bool;

    rollout_bounds bounds_;
    std::size_t hosts_ = 1;
    std::size_t rank_ = 0;
    std::map<service_id, service_rollout> services_;
    /// Statuses of services without a known order.
    std::map<service_id, status> statuses_;
    std::vector<change> changes_;
    std::uint64_t change_count_ = 0;
};

} // namespace primrosedeal::rollout
