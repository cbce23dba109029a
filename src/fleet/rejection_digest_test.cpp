#include "fleet/fleet_view.hpp"

#include <boost/test/unit_test.hpp>

// Rejections of targets in digests, and the rate of requests that they show.
namespace primrosedeal::fleet
{

namespace
{

auto const target = target_id{"server-1"};
constexpr auto process = incarnation{1774603870030U};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto make_digest(std::uint64_t sequence) -> digest
{
    auto out = digest{};
    out.host = host_id{"h"};
    out.process_start = incarnation{1};
    out.sequence = sequence;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_digest_with_rejections)

BOOST_AUTO_TEST_CASE(carries_their_ages_between_hosts_with_other_clocks)
{
    auto it = make_digest(1);
    it.rejection_limits.push_back(
        {target, {process, request_limit::request_rate{3}, at(900)}, at(900)});
    it.rejections.push_back({target, process, 2, at(950)});
    auto const got = decode_digest(encode(it, at(1000)), at(70000));
    BOOST_REQUIRE(got);
    BOOST_REQUIRE(got->rejection_limits.size() == 1U);
    BOOST_TEST((got->rejection_limits[0].state ==
                request_limit::limit_state{
                    process, request_limit::request_rate{3}, at(69900)}));
    BOOST_REQUIRE(got->rejections.size() == 1U);
    BOOST_TEST((got->rejections[0] == rejection_limit::reported_rejections{
                                          target, process, 2, at(69950)}));
    BOOST_TEST(got->limits.empty());
}

BOOST_AUTO_TEST_CASE(is_as_long_as_before_without_any)
{
    auto const none = encode(make_digest(1), at(0)).size();
    auto it = make_digest(1);
    it.limits.push_back(
        {target, {process, request_limit::request_rate{3}, at(0)}, at(0)});
    auto const with_limit = encode(it, at(0)).size();
    it.rejections.push_back({target, process, 2, at(0)});
    BOOST_TEST(none < with_limit);
    BOOST_TEST(with_limit < encode(it, at(0)).size());
    auto const got = decode_digest(encode(it, at(0)), at(0));
    BOOST_REQUIRE(got);
    BOOST_TEST(got->limits.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_rate_of_requests_of_other_hosts)

BOOST_AUTO_TEST_CASE(is_that_of_the_last_seconds_once_they_are_known)
{
    auto const service = service_id{"s"};
    auto view = fleet_view{};
    BOOST_TEST(!view.request_rate(service, at(0)));
    constexpr auto before = 1000U;
    for (auto s = 0; s <= 6; ++s)
    {
        auto it = make_digest(static_cast<std::uint64_t>(s) + 1);
        it.counts[service].requests =
            before + 10U * static_cast<std::uint64_t>(s);
        view.apply(it, at(1000 * s));
        if (s == 0)
        {
            BOOST_TEST(!view.request_rate(service, at(500)));
        }
    }
    auto const rate = view.request_rate(service, at(6000));
    BOOST_REQUIRE(rate);
    BOOST_TEST(*rate == 10, boost::test_tools::tolerance(0.01));
    BOOST_TEST(*view.request_rate(service_id{"other"}, at(6000)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
