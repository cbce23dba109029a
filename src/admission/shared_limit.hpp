#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Divides one limit of one organisation between hosts according to demand,
/// from the usage that they last reported to each other. Used for concurrency
/// and for token rates.
namespace primrosedeal::admission
{

/// Usage of a limit as reported by one host.
struct reported_usage
{
    std::uint32_t host = 0;
    double used = 0;
    /// It refused requests because of this limit since its previous report.
    bool unmet_demand = false;
    time_point at{};
};

struct sharing_settings
{
    /// Number of hosts that share the limit, including this one.
    std::size_t hosts = 1;
    /// A host that has not reported for longer is treated as unreachable.
    duration unreachable_after = 1s;
    /// For this long after its last report, an unreachable host is assumed to
    /// use at least what it reported.
    duration hold_time = 30s;
};

/// Time of the last report from each other host, indexed by host number; empty
/// for unassigned numbers.
struct peer_report_times
{
    std::vector<std::optional<time_point>> at;
};

/// How much this host may use until it next reports its usage.
///
/// `reported` is the last report of this host, `peers` are the last reports of
/// the others. If all hosts have the same reports, the sum of their allowances
/// stays within `limit`. In a network partition each side assumes that the
/// unreachable hosts use at least their equal shares, so the sum over all sides
/// stays within `limit` too.
auto allowance(sharing_settings const& settings, double limit,
               reported_usage const& reported,
               std::vector<reported_usage> const& peers,
               peer_report_times const& report_times, time_point now) -> double;

} // namespace primrosedeal::admission
