#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Detects, for each service, that this host's own connections to its targets
/// fail while other hosts reach them.
///
/// Load pattern: some hosts of a fleet are partitioned from all targets of a
/// service for seconds, while callers and other hosts still reach them. New
/// connections are refused, reset or time out; running ones may live on. Each
/// host sees about one request a second, so a few failures have to suffice.
/// Connections to several targets that fail without one being accepted in
/// between are put down to the path. A lost failure domain is not taken for
/// that as long as other targets accept connections. If all targets of a
/// service are lost, each host reports that it does not reach them, also the
/// last one to find out, so none is asked to connect for others.
///
/// The state of a service is changed only by connections that this host begins
/// itself: those of attempts, of probes, and of tunnels that it opens for
/// others.
namespace primrosedeal::reachability
{

enum class connection_result
{
    accepted,
    /// Includes connections that are reset before they are established.
    refused,
    timed_out,
};

auto to_string(connection_result it) -> std::string_view;

struct direct_path_limits
{
    /// Distinct targets at which connections have to fail. Services with fewer
    /// usable targets need all of them. Two targets that reset connections for
    /// lack of capacity do not suffice.
    std::size_t min_targets = 3;
    /// The same if all of them are in one failure domain, which may be down.
    std::size_t min_targets_of_one_domain = 4;
    /// Time in which they have to fail.
    duration window = 4s;
    /// Pause before the first direct probe; grows by half with each further
    /// one.
    duration initial_probe_pause = 400ms;
    duration max_probe_pause = 1s;
};

/// Connections to targets of `service` fail for a reason that is not theirs.
struct path_lost
{
    service_id service;
    /// Targets whose failures showed it; what was concluded from these about
    /// the targets is void.
    std::vector<std::pair<target_id, domain_id>> evidence;
    /// Time since the first of these failures.
    duration span{};
};

/// A target of `service` accepted a connection again.
struct path_restored
{
    service_id service;
    duration span{};
};

using path_change = std::variant<path_lost, path_restored>;

class direct_path
{
public:
    explicit direct_path(direct_path_limits limits = {}) : limits_(limits) {}

    /// A connection of this host to `target` of `service`, begun at `begun_at`,
    /// ended as `result`. `usable`: number of targets of the service that this
    /// host may use. `others_reach`: another host with a current digest does
    /// not report the service unreachable. Returns a value if the state of the
    /// service changes.
    auto observe(service_id const& service, target_id const& target,
                 domain_id const& domain, connection_result result,
                 time_point begun_at, std::size_t usable, bool others_reach,
                 time_point now) -> std::optional<path_change>;

    /// The service is unreachable for this host, and was found to be reached
    /// by another one.
    [[nodiscard]] auto lost(service_id const& service) const -> bool;

    /// Whether a connection to a target of `service`, begun at `begun_at`, that
    /// failed says nothing about the target: the path is lost, or was when the
    /// connection was begun.
    [[nodiscard]] auto explains_failure(service_id const& service,
                                        time_point begun_at) const -> bool;

    /// Services whose targets do not accept connections of this host, whether
    /// others reach them or not. For the digest.
    [[nodiscard]] auto unreachable_services() const -> std::vector<service_id>;
    [[nodiscard]] auto unreachable(service_id const& service) const -> bool;

    /// Whether to probe a target of `service`, which is unreachable, directly
    /// now. If so, the next probe is due after a longer pause. Delay each by
    /// `probe_jitter`.
    [[nodiscard]] auto probe_due(service_id const& service, time_point now)
        -> bool;

    /// Deletes the state of a service that no longer exists.
    void remove_service(service_id const& service);

private:
    struct failure
    {
        time_point at;
        target_id target;
        domain_id domain;
    };

    struct outage
    {
        time_point since;
        time_point next_probe_at;
        duration probe_pause;
        /// Another host reached the service.
        bool path_lost = false;
    };

    struct record
    {
        /// Since the last accepted connection.
        std::deque<failure> failures;
        std::optional<time_point> last_accepted;
        std::optional<time_point> restored_at;
        std::optional<outage> unreachable;
    };

    auto accepted(service_id const& service, record& state, time_point now)
        -> std::optional<path_change>;
    [[nodiscard]] auto record_of(service_id const& service) const
        -> record const*;
    [[nodiscard]] auto suffices(std::deque<failure> const& it,
                                std::size_t usable) const -> bool;

    direct_path_limits limits_;
    std::map<service_id, record> records_;
};

/// Delay of a direct probe, so that hosts that lost their paths together do not
/// probe together.
auto probe_jitter(random_source& random) -> duration;

} // namespace primrosedeal::reachability
