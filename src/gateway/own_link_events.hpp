#pragma once

#include "directory/target_directory.hpp"
#include "gateway/host_state.hpp"

/// Applies what the host's connections show about its own link, and logs each
/// change of state.
namespace primrosedeal::gateway
{

/// A target's host accepted or refused a connection.
void on_connection_answered(host_state& host, time_point now);

/// A connection to `target` that was begun at `begun_at` timed out. Returns
/// whether this is put down to the own link. What earlier timeouts did to the
/// targets is undone when that is found, except for copies that were given up.
auto on_connection_timeout(host_state& host,
                           directory::listed_target const& target,
                           time_point begun_at, time_point now) -> bool;

} // namespace primrosedeal::gateway
