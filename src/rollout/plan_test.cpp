#include "rollout/plan.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <vector>

// Which versions requests may use, and how the phases follow each other.
namespace primrosedeal::rollout
{

namespace
{

auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};

auto input() -> plan_input
{
    auto out = plan_input{};
    out.target = v2;
    out.others = {v1};
    return out;
}

auto progress_of(double part) -> progress
{
    auto out = progress{};
    out.length = 100s;
    out.elapsed = duration{static_cast<duration::rep>(part * 1e8)};
    out.in_phase = 100s;
    out.responses = 1000;
    out.others_heard = true;
    return out;
}

/// Sends `n` requests and returns how many went to the target version.
auto send(phase const& at, plan_input it, std::uint64_t n) -> std::uint64_t
{
    for (auto i = std::uint64_t{0}; i < n; ++i)
    {
        ++it.requests.all;
        it.requests.at_target +=
            plan(at, it).preferred.contains(it.target) ? 1 : 0;
    }
    return it.requests.at_target;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_share_of_a_version)

RC_BOOST_PROP(stays_in_the_bounds_over_all_hosts_until_it_is_evaluated, ())
{
    auto it = input();
    it.hosts = *rc::gen::inRange<std::size_t>(1, 400);
    it.bounds.share = *rc::gen::inRange(0, 50) / 100.0;
    it.bounds.slack = *rc::gen::inRange(0, 200);
    auto const hosts = *rc::gen::container<std::vector<int>>(
        it.hosts, rc::gen::inRange(0, 60));
    auto all = 0.0;
    auto sent = 0.0;
    for (auto const n : hosts)
    {
        it.rank = static_cast<std::size_t>(&n - hosts.data());
        all += n;
        sent += static_cast<double>(
            send(limited{}, it, static_cast<std::uint64_t>(n)));
    }
    RC_ASSERT(sent <= it.bounds.share * all + it.bounds.slack);
}

// Each of many hosts had a part of a request, and none sent any.
BOOST_AUTO_TEST_CASE(brings_evidence_where_each_host_has_few_requests)
{
    auto it = input();
    it.hosts = 360;
    auto sent = std::uint64_t{0};
    for (it.rank = 0; it.rank < it.hosts; ++it.rank)
    {
        sent += send(limited{}, it, 1);
    }
    BOOST_TEST(sent == 25U);
}

BOOST_AUTO_TEST_CASE(is_kept_by_counts)
{
    BOOST_TEST(send(raised{0.25}, input(), 1000) == 250U);
    BOOST_TEST(send(whole{}, input(), 1000) == 1000U);
    BOOST_TEST(send(reverted{}, input(), 1000) == 0U);
    BOOST_TEST(send(finished{}, input(), 1000) == 1000U);
    BOOST_TEST(send(waiting{}, input(), 1000) == 0U);
}

BOOST_AUTO_TEST_CASE(leaves_no_version_after_a_rollback_without_others)
{
    auto it = input();
    it.others.clear();
    BOOST_TEST((plan(reverted{}, it).preferred == version_set{no_version()}));
    // Nothing else could serve.
    BOOST_TEST((plan(limited{}, it).preferred == version_set{v2}));
}

BOOST_AUTO_TEST_CASE(goes_elsewhere_while_its_targets_are_gone)
{
    auto it = input();
    it.target_usable = false;
    BOOST_TEST((plan(whole{}, it).preferred == version_set{v1}));
    // The old targets may have stopped.
    BOOST_TEST((plan(finished{}, it).preferred == version_set{v2}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_phases_of_a_rollout)

BOOST_AUTO_TEST_CASE(
    follow_each_other_to_the_whole_load_before_half_of_the_time)
{
    auto it = phase{waiting{}};
    auto seen = std::vector<std::string_view>{};
    for (auto part = 0.0; part < 0.5; part += 0.01)
    {
        it = next_phase(it, progress_of(part));
        if (seen.empty() || seen.back() != to_string(it))
        {
            seen.push_back(to_string(it));
        }
    }
    auto const expected =
        std::vector<std::string_view>{"limited", "raised", "whole"};
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(wait_for_responses_and_for_other_hosts)
{
    auto few = progress_of(0.15);
    few.responses = 1;
    BOOST_TEST((next_phase(limited{}, few) == phase{limited{}}));
    few.elapsed = few.length;
    BOOST_TEST((next_phase(limited{}, few) == phase{raised{0.25}}));
    auto alone = progress_of(0.9);
    alone.others_heard = false;
    BOOST_TEST((next_phase(limited{}, alone) == phase{limited{}}));
    BOOST_TEST((next_phase(raised{0.5}, alone) == phase{raised{0.5}}));
}

// A version that is bad under load only must be seen at each step.
BOOST_AUTO_TEST_CASE(stay_at_each_step_for_a_while)
{
    auto late = progress_of(0.9);
    late.in_phase = 1s;
    BOOST_TEST((next_phase(raised{0.25}, late) == phase{raised{0.25}}));
}

BOOST_AUTO_TEST_CASE(never_leave_their_end)
{
    BOOST_TEST((next_phase(reverted{}, progress_of(0.9)) == phase{reverted{}}));
    BOOST_TEST((next_phase(finished{}, progress_of(0.1)) == phase{finished{}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rollout
