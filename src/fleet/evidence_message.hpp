#pragma once

#include "core/units.hpp"
#include "quarantine/part_quarantine.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// Evidence of the quarantine on the wire: as the last fields of a digest, and
/// as datagrams of its own.
///
/// Load pattern: a crash has to be known on all hosts within seconds, also
/// while digests are held back because a link is slow or the loads of many
/// requests fill several packets. A datagram with evidence fits one packet.
///
/// Hosts of versions that know evidence in digests only reject these datagrams
/// as malformed digests: the first element is a number, not a host's id. They
/// have to be sent the evidence in a digest.
namespace primrosedeal::fleet
{

/// Part, crash, run and age in milliseconds.
using accusation_row =
    std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint32_t>;
/// Part and age in milliseconds.
using clearance_row = std::tuple<std::uint64_t, std::uint32_t>;
using evidence_fields =
    std::tuple<std::vector<accusation_row>, std::vector<clearance_row>>;

/// Hosts share no clock, so evidence travels with its age at `now`. A crash
/// must not get older with each hop, nor a clearance younger, so the ages of
/// the former are rounded down and those of the latter up.
auto to_fields(quarantine::report const& it, time_point now) -> evidence_fields;
auto to_report(evidence_fields const& it, time_point now) -> quarantine::report;

/// Largest datagram with evidence: one packet on every path.
constexpr auto max_evidence_bytes = std::size_t{1200};

/// Largest encoded size of one row.
constexpr auto max_accusation_bytes = std::size_t{33};
constexpr auto max_clearance_bytes = std::size_t{15};
/// What a datagram has beside its rows.
constexpr auto evidence_overhead_bytes = std::size_t{8};

/// As many datagrams as `it` needs, none if it is empty.
auto encode_evidence(quarantine::report const& it, time_point now)
    -> std::vector<std::string>;

/// Returns nothing if `bytes` is not a valid datagram with evidence.
auto decode_evidence(std::string const& bytes, time_point now)
    -> std::optional<quarantine::report>;

} // namespace primrosedeal::fleet
