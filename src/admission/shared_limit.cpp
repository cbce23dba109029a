#include "admission/shared_limit.hpp"

#include <algorithm>

// In each reporting round, one part of the unused capacity is divided among the
// hosts that recently refused requests, and one part evenly among all hosts, so
// that a host without previous demand can start. Reports of other hosts are one
// round old, so the same capacity may be allocated twice; the two parts add up
// to less than all of it to leave a margin for that. If the total usage exceeds
// the limit, as after a network partition, all hosts reduce their usage by the
// same factor.

namespace primrosedeal::admission
{

namespace
{

constexpr auto unmet_demand_share = 0.6;
constexpr auto even_share = 0.2;

struct peer_usage
{
    double used = 0;
    std::size_t with_unmet_demand = 0;
};

auto sum_peers(sharing_settings const& settings, double equal_share,
               std::vector<reported_usage> const& peers,
               peer_report_times const& report_times, time_point now)
    -> peer_usage
{
    auto sum = peer_usage{};
    auto known_peers = std::size_t{0};
    for (auto n = std::size_t{0}; n < report_times.at.size(); ++n)
    {
        if (!report_times.at[n])
        {
            continue;
        }
        auto const peer = std::ranges::find(peers, n, &reported_usage::host);
        auto const known = peer != peers.end();
        ++known_peers;
        if (now - *report_times.at[n] <= settings.unreachable_after)
        {
            sum.used += known ? peer->used : 0;
            sum.with_unmet_demand += known && peer->unmet_demand ? 1 : 0;
            continue;
        }
        auto const within_hold_time =
            known && now - peer->at <= settings.hold_time;
        sum.used +=
            within_hold_time ? std::max(peer->used, equal_share) : equal_share;
    }
    auto const unknown_peers =
        settings.hosts - 1 - std::min(known_peers, settings.hosts - 1);
    sum.used += equal_share * static_cast<double>(unknown_peers);
    return sum;
}

} // namespace

auto allowance(sharing_settings const& settings, double limit,
               reported_usage const& reported,
               std::vector<reported_usage> const& peers,
               peer_report_times const& report_times, time_point now) -> double
{
    auto const hosts = static_cast<double>(settings.hosts);
    auto const equal_share = limit / hosts;
    auto const others_usage =
        sum_peers(settings, equal_share, peers, report_times, now);
    auto const sum = others_usage.used + reported.used;
    if (sum >= limit)
    {
        return reported.used * limit / sum;
    }
    auto const unused = limit - sum;
    if (sum == 0)
    {
        return unused / hosts;
    }
    auto const with_unmet_demand =
        others_usage.with_unmet_demand + (reported.unmet_demand ? 1U : 0U);
    auto const even = even_share * unused / hosts;
    auto const extra = reported.unmet_demand
                           ? unmet_demand_share * unused /
                                 static_cast<double>(with_unmet_demand)
                           : 0.0;
    return reported.used + even + extra;
}

} // namespace primrosedeal::admission
