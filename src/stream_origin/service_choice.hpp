#pragma once

#include "core/ids.hpp"
#include "routes/route_table.hpp"
#include "stream_origin/origin_table.hpp"
#include "stream_origin/served_versions.hpp"

#include <optional>
#include <variant>

/// Decides at which service a stream goes on that its client takes up.
///
/// Load pattern: the weights of a split route move, or the route moves to
/// another service, and hosts are lost. Their clients resume streams elsewhere
/// that began at a service which the route's weights would hardly choose. What
/// two services write does not fit together, even where their versions have the
/// same name.
namespace primrosedeal::stream_origin
{

/// The stream began at this service, and its route still allows it.
struct only_service
{
    service_id service;
};

/// Its route no longer allows the service that began the stream.
struct service_gone
{
    service_id service;
};

/// No record says which of several services began the stream.
struct service_unknown
{
};

using service_choice =
    std::variant<only_service, service_gone, service_unknown>;

/// Those of `recorded` that streams may have begun at. A service that is
/// neither an engine nor named by a route with streams has none; one that
/// `table` does not have may have been left by a route.
auto stream_services(versions_by_service const& recorded,
                     routes::route_table const& table) -> versions_by_service;

/// `recorded`: the result of `stream_services`.
auto choose_service(std::optional<origin> const& known,
                    routes::route const& route,
                    versions_by_service const& recorded) -> service_choice;

} // namespace primrosedeal::stream_origin
