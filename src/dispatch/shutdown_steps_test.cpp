#include "dispatch/shutdown_steps.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto grace = duration{8s};
constexpr auto start = time_point{} + 100s;

auto view() -> shutdown_view
{
    auto out = shutdown_view{};
    out.started_at = start;
    out.grace = grace;
    return out;
}

template <class Step>
auto due(shutdown_view const& it, duration since) -> bool
{
    return std::holds_alternative<Step>(next_shutdown_step(it, start + since));
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_steps_of_a_shutdown)

BOOST_AUTO_TEST_SUITE(while_connections_are_open)

BOOST_AUTO_TEST_CASE(end_idle_ones_once_the_balancer_has_left_the_host)
{
    auto it = view();
    it.connections = 1;
    BOOST_TEST(due<keep_connections>(it, 0s));
    BOOST_TEST(due<keep_connections>(it, 2s));
    BOOST_TEST(due<end_idle_connections>(it, 2500ms));
    BOOST_TEST(due<end_idle_connections>(it, 7200ms));
}

BOOST_AUTO_TEST_CASE(stop_accepting_before_the_grace_is_over)
{
    auto it = view();
    it.connections = 1;
    it.open_requests = 1;
    BOOST_TEST(due<stop_accepting>(it, 7300ms));
    it.accepting = false;
    BOOST_TEST(due<end_idle_connections>(it, 7400ms));
    BOOST_TEST(due<end_connections>(it, 7500ms));
    BOOST_TEST(due<end_connections>(it, 7800ms));
    BOOST_TEST(due<exit_process>(it, 7850ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_an_unused_host)

BOOST_AUTO_TEST_CASE(exit_once_the_balancer_has_left_it_and_its_queue_is_empty)
{
    auto it = view();
    BOOST_TEST(due<keep_connections>(it, 2s));
    BOOST_TEST(due<stop_accepting>(it, 2500ms));
    it.accepting = false;
    BOOST_TEST(due<exit_process>(it, 2500ms));
    // One waited to be accepted.
    it.connections = 1;
    BOOST_TEST(due<end_idle_connections>(it, 2500ms));
}

BOOST_AUTO_TEST_CASE(wait_for_requests_and_tunnels)
{
    auto it = view();
    it.accepting = false;
    it.open_requests = 1;
    BOOST_TEST(!due<exit_process>(it, 3s));
    it.open_requests = 0;
    it.open_tunnels = 1;
    BOOST_TEST(!due<exit_process>(it, 3s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(fit_a_grace_that_is_shorter_than_the_balancer_takes)
{
    auto it = view();
    it.grace = 1s;
    it.connections = 1;
    BOOST_TEST(due<keep_connections>(it, 200ms));
    BOOST_TEST(due<stop_accepting>(it, 400ms));
    it.accepting = false;
    BOOST_TEST(due<end_connections>(it, 500ms));
    BOOST_TEST(due<exit_process>(it, 900ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
