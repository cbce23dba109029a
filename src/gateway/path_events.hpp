#pragma once

#include "directory/target_directory.hpp"
#include "gateway/host_state.hpp"
#include "http1/tunnel.hpp"
#include "reachability/direct_path.hpp"

#include <optional>
#include <span>

/// Applies what this host's connections show about its paths to the targets,
/// logs each change of state, and gives each attempt its path.
namespace primrosedeal::gateway
{

/// A direct connection of this host to `target`, begun at `begun_at`, ended.
/// What earlier failures did to targets is undone if the path to their service
/// is now found lost, except for copies that were given up.
void on_direct_connection(host_state& host,
                          directory::listed_target const& target,
                          reachability::connection_result result,
                          time_point begun_at, time_point now);

/// Whether a failure at `target` of a direct connection begun at `begun_at`
/// says nothing about the target.
[[nodiscard]] auto path_explains_failure(host_state const& host,
                                         directory::listed_target const& target,
                                         time_point begun_at) -> bool;

struct attempt_path
{
    http1::connection_path path;
    /// The host at the other end of the tunnel; empty: a direct connection.
    std::optional<host_id> helper;
};

/// The path of an attempt at `target`; nothing if the direct path is lost and
/// no host can help. `tried`: helpers that failed for this request.
auto choose_path(host_state& host, directory::listed_target const& target,
                 std::span<host_id const> tried, time_point now)
    -> std::optional<attempt_path>;

/// A tunnel through `helper` was begun or is over. `begun` calls are followed
/// by one `ended` each.
void on_tunnel_begun(host_state& host, host_id const& helper);
void on_tunnel_ended(host_state& host, host_id const& helper);

/// There was no tunnel. Excludes the helper for a while if that is due to it,
/// and returns whether it is.
auto on_tunnel_refused(host_state& host, host_id const& helper,
                       http1::tunnel_refusal why, time_point now) -> bool;

/// Probes a target of each unreachable service if a probe is due. Call several
/// times a second.
void probe_paths(host_state& host, time_point now);

} // namespace primrosedeal::gateway
