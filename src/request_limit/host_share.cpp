#include "request_limit/host_share.hpp"

#include "core/host_hash.hpp"

#include <algorithm>
#include <tuple>

namespace primrosedeal::request_limit
{

namespace
{

/// Hosts that divide `total` requests a second.
auto sharing_hosts(double total, std::size_t live) -> std::size_t
{
    auto const most = static_cast<double>(live);
    return static_cast<std::size_t>(
        std::clamp(total / min_share.value(), 1.0, most));
}

/// How often the shares have moved on for lack of observations.
auto rotations(limit_state const& it, double total, time_point now)
    -> std::size_t
{
    // Long enough for the hosts that have the shares to send a request.
    auto const two_requests = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{2 / total});
    auto const period = std::max(min_rotation_time, two_requests);
    auto const silence = std::max(now - it.observed_at, duration{});
    return static_cast<std::size_t>(silence / period);
}

} // namespace

auto group_of(host_id const& self, std::span<host_id const> others,
              std::size_t known) -> host_group
{
    auto const own = std::tuple{hash_of(self), self};
    auto const ahead =
        std::count_if(others.begin(), others.end(),
                      [&](host_id const& it) {
                          return std::tuple{hash_of(it), it} < own;
                      });
    auto const live = others.size() + 1;
    return {static_cast<std::size_t>(ahead), live, std::max(known, live)};
}

auto share_of(limit_state const& it, target_place const& at,
              host_group const& hosts, time_point now) -> request_rate
{
    auto const live = hosts.live;
    auto const limit = std::max(*it.limit, min_total_rate).value();
    auto const total =
        limit * static_cast<double>(live) / static_cast<double>(hosts.known);
    auto const sharing = sharing_hosts(total, live);
    auto const first = at.index * live / std::max<std::size_t>(at.targets, 1) +
                       rotations(it, total, now) % live * sharing;
    auto const distance = (hosts.position + live - first % live) % live;
    return distance < sharing
               ? request_rate{total / static_cast<double>(sharing)}
               : request_rate{0};
}

} // namespace primrosedeal::request_limit
