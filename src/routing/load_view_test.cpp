#include "routing/load_view.hpp"

#include <boost/test/unit_test.hpp>

using namespace primrosedeal;
using namespace primrosedeal::routing;

namespace
{

auto const start = time_point{100s};
auto const a = target_id{"a"};

} // namespace

BOOST_AUTO_TEST_SUITE(the_expected_load)

BOOST_AUTO_TEST_CASE(adds_own_events_that_a_report_does_not_include_yet)
{
    auto it = load_view{{}};
    it.reported(a, {10, 2, start});
    it.dispatched(a, start + 100ms);
    it.dispatched(a, start + 200ms);
    it.finished(a, start + 300ms);
    BOOST_TEST(it.expected(a, start + 400ms) == 13.0);
}

BOOST_AUTO_TEST_CASE(lets_own_dispatches_decay_as_reports_arrive)
{
    auto it = load_view{{}};
    it.dispatched(a, start);
    it.reported(a, {10, 0, start + 500ms});
    BOOST_TEST(it.expected(a, start + 5s) == 10.5);
    it.reported(a, {10, 0, start + 1s});
    BOOST_TEST(it.expected(a, start + 5s) == 10.0);
}

BOOST_AUTO_TEST_CASE(is_never_below_the_requests_in_flight)
{
    auto it = load_view{{}};
    for (auto n = 0; n < 5; ++n)
    {
        it.dispatched(a, start);
    }
    it.reported(a, {0, 0, start + 3s});
    BOOST_TEST(it.expected(a, start + 3s) == 5.0);
}

BOOST_AUTO_TEST_CASE(ignores_an_expired_report)
{
    auto it = load_view{{}};
    it.reported(a, {50, 0, start});
    BOOST_TEST(it.expected(a, start + 9s) == 50.0);
    BOOST_TEST(it.expected(a, start + 11s) == 0.0);
}

BOOST_AUTO_TEST_CASE(ignores_a_completion_without_a_dispatch)
{
    auto it = load_view{{}};
    it.finished(a, start);
    BOOST_TEST(it.expected(a, start) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
