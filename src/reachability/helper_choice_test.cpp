#include "reachability/helper_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace primrosedeal::reachability
{

namespace
{

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto const own = domain_id{"d0"};

/// Hosts `h0`, `h1`, ... in the domains `d0` to `d3` in turn.
auto candidates(std::size_t n) -> std::vector<helper_candidate>
{
    constexpr auto domains = std::size_t{4};
    auto out = std::vector<helper_candidate>{};
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        out.push_back({host_id{"h" + std::to_string(i)},
                       domain_id{"d" + std::to_string(i % domains)}});
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_without_a_path)

BOOST_AUTO_TEST_SUITE(chooses_a_helper)

BOOST_AUTO_TEST_CASE(of_its_own_domain_if_there_is_one)
{
    auto random = random_source{1};
    auto all = candidates(8);
    for (auto i = 0; i < 100; ++i)
    {
        auto const it = choose_helper(all, own, random);
        BOOST_REQUIRE(it);
        BOOST_TEST((*it == host_id{"h0"} || *it == host_id{"h4"}));
    }
    all[0].excluded = true;
    BOOST_TEST((choose_helper(all, own, random) == host_id{"h4"}));
    all[4].excluded = true;
    auto const it = choose_helper(all, own, random);
    BOOST_REQUIRE(it);
    BOOST_TEST((*it != host_id{"h0"} && *it != host_id{"h4"}));
}

BOOST_AUTO_TEST_CASE(of_another_domain_after_one_of_its_own_failed)
{
    auto random = random_source{1};
    auto all = candidates(40);
    all[0].tried = true;
    all[1].tried = true;
    for (auto i = 0; i < 100; ++i)
    {
        auto const it = choose_helper(all, own, random);
        BOOST_REQUIRE(it);
        auto const found =
            std::find_if(all.begin(), all.end(),
                         [&](auto const& each) { return each.id == *it; });
        BOOST_TEST((found->domain == domain_id{"d2"} ||
                    found->domain == domain_id{"d3"}));
    }
}

BOOST_AUTO_TEST_CASE(of_a_domain_that_failed_if_there_is_no_other)
{
    auto random = random_source{1};
    auto all = candidates(5);
    for (auto i = 0U; i < 4; ++i)
    {
        all[i].tried = true;
    }
    BOOST_TEST((choose_helper(all, own, random) == host_id{"h4"}));
}

// Otherwise all hosts of a partitioned domain ask the last few of them.
BOOST_AUTO_TEST_CASE(of_any_domain_once_most_hosts_of_its_own_are_excluded)
{
    auto random = random_source{1};
    auto all = candidates(40);
    for (auto i = 0U; i < 24; i += 4)
    {
        all[i].excluded = true;
    }
    auto of_own = 0;
    for (auto i = 0; i < 100; ++i)
    {
        auto const it = choose_helper(all, own, random);
        BOOST_REQUIRE(it);
        auto const found =
            std::find_if(all.begin(), all.end(),
                         [&](auto const& each) { return each.id == *it; });
        of_own += found->domain == own ? 1 : 0;
    }
    BOOST_TEST(of_own < 30);
}

BOOST_AUTO_TEST_CASE(that_is_not_excluded)
{
    auto random = random_source{1};
    auto all = candidates(3);
    for (auto& it : all)
    {
        it.excluded = true;
    }
    BOOST_TEST(!choose_helper(all, own, random).has_value());
    BOOST_TEST(!choose_helper({}, own, random).has_value());
    all[2].excluded = false;
    BOOST_TEST((choose_helper(all, own, random) == host_id{"h2"}));
}

BOOST_AUTO_TEST_CASE(with_few_of_its_own_tunnels)
{
    constexpr auto hosts = std::size_t{32};
    constexpr auto tunnels = 160U;
    auto random = random_source{1};
    auto all = candidates(hosts);
    for (auto i = 0U; i < tunnels; ++i)
    {
        auto const id = choose_helper(all, domain_id{"other"}, random);
        BOOST_REQUIRE(id);
        ++std::find_if(all.begin(), all.end(),
                       [&](auto const& it) { return it.id == *id; })
              ->tunnels;
    }
    auto const [least, most] = std::minmax_element(
        all.begin(), all.end(),
        [](auto const& a, auto const& b) { return a.tunnels < b.tunnels; });
    constexpr auto mean = tunnels / hosts;
    BOOST_TEST(most->tunnels <= mean + 2);
    BOOST_TEST(least->tunnels >= 1U);
}

BOOST_AUTO_TEST_CASE(of_two_that_differ_in_tunnels_always_the_less_used)
{
    auto random = random_source{1};
    auto all = candidates(2);
    all[0].tunnels = 1;
    for (auto i = 0; i < 100; ++i)
    {
        BOOST_TEST(
            (choose_helper(all, domain_id{"other"}, random) == host_id{"h1"}));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(leaves_out_a_helper_that_failed)

BOOST_AUTO_TEST_CASE(longer_each_time_up_to_a_bound)
{
    auto const helper = host_id{"h1"};
    auto it = helper_backoff{};
    BOOST_TEST(!it.excluded(helper, at(1000)));
    auto now = at(1000);
    auto length = initial_helper_exclusion;
    for (auto i = 0; i < 6; ++i)
    {
        it.failed(helper, now);
        BOOST_TEST(it.excluded(helper, now + length - 1ms));
        BOOST_TEST(!it.excluded(helper, now + length));
        now += length;
        length = std::min(length * 2, max_helper_exclusion);
    }
    BOOST_TEST((length == max_helper_exclusion));
    BOOST_TEST(!it.excluded(host_id{"h2"}, at(1000)));
}

BOOST_AUTO_TEST_CASE(once_for_tunnels_that_fail_together)
{
    auto const helper = host_id{"h1"};
    auto it = helper_backoff{};
    for (auto ms = 1000; ms < 1010; ++ms)
    {
        it.failed(helper, at(ms));
    }
    BOOST_TEST(!it.excluded(helper, at(1000) + initial_helper_exclusion));
}

BOOST_AUTO_TEST_CASE(until_it_succeeds_or_was_not_needed_for_a_while)
{
    auto const helper = host_id{"h1"};
    auto it = helper_backoff{};
    it.failed(helper, at(1000));
    it.succeeded(helper);
    BOOST_TEST(!it.excluded(helper, at(1001)));
    it.failed(helper, at(1010));
    auto const later = at(1010) + initial_helper_exclusion;
    it.failed(helper, later);
    BOOST_TEST(it.excluded(helper, later + initial_helper_exclusion));
    auto const much_later = later + 2 * max_helper_exclusion;
    it.failed(helper, much_later);
    BOOST_TEST(!it.excluded(helper, much_later + initial_helper_exclusion));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::reachability
