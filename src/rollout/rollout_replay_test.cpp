#include "rollout/replay_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

// Rollouts of good and bad versions at fleets of three sizes.
namespace primrosedeal::rollout
{

namespace
{

constexpr auto fleets = std::array<std::size_t, 3>{8, 72, 360};

/// The requirements: docs/HARD-LOAD.md, part 1.
constexpr auto exposure_share = 0.1;
constexpr auto exposure_slack = 50.0;
constexpr auto rollback_bound = duration{5s};

void report(char const* what, replay_options const& options,
            replay_result const& it)
{
    BOOST_TEST_MESSAGE(
        what << " at " << options.hosts << " hosts: status "
             << (it.status ? to_string(*it.status) : "none") << " after "
             << (it.final_at ? to_seconds(*it.final_at) : -1) << " s, "
             << it.sent_to_new << " of " << it.requests
             << " sent to the new version, " << it.sent_before_evaluation
             << " before its evaluation, " << it.bad_responses
             << " bad responses, 50th after "
             << (it.fiftieth_bad_at ? to_seconds(*it.fiftieth_bad_at) : -1)
             << " s, last sent after "
             << (it.last_sent_to_new_at ? to_seconds(*it.last_sent_to_new_at)
                                        : -1)
             << " s");
}

auto check_exposure(replay_result const& it) -> void
{
    BOOST_TEST(static_cast<double>(it.sent_before_evaluation) <=
               exposure_share *
                       static_cast<double>(it.requests_until_deadline) +
                   exposure_slack);
    BOOST_TEST(!it.regressed);
}

void check_stopped(char const* what, replay_options const& options)
{
    auto const it = replay_fleet{options}.run();
    report(what, options, it);
    check_exposure(it);
    BOOST_TEST((it.status == state::rolled_back));
    if (it.fiftieth_bad_at)
    {
        BOOST_TEST(to_seconds(*it.last_sent_to_new_at) <=
                   to_seconds(*it.fiftieth_bad_at + rollback_bound));
    }
}

void check_completed(char const* what, replay_options const& options)
{
    auto const it = replay_fleet{options}.run();
    report(what, options, it);
    check_exposure(it);
    BOOST_TEST((it.status == state::completed));
    BOOST_REQUIRE(it.final_at);
    BOOST_TEST(to_seconds(*it.final_at) <= to_seconds(options.length));
    BOOST_TEST(it.outstanding_at_completion == 0);
}

template <class Check>
void at_each_size(Check const& check)
{
    for (auto const hosts : fleets)
    {
        auto options = replay_options{};
        options.hosts = hosts;
        // The demand of a large fleet is not that of a small one.
        options.requests_per_host = hosts > fleets[1] ? 2 : 6;
        check(options);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_good_version)

BOOST_AUTO_TEST_CASE(is_completed_before_the_deadline)
{
    at_each_size([](replay_options const& it) { check_completed("good", it); });
}

BOOST_AUTO_TEST_CASE(is_completed_where_both_versions_fail_at_times)
{
    at_each_size(
        [](replay_options it)
        {
            it.usual_failures = 0.05;
            check_completed("good, usual failures", it);
        });
}

// Chance differences of the versions must not stop a good one.
BOOST_AUTO_TEST_CASE(is_completed_with_other_seeds)
{
    constexpr auto seeds = std::uint64_t{20};
    for (auto seed = std::uint64_t{2}; seed < seeds; ++seed)
    {
        auto options = replay_options{};
        options.seed = seed;
        options.usual_failures = seed % 2 == 0 ? 0.03 : 0;
        check_completed("good", options);
    }
}

BOOST_AUTO_TEST_CASE(is_completed_though_digests_are_lost)
{
    at_each_size(
        [](replay_options it)
        {
            it.lost_digests = 0.3;
            check_completed("good, lost digests", it);
        });
}

BOOST_AUTO_TEST_CASE(is_completed_though_a_domain_was_partitioned)
{
    at_each_size(
        [](replay_options it)
        {
            it.cut_from = 3s;
            it.cut_until = 6s;
            it.length = 30s;
            check_completed("good, partitioned", it);
        });
}

BOOST_AUTO_TEST_CASE(is_completed_where_demand_is_low)
{
    auto options = replay_options{};
    options.requests_per_host = 0.2;
    options.length = 30s;
    check_completed("good, low demand", options);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_bad_version)

BOOST_AUTO_TEST_CASE(is_stopped_if_it_fails_at_once)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.3;
            check_stopped("fails", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_few_responses_fail)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.1;
            check_stopped("fails, few", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_all_responses_are_slow)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 1;
            it.bad.slower = 3;
            check_stopped("slow", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_a_part_is_slow)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.3;
            it.bad.slower = 5;
            check_stopped("slow, part", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_it_fails_later)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.3;
            it.bad.from = 5s;
            check_stopped("fails later", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_it_is_slow_later)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.5;
            it.bad.slower = 5;
            it.bad.from = 5s;
            check_stopped("slow later", it);
        });
}

// Nothing serves beside it by then, so it is compared with what did before.
BOOST_AUTO_TEST_CASE(is_stopped_if_all_responses_are_slow_once_it_serves_alone)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 1;
            it.bad.slower = 3;
            it.bad.from = 8s;
            check_stopped("slow alone", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_it_fails_under_load)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.3;
            it.bad.above_share = 0.4;
            check_stopped("fails under load", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_it_is_slow_under_load)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 1;
            it.bad.slower = 4;
            it.bad.above_share = 0.4;
            check_stopped("slow under load", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_one_route_fails)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.4;
            it.bad.route = "rare";
            check_stopped("one route fails", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_if_one_route_is_slow)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 1;
            it.bad.slower = 4;
            it.bad.route = "rare";
            check_stopped("one route slow", it);
        });
}

BOOST_AUTO_TEST_CASE(is_stopped_though_digests_are_lost)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.3;
            it.lost_digests = 0.3;
            check_stopped("fails, lost digests", it);
        });
}

// The domain has only its own evidence, and stops by it.
BOOST_AUTO_TEST_CASE(is_stopped_though_a_domain_is_partitioned)
{
    at_each_size(
        [](replay_options it)
        {
            it.bad.part = 0.4;
            it.cut_from = 500ms;
            it.cut_until = 20s;
            check_stopped("fails, partitioned", it);
        });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rollout
