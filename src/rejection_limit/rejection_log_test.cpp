#include "rejection_limit/rejection_log.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::rejection_limit
{

namespace
{

auto const target = target_id{"t"};
auto const peer = host_id{"h"};
constexpr auto first = incarnation{1};
constexpr auto second = incarnation{2};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(rejections_of_a_target)

BOOST_AUTO_TEST_CASE(count_for_a_second)
{
    auto it = rejection_log{};
    it.rejected(target, first, at(0));
    it.rejected(target, first, at(400));
    BOOST_TEST(it.recent(target, first, at(500)) == 2U);
    BOOST_TEST(it.recent(target, first, at(1100)) == 1U);
    BOOST_TEST(it.recent(target, first, at(1400)) == 0U);
    BOOST_TEST(it.report(at(1400)).empty());
}

BOOST_AUTO_TEST_CASE(are_those_of_all_hosts_and_count_once)
{
    auto it = rejection_log{};
    it.rejected(target, first, at(0));
    it.merge(peer, {target, first, 1, at(10)});
    it.merge(peer, {target, first, 2, at(20)});
    it.merge(peer, {target, first, 1, at(10)});
    BOOST_TEST(it.recent(target, first, at(100)) == 3U);
    // Only its own are reported.
    auto const own = it.report(at(100));
    BOOST_REQUIRE(own.size() == 1U);
    BOOST_TEST((own.front() == reported_rejections{target, first, 1, at(0)}));
}

BOOST_AUTO_TEST_CASE(end_with_its_process)
{
    auto it = rejection_log{};
    it.rejected(target, first, at(0));
    it.merge(peer, {target, second, 1, at(10)});
    BOOST_TEST(it.recent(target, first, at(100)) == 0U);
    BOOST_TEST(it.recent(target, second, at(100)) == 1U);
    it.merge(peer, {target, first, 5, at(20)});
    BOOST_TEST(it.recent(target, second, at(100)) == 1U);
}

BOOST_AUTO_TEST_CASE(are_removed_once_they_do_not_count)
{
    auto it = rejection_log{};
    it.rejected(target, first, at(0));
    it.expire(at(500));
    BOOST_TEST(it.recent(target, first, at(500)) == 1U);
    it.expire(at(1500));
    BOOST_TEST(it.recent(target, first, at(500)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rejection_limit
