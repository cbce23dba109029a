#pragma once

#include "gateway/settings.hpp"
#include "gateway/tunnel_server.hpp"
#include "http1/server.hpp"
#include "routes/route_table.hpp"

/// Limits of what clients and other hosts may take of this host, from its
/// settings and the configuration.
///
/// Load pattern: clients that nobody controls, up to the host's limits of
/// descriptors and memory (docs/design/client-memory.md).
namespace primrosedeal::gateway
{

/// Also sets the bound of the answers that are collected on this thread.
/// `table`: the configuration in use, if there is one.
auto apply_client_limits(host_settings const& settings,
                         routes::route_table const* table)
    -> http1::server_limits;

/// Limits of the ports for readiness and metrics: few connections, which send
/// short requests.
auto make_query_limits(host_settings const& settings) -> http1::server_limits;

auto make_tunnel_limits(host_settings const& settings) -> tunnel_limits;

} // namespace primrosedeal::gateway
