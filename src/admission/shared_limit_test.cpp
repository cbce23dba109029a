#include "admission/shared_limit.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace primrosedeal;
using namespace primrosedeal::admission;

namespace
{

auto const start = time_point{100s};

/// Allowances of hosts that all have the same reports. The first `partitioned`
/// hosts are partitioned from the others.
auto allowances(std::vector<reported_usage> const& reported, double limit,
                std::size_t partitioned) -> std::vector<double>
{
    auto all = std::vector<double>{};
    auto const settings = sharing_settings{reported.size(), 1s, 30s};
    for (auto n = std::size_t{0}; n < reported.size(); ++n)
    {
        auto peers = std::vector<reported_usage>{};
        auto report_times = peer_report_times{};
        for (auto k = std::size_t{0}; k < reported.size(); ++k)
        {
            if (k != n)
            {
                auto const reaches = (k < partitioned) == (n < partitioned);
                auto it = reported[k];
                it.host = static_cast<std::uint32_t>(peers.size());
                it.at = reaches ? start : start - 5s;
                peers.push_back(it);
                report_times.at.emplace_back(it.at);
            }
        }
        all.push_back(allowance(settings, limit, reported[n], peers,
                                report_times, start));
    }
    return all;
}

auto sum(std::vector<double> const& all) -> double
{
    auto total = 0.0;
    for (auto const it : all)
    {
        total += it;
    }
    return total;
}

auto usage(double used, bool unmet_demand) -> reported_usage
{
    return {0, used, unmet_demand, start};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_shared_limit)

BOOST_AUTO_TEST_CASE(is_split_evenly_while_unused)
{
    auto const all = allowances(std::vector(8, usage(0, false)), 80, 0);
    for (auto const it : all)
    {
        BOOST_TEST(it == 10.0);
    }
}

BOOST_AUTO_TEST_CASE(goes_to_the_host_with_unmet_demand)
{
    auto reported = std::vector(8, usage(0, false));
    reported[3] = usage(20, true);
    auto const all = allowances(reported, 80, 0);
    BOOST_TEST(all[3] > 50.0);
    BOOST_TEST(all[0] > 1.0);
}

BOOST_AUTO_TEST_CASE(shrinks_by_the_same_factor_for_all_hosts_above_the_limit)
{
    auto reported = std::vector(4, usage(30, true));
    reported[0].used = 60;
    auto const all = allowances(reported, 75, 0);
    BOOST_TEST(all[0] == 30.0);
    BOOST_TEST(all[1] == 15.0);
}

BOOST_AUTO_TEST_CASE(reserves_an_equal_share_for_hosts_that_never_reported)
{
    auto const settings = sharing_settings{4, 1s, 30s};
    BOOST_TEST(allowance(settings, 80, usage(20, true), {}, {}, start) < 21.0);
}

BOOST_AUTO_TEST_CASE(
    releases_the_usage_of_an_unreachable_host_after_the_hold_time)
{
    auto const settings = sharing_settings{2, 1s, 30s};
    auto const peers = std::vector{reported_usage{0, 70, false, start}};
    auto const report_times = peer_report_times{{start}};
    auto const soon = allowance(settings, 80, usage(10, true), peers,
                                report_times, start + 10s);
    auto const late = allowance(settings, 80, usage(10, true), peers,
                                report_times, start + 40s);
    BOOST_TEST(soon == 10.0);
    BOOST_TEST(late > 20.0);
}

BOOST_AUTO_TEST_CASE(bounds_the_sum_over_all_hosts_for_any_reports)
{
    BOOST_TEST(rc::check(
        "the sum stays within the limit",
        [](std::vector<std::uint8_t> const& reports, std::uint8_t partition)
        {
            auto reported = std::vector<reported_usage>{usage(1, false)};
            for (auto const it : reports)
            {
                reported.push_back(usage(it / 4.0, it % 3 == 0));
            }
            auto const limit = 100.0;
            auto used = 0.0;
            for (auto const& it : reported)
            {
                used += it.used;
            }
            RC_ASSERT(sum(allowances(reported, limit, 0)) <= limit * 1.000001);
            if (used <= limit)
            {
                auto const partitioned = partition % reported.size();
                RC_ASSERT(sum(allowances(reported, limit, partitioned)) <=
                          limit * 1.000001);
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()
