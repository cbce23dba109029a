#include "http1/connection_limit.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace primrosedeal::http1
{

namespace
{

constexpr auto now = time_point{100s};
constexpr auto bounds = connection_bounds{2, 1, 1s};

auto running() -> held_connection
{
    return {.progressed_at = now - 30s};
}

auto silent(duration length, bool in_request = true) -> held_connection
{
    return {.owes_request = true,
            .in_request = in_request,
            .progressed_at = now - length};
}

auto surplus(duration silent_for) -> held_connection
{
    auto out = silent(silent_for, false);
    out.surplus = true;
    return out;
}

auto ending(duration length, bool has_unsent = false) -> held_connection
{
    return {.ending = true,
            .has_unsent = has_unsent,
            .progressed_at = now - length};
}

auto decide(std::vector<held_connection> const& held) -> connection_decision
{
    return place_connection(held, bounds, now);
}

/// The connection in whose place a further one is served.
auto replaced(std::vector<held_connection> const& held)
    -> std::optional<std::size_t>
{
    auto const it = decide(held);
    BOOST_REQUIRE(std::holds_alternative<serve>(it.what));
    return std::get<serve>(it.what).instead_of;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_further_connection)

BOOST_AUTO_TEST_SUITE(below_the_limit)

BOOST_AUTO_TEST_CASE(is_served)
{
    BOOST_TEST(!replaced({silent(30s)}).has_value());
}

BOOST_AUTO_TEST_CASE(is_served_beside_one_that_ends)
{
    BOOST_TEST(!replaced({silent(30s), ending(0s)}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_the_limit)

BOOST_AUTO_TEST_CASE(takes_the_place_of_a_stalled_request_first)
{
    BOOST_TEST(replaced({silent(30s, false), silent(1s)}).value() == 1U);
}

BOOST_AUTO_TEST_CASE(takes_the_place_of_the_longest_silence)
{
    BOOST_TEST(replaced({silent(2s), silent(3s)}).value() == 1U);
    BOOST_TEST(replaced({silent(3s, false), silent(2s, false)}).value() == 0U);
}

BOOST_AUTO_TEST_CASE(is_refused_while_all_send_or_run)
{
    auto const it = decide({running(), silent(999ms)});
    BOOST_TEST(std::holds_alternative<refuse_request>(it.what));
    BOOST_TEST(!it.spent.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_a_descriptor_left)

BOOST_AUTO_TEST_CASE(is_closed_while_nothing_is_spent)
{
    auto const it = decide({running(), silent(30s), surplus(999ms)});
    BOOST_TEST(std::holds_alternative<close_at_once>(it.what));
    auto const told = decide({running(), ending(199ms), ending(30s, true)});
    BOOST_TEST(std::holds_alternative<close_at_once>(told.what));
}

BOOST_AUTO_TEST_CASE(has_a_stalled_surplus_one_closed)
{
    auto const it = decide({running(), silent(2s), surplus(1s)});
    BOOST_TEST(it.spent.value() == 2U);
    BOOST_REQUIRE(std::holds_alternative<serve>(it.what));
    BOOST_TEST(std::get<serve>(it.what).instead_of.value() == 1U);
}

BOOST_AUTO_TEST_CASE(has_the_one_closed_that_ended_first)
{
    auto const it = decide({ending(200ms), running(), ending(300ms)});
    BOOST_TEST(it.spent.value() == 2U);
    BOOST_TEST(!std::get<serve>(it.what).instead_of.has_value());
}

BOOST_AUTO_TEST_CASE(is_refused_beside_running_ones_after_that)
{
    auto const it = decide({running(), running(), surplus(1s)});
    BOOST_TEST(it.spent.value() == 2U);
    BOOST_TEST(std::holds_alternative<refuse_request>(it.what));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
