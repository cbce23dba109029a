#pragma once

#include "core/units.hpp"
#include "stream_origin/origin_table.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Services and versions of streams on the wire: as fields of a digest, and as
/// the body that a host fetches when it has started. Hosts of earlier versions
/// neither send nor read the services.
namespace primrosedeal::fleet
{

/// Stream, index of its version in the list of versions, and age in
/// milliseconds.
using origin_row = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t>;
/// Names of versions, one for each service and version, and the streams.
using origin_fields =
    std::tuple<std::vector<std::string>, std::vector<origin_row>>;
/// The service of each name of a version, empty if it is not known; no elements
/// if none is.
using origin_services = std::vector<std::string>;

/// Hosts share no clock, so records travel with their ages at `now`.
auto to_fields(std::vector<stream_origin::reported_origin> const& it,
               time_point now) -> origin_fields;
auto to_origin_services(std::vector<stream_origin::reported_origin> const& it)
    -> origin_services;
/// Leaves out rows that name no version.
auto to_origins(origin_fields const& it, time_point now,
                origin_services const& services = {})
    -> std::vector<stream_origin::reported_origin>;

/// What a host knows of streams.
struct known_origins
{
    /// It knows those that began before it started.
    bool complete = false;
    std::vector<stream_origin::reported_origin> origins;
};

auto encode(known_origins const& it, time_point now) -> std::string;
/// Returns nothing if `bytes` are not encoded origins.
auto decode_known_origins(std::string const& bytes, time_point now)
    -> std::optional<known_origins>;

} // namespace primrosedeal::fleet
