#pragma once

#include "external/key_value.hpp"
#include "gateway/protocol.hpp"
#include "gateway/settings.hpp"
#include "net/event_loop.hpp"

#include <functional>

/// The process of one entry host in front of plain services and engines.
namespace primrosedeal::gateway
{

/// Reads the settings again; throws settings_error.
using settings_source = std::function<host_settings()>;

/// Serves until SIGTERM and until what is open has ended or the grace is
/// over. Returns whether every request was answered.
auto run_gateway(net::event_loop& loop, host_settings const& settings,
                 settings_source const& reload, protocol const& wire,
                 external::key_value_service& store) -> bool;

} // namespace primrosedeal::gateway
