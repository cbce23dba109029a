#include "reachability/tunnel_limit.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::reachability
{

namespace
{

using own_work = tunnel_limit::own_work;

constexpr auto link = 1.25e6;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_helper)

BOOST_AUTO_TEST_SUITE(opens_a_tunnel)

BOOST_AUTO_TEST_CASE(while_its_own_callers_leave_room)
{
    auto it = tunnel_limit{link};
    BOOST_TEST(it.admit({}, at(1000)));
    BOOST_TEST(it.open() == 1U);
    auto late = own_work{};
    late.loop_delay = max_loop_delay + 1ms;
    BOOST_TEST(!it.admit(late, at(1000)));
    auto busy = own_work{};
    busy.link_busy = true;
    BOOST_TEST(!it.admit(busy, at(1000)));
    auto leaving = own_work{};
    leaving.leaving = true;
    BOOST_TEST(!it.admit(leaving, at(1000)));
    BOOST_TEST(it.open() == 1U);
    BOOST_TEST(it.admit({}, at(1000)));
}

BOOST_AUTO_TEST_CASE(up_to_the_number_that_may_be_open)
{
    auto it = tunnel_limit{link};
    auto now = at(1000);
    for (auto i = std::size_t{0}; i < max_open_tunnels; ++i)
    {
        BOOST_TEST(it.admit({}, now));
        now += 10ms;
    }
    BOOST_TEST(!it.admit({}, now));
    it.closed();
    BOOST_TEST(it.admit({}, now));
    BOOST_TEST(!it.admit({}, now));
}

BOOST_AUTO_TEST_CASE(at_an_eighth_of_a_core)
{
    auto it = tunnel_limit{link};
    auto opened = 0;
    for (auto ms = 1000; ms < 11000; ++ms)
    {
        for (auto i = 0; i < 10; ++i)
        {
            if (it.admit({}, at(ms)))
            {
                ++opened;
                it.closed();
            }
        }
    }
    auto const processor_time = opened * tunnel_processor_time;
    BOOST_TEST((processor_time <= duration{10s} / 8 + 50ms));
    BOOST_TEST((processor_time >= duration{10s} / 8 - 50ms));
}

BOOST_AUTO_TEST_CASE(in_a_short_burst)
{
    auto it = tunnel_limit{link};
    auto opened = 0;
    for (auto i = 0U; i < max_open_tunnels; ++i)
    {
        opened += it.admit({}, at(60000)) ? 1 : 0;
    }
    BOOST_TEST((opened * tunnel_processor_time <= tunnel_burst_time / 8));
    BOOST_TEST(opened >= 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(bounds_the_bytes_of_all_tunnels_if_it_knows_its_link)
{
    BOOST_TEST(tunnel_limit{link}.bytes_per_second() == link / 8);
    BOOST_TEST(tunnel_limit{0}.bytes_per_second() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::reachability
