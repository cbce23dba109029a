#pragma once

#include "core/units.hpp"
#include "dispatch/shutdown.hpp"

#include <cstddef>
#include <variant>

/// Decides what a host does with its clients' connections while it shuts down.
///
/// Load pattern: hosts are restarted one after the other, a second apart, while
/// clients keep their connections, pause for seconds and send again at any
/// moment. The longer each host holds idle connections, the more hosts leave at
/// the same time and refuse streams. So idle connections end once the load
/// balancer has left the host, and the host exits when nobody uses it.
namespace primrosedeal::dispatch
{

/// Time for the load balancer to detect that this host is not ready any more.
constexpr auto balancer_drain_delay = duration{2500ms};

/// Reserved at the end of the grace for the process to exit.
constexpr auto exit_margin = duration{150ms};

struct shutdown_view
{
    time_point started_at{};
    duration grace{};
    /// New connections are accepted.
    bool accepting = true;
    /// Connections of clients, with or without a request.
    std::size_t connections = 0;
    std::size_t open_requests = 0;
    /// Tunnels of other hosts through this one.
    std::size_t open_tunnels = 0;
};

/// Requests are served or refused as they come.
struct keep_connections
{
};

/// Accept what waits to be accepted, and nothing more.
struct stop_accepting
{
};

/// End the connections without a request; accept and serve others.
struct end_idle_connections
{
};

/// End all connections that owe no answer, also in the middle of a request.
struct end_connections
{
};

struct exit_process
{
};

using shutdown_step =
    std::variant<keep_connections, stop_accepting, end_idle_connections,
                 end_connections, exit_process>;

/// Call often during the shutdown: each step is due once or repeatedly.
auto next_shutdown_step(shutdown_view const& view, time_point now)
    -> shutdown_step;

} // namespace primrosedeal::dispatch
