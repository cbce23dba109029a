#pragma once

#include "external/key_value.hpp"
#include "gateway/protocol.hpp"
#include "gateway/settings.hpp"
#include "net/event_loop.hpp"

#include <functional>

/// The gateway process of one entry host, in front of plain services and
/// engines.
namespace primrosedeal::gateway
{

/// Reloads the settings; throws settings_error.
using settings_loader = std::function<host_settings()>;

/// Serves until SIGTERM, then until all open requests have ended or the
/// shutdown grace has expired. Returns whether every request was answered.
auto run_gateway(net::event_loop& loop, host_settings const& settings,
                 settings_loader const& reload, protocol const& wire,
                 external::key_value_service& store) -> bool;

} // namespace primrosedeal::gateway
