#include "rollout/evaluation.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

// When the responses of a version make it bad.
namespace primrosedeal::rollout
{

namespace
{

auto at(duration since_start) -> time_point
{
    return time_point{since_start};
}

struct responses
{
    bool of_target = false;
    int good = 0;
    int failed = 0;
    duration took = 100ms;
    std::string route = "r";
};

void add(own_evidence& to, responses const& it, time_point now = at(1s))
{
    for (auto i = 0; i < it.good + it.failed; ++i)
    {
        to.observe({it.route, it.of_target, i < it.failed, it.took, {}}, now);
    }
}

/// The host's counts as of a moment later.
auto counted(own_evidence& it) -> evidence const&
{
    return it.counts(at(1s));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_version_beside_another_one)

BOOST_AUTO_TEST_CASE(is_not_bad_by_too_few_responses)
{
    auto it = own_evidence{2s};
    add(it, {false, 100, 0});
    add(it, {true, 0, 3});
    BOOST_TEST(!find_fault(counted(it), true));
}

BOOST_AUTO_TEST_CASE(is_bad_by_failures_well_before_the_50th)
{
    auto it = own_evidence{2s};
    add(it, {false, 400, 0});
    add(it, {true, 20, 10});
    auto const found = find_fault(counted(it), true);
    BOOST_REQUIRE(found);
    BOOST_TEST((found->what == fault::failures));
    BOOST_TEST(found->bad == 10);
}

// A dependency of both versions failed, and a good version was stopped.
BOOST_AUTO_TEST_CASE(is_not_bad_by_failures_that_the_other_one_has_too)
{
    auto it = own_evidence{2s};
    add(it, {false, 320, 80});
    add(it, {true, 40, 10});
    BOOST_TEST(!find_fault(counted(it), true));
}

BOOST_AUTO_TEST_CASE(is_bad_if_it_is_three_times_as_slow)
{
    auto it = own_evidence{2s};
    add(it, {false, 200, 0, 100ms});
    add(it, {true, 20, 0, 300ms});
    auto const found = find_fault(counted(it), true);
    BOOST_REQUIRE(found);
    BOOST_TEST((found->what == fault::slowness));
}

BOOST_AUTO_TEST_CASE(is_not_bad_if_it_is_a_little_slower)
{
    auto it = own_evidence{2s};
    add(it, {false, 200, 0, 100ms});
    add(it, {true, 100, 0, 160ms});
    BOOST_TEST(!find_fault(counted(it), true));
}

BOOST_AUTO_TEST_CASE(is_bad_by_one_route_alone)
{
    auto it = own_evidence{2s};
    add(it, {false, 2000, 0, 100ms, "usual"});
    add(it, {false, 100, 0, 100ms, "rare"});
    add(it, {true, 900, 0, 100ms, "usual"});
    add(it, {true, 8, 12, 100ms, "rare"});
    auto const found = find_fault(counted(it), true);
    BOOST_REQUIRE(found);
    BOOST_TEST(found->route == "rare");
}

// The good responses before hid those that followed.
BOOST_AUTO_TEST_CASE(is_bad_if_it_turns_bad_after_many_good_responses)
{
    auto it = own_evidence{2s};
    add(it, {false, 20000, 0});
    add(it, {true, 20000, 0});
    add(it, {false, 200, 0}, at(11s));
    add(it, {true, 60, 40}, at(11s));
    auto const found = find_fault(it.counts(at(11s)), false);
    BOOST_REQUIRE(found);
    // By the recent ones, not by all 20,100.
    BOOST_TEST(found->responses < 1000);
}

// First events of long prompts take longer.
BOOST_AUTO_TEST_CASE(is_compared_by_the_size_of_prompts)
{
    auto it = own_evidence{2s};
    for (auto i = 0; i < 200; ++i)
    {
        it.observe({"r", false, false, 240ms, token_count{1000}}, at(1s));
    }
    for (auto i = 0; i < 40; ++i)
    {
        it.observe({"r", true, false, 1100ms, token_count{5000}}, at(1s));
    }
    BOOST_TEST(!find_fault(it.counts(at(1s)), true));
}

BOOST_AUTO_TEST_CASE(is_counted_with_a_bounded_number_of_routes)
{
    auto it = own_evidence{2s};
    for (auto i = 0; i < 100; ++i)
    {
        add(it, {true, 1, 0, 1ms, "r" + std::to_string(i)});
    }
    BOOST_TEST(counted(it).target.size() <= max_routes + 1);
    BOOST_TEST(responses_of_target(counted(it)) == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rollout
