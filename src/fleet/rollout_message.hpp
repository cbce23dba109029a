#pragma once

#include "rollout/evidence.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

/// Evidence on software versions on the wire: the last fields of a digest.
namespace primrosedeal::fleet
{

/// Service, revision of the order, its age in milliseconds, and flags.
using rollout_row =
    std::tuple<std::string, std::int64_t, std::uint64_t, std::uint32_t>;
/// Index of the order, whether the counts are of its target version, route, and
/// for each kind of response that has occurred: its index, the count since the
/// order, and the recent count in units of `recent_unit`.
using rollout_counts_row =
    std::tuple<std::uint32_t, bool, std::string, std::vector<std::uint32_t>>;
using rollout_fields =
    std::tuple<std::vector<rollout_row>, std::vector<rollout_counts_row>>;

/// Bounds the bytes of a digest; further orders are not reported.
constexpr auto max_reported_rollouts = std::size_t{8};

auto to_fields(std::vector<rollout::report> const& it) -> rollout_fields;
/// Leaves out rows that are not valid.
auto to_rollouts(rollout_fields const& it) -> std::vector<rollout::report>;

} // namespace primrosedeal::fleet
