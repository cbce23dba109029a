#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "request_limit/limit_table.hpp"

#include <cstddef>
#include <span>

/// Divides the request limit of a target between the hosts, without messages.
///
/// Load pattern: a target in need takes a few requests a second, and many hosts
/// learn of it within a second. If each of them may send one request at once,
/// hundreds of hosts exceed the limit for minutes, and shares of a hundredth of
/// a request a second are of no use to callers. So a limit is divided among as
/// many hosts as it has requests a second. Hosts stand in a ring in the order
/// of their hashes; each target of a service begins at another place of it, so
/// that while all targets are limited every host has a share of some, if their
/// limits suffice for that.
namespace primrosedeal::request_limit
{

/// The hosts as one of them sees them.
struct host_group
{
    /// Place of this host in the ring of the live ones.
    std::size_t position = 0;
    /// Hosts whose digests are current, and this one.
    std::size_t live = 1;
    /// All hosts, reachable or not.
    std::size_t known = 1;
};

/// `others`: the other hosts whose digests are current.
auto group_of(host_id const& self, std::span<host_id const> others,
              std::size_t known) -> host_group;

/// A target's place among the targets of its service.
struct target_place
{
    std::size_t index = 0;
    std::size_t targets = 1;
};

/// Least rate at which a target is used, whatever its limit: only a response
/// shows that the limit has ended.
constexpr auto min_total_rate = request_rate{0.1};

/// Least rate of a host that has a share, unless it is the only one.
constexpr auto min_share = request_rate{1};

/// Time without an observation after which other hosts get the shares: those
/// that had them may have no requests to send.
constexpr auto min_rotation_time = duration{5s};

/// The rate at which this host may send to the target; zero if the limit is
/// divided among others. The sum over hosts that see the same group is within
/// the limit, and so is the sum over parts of a partitioned fleet.
auto share_of(limit_state const& it, target_place const& at,
              host_group const& hosts, time_point now) -> request_rate;

} // namespace primrosedeal::request_limit
