#pragma once

#include "rollout/evidence.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Decides whether a version is bad, by its responses and those of the version
/// beside it.
///
/// Load pattern: targets fail and are slow for reasons of their own, in both
/// versions alike; bursts slow down whatever serves them. So the ratio of the
/// other version is the baseline, and a difference counts once it is too large
/// for chance at any of the many looks at it.
namespace primrosedeal::rollout
{

enum class fault
{
    failures,
    slowness,
};

auto to_string(fault it) -> std::string_view;

/// Why a version is bad.
struct finding
{
    fault what = fault::failures;
    /// Empty: over all routes.
    std::string route;
    double responses = 0;
    double bad = 0;
    /// Ratio of bad responses of the other version.
    double baseline = 0;
};

/// Nothing as long as there is no evidence against the target version.
/// `side_by_side`: both versions have served with the same shares since the
/// order, so all their times are comparable.
auto find_fault(evidence const& it, bool side_by_side)
    -> std::optional<finding>;

/// Responses of the target version since the order.
auto responses_of_target(evidence const& it) -> double;

} // namespace primrosedeal::rollout
