#include "dispatch/target_pauses.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace primrosedeal::dispatch
{

namespace
{

auto at(duration it) -> time_point
{
    return time_point{it};
}

auto target(std::string id, std::uint64_t start = 1) -> directory::listed_target
{
    auto out = directory::listed_target{};
    out.id = target_id{std::move(id)};
    out.process_start = incarnation{start};
    return out;
}

struct two_targets
{
    void pause(directory::listed_target const& which, duration until)
    {
        it.pause(which.id, which.process_start, at(until));
    }

    [[nodiscard]] auto wait(duration now)
    {
        return it.retry_after({a, b}, random, at(now));
    }

    directory::listed_target a = target("a");
    directory::listed_target b = target("b");
    random_source random{1};
    target_pauses it;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_wants_no_requests_for_a_while)

BOOST_FIXTURE_TEST_CASE(gets_none_until_the_time_is_over, two_targets)
{
    BOOST_TEST(it.pause(a.id, a.process_start, at(2s)));
    BOOST_TEST(!it.permits(a, at(0s)));
    BOOST_TEST(!it.permits(a, at(1999ms)));
    BOOST_TEST(it.permits(a, at(2s)));
    BOOST_TEST(it.permits(b, at(0s)));
}

BOOST_FIXTURE_TEST_CASE(is_not_asked_sooner_for_an_answer_that_was_late,
                        two_targets)
{
    pause(a, 3s);
    BOOST_TEST(!it.pause(a.id, a.process_start, at(1s)));
    BOOST_TEST(!it.permits(a, at(2s)));
}

BOOST_FIXTURE_TEST_CASE(gets_requests_again_as_a_new_process, two_targets)
{
    pause(a, 3s);
    auto const next = target("a", 2);
    BOOST_TEST(it.permits(next, at(0s)));
    pause(next, 1s);
    // A late answer of the process before.
    pause(a, 9s);
    BOOST_TEST(it.permits(next, at(1s)));
}

BOOST_FIXTURE_TEST_CASE(tells_callers_when_to_return_if_no_other_serves,
                        two_targets)
{
    BOOST_TEST(!it.retry_after({}, random, at(0s)));
    pause(a, 3s);
    BOOST_TEST(!wait(0s));
    pause(b, 2s);
    auto const first = wait(500ms);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST((*first >= 1500ms && *first <= 1500ms + pause_return_spread));
    BOOST_TEST(!wait(2s));
}

BOOST_FIXTURE_TEST_CASE(is_forgotten_with_its_entry, two_targets)
{
    pause(a, 3s);
    it.remove_target(a.id);
    BOOST_TEST(it.permits(a, at(0s)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
