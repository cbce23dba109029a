#include "dispatch/shutdown_steps.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <vector>

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

/// A connection on which a client sends, pauses and sends again; some pauses
/// are long.
auto next_pause(random_source& random) -> duration
{
    constexpr auto mean_ms = 300.0;
    constexpr auto long_mean_ms = 4000.0;
    constexpr auto long_part = 0.2;
    auto const mean = random.unit() < long_part ? long_mean_ms : mean_ms;
    return std::chrono::microseconds{
        static_cast<std::int64_t>(-1000 * mean * std::log(1 - random.unit()))};
}

/// Requests that are on their way when their connection is ended, of 200,000
/// connections that are open at SIGTERM. `end` is when a connection without a
/// request ends that had none since SIGTERM.
auto lost_requests(random_source& random, duration end) -> int
{
    constexpr auto connections = 200'000;
    constexpr auto one_way = duration{20ms};
    auto lost = 0;
    for (auto i = 0; i < connections; ++i)
    {
        // A request that arrives before the end is answered, and the answer
        // ends the connection.
        auto sent = next_pause(random);
        lost += sent + one_way > end && sent < end + one_way ? 1 : 0;
    }
    return lost;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_steps_of_a_shutdown)

BOOST_AUTO_TEST_SUITE(while_connections_are_open)

BOOST_AUTO_TEST_CASE(hold_them_until_the_grace_is_nearly_over)
{
    auto it = view();
    it.connections = 1;
    BOOST_TEST(due<keep_connections>(it, 0s));
    BOOST_TEST(due<keep_connections>(it, 3s));
    BOOST_TEST(due<keep_connections>(it, 7200ms));
}

BOOST_AUTO_TEST_CASE(stop_accepting_before_they_end_connections)
{
    auto it = view();
    it.connections = 1;
    BOOST_TEST(due<stop_accepting>(it, 7300ms));
    it.accepting = false;
    BOOST_TEST(due<keep_connections>(it, 7400ms));
    BOOST_TEST(due<end_idle_connections>(it, 7500ms));
    BOOST_TEST(due<end_idle_connections>(it, 7800ms));
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
    BOOST_TEST(due<keep_connections>(it, 2500ms));
}

BOOST_AUTO_TEST_CASE(wait_for_requests_and_tunnels)
{
    auto it = view();
    it.accepting = false;
    it.open_requests = 1;
    BOOST_TEST(due<keep_connections>(it, 3s));
    it.open_requests = 0;
    it.open_tunnels = 1;
    BOOST_TEST(due<keep_connections>(it, 3s));
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
    BOOST_TEST(due<end_idle_connections>(it, 500ms));
    BOOST_TEST(due<exit_process>(it, 900ms));
}

// Connections were ended as soon as the balancer had left the host.
BOOST_AUTO_TEST_CASE(lose_few_requests_that_cross_the_end_of_a_connection)
{
    auto random = random_source{20261205};
    auto const early = lost_requests(random, balancer_drain_delay);
    auto const late = lost_requests(random, grace - grace_margin);
    BOOST_TEST_MESSAGE("lost: " << late << ", ended early " << early);
    BOOST_TEST(2 * late <= early);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
