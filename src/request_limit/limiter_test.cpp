#include "request_limit/limiter.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace primrosedeal::request_limit
{

namespace
{

constexpr auto process = incarnation{1};

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto make_targets(std::size_t n) -> std::vector<directory::listed_target>
{
    auto out = std::vector<directory::listed_target>(n);
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        out[i].id = target_id{"t" + std::to_string(i)};
        out[i].process_start = process;
    }
    return out;
}

auto const targets = make_targets(4);
auto const& limited_target = targets.front().id;

auto limited_to(double limit, std::int64_t ms) -> limit_table
{
    auto out = limit_table{};
    out.observe({limited_target, process, request_rate{limit}, at(ms)}, at(ms));
    return out;
}

constexpr auto alone = host_group{0, 1, 1};

/// Requests that one host sends if it tries every 10 ms.
auto sent_by_one(limit_table const& limits, host_group const& hosts,
                 std::int64_t from, std::int64_t to) -> int
{
    auto out = 0;
    auto it = limiter{};
    for (auto ms = from; ms < to; ms += 10)
    {
        it.update(limits, targets, hosts, at(ms));
        if (it.permits(limited_target, at(ms)))
        {
            it.sent(limited_target, at(ms));
            ++out;
        }
    }
    return out;
}

/// Shares of a limit over `live` of `known` hosts.
auto shares(double limit, std::size_t live, std::size_t known,
            target_place const& place, time_point now) -> std::vector<double>
{
    auto out = std::vector<double>{};
    auto const state = limit_state{process, request_rate{limit}, at(0)};
    for (auto i = std::size_t{0}; i < live; ++i)
    {
        out.push_back(share_of(state, place, {i, live, known}, now).value());
    }
    return out;
}

auto sum(std::vector<double> const& all) -> double
{
    auto out = 0.0;
    for (auto const it : all)
    {
        out += it;
    }
    return out;
}

auto holders(std::vector<double> const& all) -> std::ptrdiff_t
{
    return std::count_if(all.begin(), all.end(),
                         [](auto const it) { return it > 0; });
}

constexpr auto tolerance = 1e-6;

} // namespace

BOOST_AUTO_TEST_SUITE(a_limit)

BOOST_AUTO_TEST_SUITE(at_one_host)

BOOST_AUTO_TEST_CASE(permits_its_rate_and_nothing_at_the_beginning)
{
    auto const limits = limited_to(2, 1000);
    BOOST_TEST(sent_by_one(limits, alone, 1000, 1490) == 0);
    BOOST_TEST(sent_by_one(limits, alone, 1000, 5000) == 7);
}

BOOST_AUTO_TEST_CASE(saves_up_no_more_than_one_request_if_it_is_low)
{
    auto const limits = limited_to(2, 0);
    auto it = limiter{};
    it.update(limits, targets, alone, at(0));
    it.update(limits, targets, alone, at(60000));
    BOOST_TEST(it.permits(limited_target, at(60000)));
    it.sent(limited_target, at(60000));
    BOOST_TEST(!it.permits(limited_target, at(60000)));
}

BOOST_AUTO_TEST_CASE(leaves_other_targets_alone)
{
    auto it = limiter{};
    it.update(limited_to(2, 0), targets, alone, at(0));
    BOOST_TEST(!it.permits(limited_target, at(0)));
    BOOST_TEST(!it.limited(targets.back().id));
    BOOST_TEST(it.permits(targets.back().id, at(0)));
}

BOOST_AUTO_TEST_CASE(ends_with_the_targets_process)
{
    auto it = limiter{};
    auto const limits = limited_to(2, 0);
    it.update(limits, targets, alone, at(0));
    auto restarted = targets;
    restarted.front().process_start = incarnation{process.value() + 1};
    it.update(limits, restarted, alone, at(10));
    BOOST_TEST(it.permits(limited_target, at(10)));
}

BOOST_AUTO_TEST_CASE(that_is_extreme_leaves_the_target_observed_and_in_use)
{
    for (auto const limit : {0.0, 1e-9})
    {
        auto const n = sent_by_one(limited_to(limit, 0), alone, 0, 60000);
        BOOST_TEST(n >= 4);
        BOOST_TEST(n <= 6);
    }
    BOOST_TEST(sent_by_one(limited_to(1e9, 0), alone, 0, 1000) >= 99);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(divided_among_hosts)

BOOST_AUTO_TEST_CASE(is_used_whole_by_as_many_as_it_has_requests_a_second)
{
    for (auto const hosts : {std::size_t{8}, std::size_t{69}, std::size_t{360}})
    {
        for (auto const limit : {0.5, 1.8, 2.6, 7.0, 50.0})
        {
            auto const all = shares(limit, hosts, hosts, {0, 4}, at(0));
            BOOST_TEST(std::abs(sum(all) - limit) < tolerance);
            auto const most =
                std::min(std::max(limit, 1.0), static_cast<double>(hosts));
            BOOST_TEST(holders(all) == static_cast<int>(most));
        }
    }
}

BOOST_AUTO_TEST_CASE(leaves_the_unreachable_hosts_their_part)
{
    constexpr auto known = std::size_t{8};
    constexpr auto limit = 6.0;
    auto const one_side = sum(shares(limit, 2, known, {0, 4}, at(0)));
    auto const other_side = sum(shares(limit, 6, known, {0, 4}, at(0)));
    BOOST_TEST(std::abs(one_side + other_side - limit) < tolerance);
    // A host that has just started observes no other one.
    BOOST_TEST(sum(shares(limit, 1, known, {0, 4}, at(0))) < 1);
}

BOOST_AUTO_TEST_CASE(gives_every_host_a_share_of_some_target_if_all_have_one)
{
    constexpr auto hosts = std::size_t{8};
    auto covered = std::vector<double>(hosts);
    for (auto i = std::size_t{0}; i < targets.size(); ++i)
    {
        auto const each = shares(2, hosts, hosts, {i, targets.size()}, at(0));
        for (auto j = std::size_t{0}; j < hosts; ++j)
        {
            covered[j] += each[j];
        }
    }
    BOOST_TEST(holders(covered) == static_cast<int>(hosts));
}

BOOST_AUTO_TEST_CASE(moves_on_to_other_hosts_while_nothing_is_observed)
{
    constexpr auto hosts = std::size_t{8};
    auto covered = std::vector<double>(hosts);
    for (auto s = std::int64_t{0}; s < 60; s += 5)
    {
        auto const each = shares(2, hosts, hosts, {0, 4}, at(s * 1000));
        BOOST_TEST(std::abs(sum(each) - 2) < tolerance);
        for (auto j = std::size_t{0}; j < hosts; ++j)
        {
            covered[j] += each[j];
        }
    }
    BOOST_TEST(holders(covered) == static_cast<int>(hosts));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_refuses_a_request)

BOOST_AUTO_TEST_CASE(says_when_it_may_come_again_and_spreads_the_returns)
{
    auto it = limiter{};
    it.update(limited_to(2, 0), targets, alone, at(0));
    auto random = random_source{1};
    auto least = duration::max();
    auto most = duration{};
    for (auto i = 0; i < 100; ++i)
    {
        auto const after = retry_after(it, targets, random, at(0));
        BOOST_REQUIRE(after);
        least = std::min(least, *after);
        most = std::max(most, *after);
    }
    BOOST_TEST((least >= 500ms));
    BOOST_TEST((least < 550ms));
    BOOST_TEST((most > 900ms));
    BOOST_TEST((most <= 1s));
}

BOOST_AUTO_TEST_CASE(is_not_the_reason_if_a_request_is_permitted)
{
    auto it = limiter{};
    it.update(limited_to(2, 0), targets, alone, at(0));
    it.update(limited_to(2, 0), targets, alone, at(1000));
    auto random = random_source{1};
    BOOST_TEST(!retry_after(it, targets, random, at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::request_limit
