#include "reachability/direct_path.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

namespace primrosedeal::reachability
{

namespace
{

using enum connection_result;

auto const fitting = service_id{"fitting"};
auto const lookup = service_id{"lookup"};
constexpr auto usable_targets = std::size_t{12};
constexpr auto target_domains = 4;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

/// Outcomes of connections to target `n`, which is in domain `n` modulo four.
class story
{
public:
    auto ends(int n, connection_result how, int begun_ms, int now_ms)
        -> std::optional<path_change>
    {
        return path.observe(service, target_id{"t" + std::to_string(n)},
                            domain_id{"d" + std::to_string(n % target_domains)},
                            how, at(begun_ms), usable, others_reach,
                            at(now_ms));
    }

    auto lost() const -> bool
    {
        return path.lost(service);
    }

    direct_path path{};
    service_id service = fitting;
    std::size_t usable = usable_targets;
    bool others_reach = true;
};

auto lose(story& it, int now_ms) -> path_lost
{
    it.ends(0, refused, now_ms - 3, now_ms - 2);
    it.ends(2, refused, now_ms - 2, now_ms - 1);
    auto const change = it.ends(1, refused, now_ms - 1, now_ms);
    BOOST_REQUIRE(change);
    return std::get<path_lost>(*change);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_whose_connections_to_targets_fail)

BOOST_AUTO_TEST_SUITE(while_others_reach_them)

BOOST_AUTO_TEST_CASE(finds_its_path_lost_by_resets_within_milliseconds)
{
    auto it = story{};
    BOOST_TEST(!it.ends(0, refused, 100, 102).has_value());
    BOOST_TEST(!it.ends(3, refused, 102, 103).has_value());
    BOOST_TEST(!it.ends(0, refused, 103, 104).has_value());
    auto const change = it.ends(1, refused, 102, 105);
    BOOST_REQUIRE(change);
    auto const& found = std::get<path_lost>(*change);
    BOOST_TEST(found.service == fitting);
    BOOST_TEST(found.evidence.size() == 3U);
    BOOST_TEST(found.evidence.front().first == target_id{"t0"});
    BOOST_TEST(found.evidence.front().second == domain_id{"d0"});
    BOOST_TEST((found.span == 3ms));
    BOOST_TEST(it.lost());
    BOOST_TEST((it.path.unreachable_services() == std::vector{fitting}));
    // The state is reported once.
    BOOST_TEST(!it.ends(2, refused, 105, 107).has_value());
}

BOOST_AUTO_TEST_CASE(finds_it_by_connections_that_hang)
{
    auto it = story{};
    BOOST_TEST(!it.ends(0, timed_out, 100, 350).has_value());
    BOOST_TEST(!it.ends(1, timed_out, 350, 600).has_value());
    BOOST_TEST(it.ends(2, timed_out, 600, 850).has_value());
    BOOST_TEST(it.lost());
}

BOOST_AUTO_TEST_CASE(finds_it_for_a_service_with_one_or_two_targets)
{
    auto it = story{};
    it.usable = 1;
    BOOST_TEST(it.ends(0, refused, 100, 102).has_value());
    it.service = lookup;
    it.usable = 2;
    BOOST_TEST(!it.ends(0, refused, 100, 102).has_value());
    BOOST_TEST(it.ends(1, refused, 102, 104).has_value());
}

BOOST_AUTO_TEST_CASE(finds_it_for_the_services_concerned_only)
{
    auto it = story{};
    lose(it, 100);
    it.service = lookup;
    BOOST_TEST(!it.ends(0, accepted, 100, 101).has_value());
    BOOST_TEST(!it.path.lost(lookup));
    BOOST_TEST(it.path.lost(fitting));
}

BOOST_AUTO_TEST_CASE(does_not_conclude_it_from_one_target)
{
    auto it = story{};
    for (auto ms = 100; ms < 200; ms += 10)
    {
        BOOST_TEST(!it.ends(0, refused, ms, ms + 2).has_value());
    }
}

BOOST_AUTO_TEST_CASE(does_not_conclude_it_soon_from_one_domain)
{
    auto it = story{};
    BOOST_TEST(!it.ends(0, refused, 100, 101).has_value());
    BOOST_TEST(!it.ends(4, refused, 101, 102).has_value());
    BOOST_TEST(!it.ends(8, refused, 102, 103).has_value());
    BOOST_TEST(!it.lost());
    BOOST_TEST(it.ends(12, refused, 103, 104).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_count_failures_across_an_accepted_connection)
{
    auto it = story{};
    it.ends(0, timed_out, 100, 350);
    it.ends(2, accepted, 349, 351);
    // Begun before the other connection was accepted.
    BOOST_TEST(!it.ends(1, timed_out, 200, 450).has_value());
    BOOST_TEST(!it.ends(3, timed_out, 352, 602).has_value());
    BOOST_TEST(!it.ends(2, timed_out, 352, 602).has_value());
    BOOST_TEST(!it.lost());
    BOOST_TEST(it.ends(1, timed_out, 352, 602).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_count_failures_that_are_far_apart)
{
    auto it = story{};
    it.ends(0, refused, 100, 102);
    it.ends(2, refused, 4000, 4002);
    BOOST_TEST(!it.ends(1, refused, 4200, 4202).has_value());
    BOOST_TEST(it.ends(3, refused, 4202, 4204).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(as_those_of_all_others_do)

BOOST_AUTO_TEST_CASE(takes_the_targets_for_lost)
{
    auto it = story{};
    it.others_reach = false;
    for (auto n = 0; n < static_cast<int>(usable_targets); ++n)
    {
        BOOST_TEST(!it.ends(n, refused, 100 + n, 101 + n).has_value());
    }
    BOOST_TEST(!it.lost());
    BOOST_TEST(!it.path.explains_failure(fitting, at(100)));
    // Failures before another host reports that it reaches them count.
    it.others_reach = true;
    BOOST_TEST(it.ends(0, refused, 200, 201).has_value());
}

// Otherwise all others ask the last host that finds out.
BOOST_AUTO_TEST_CASE(reports_it_although_no_other_is_left_that_reaches_them)
{
    auto it = story{};
    it.others_reach = false;
    it.ends(0, refused, 100, 101);
    it.ends(1, refused, 101, 102);
    BOOST_TEST(!it.path.unreachable(fitting));
    it.ends(2, refused, 102, 103);
    BOOST_TEST(it.path.unreachable(fitting));
    BOOST_TEST((it.path.unreachable_services() == std::vector{fitting}));
    BOOST_TEST(!it.path.probe_due(fitting, at(502)));
    BOOST_TEST(it.path.probe_due(fitting, at(503)));
    BOOST_TEST(!it.ends(0, accepted, 600, 601).has_value());
    BOOST_TEST(it.path.unreachable_services().empty());
    BOOST_TEST(!it.path.probe_due(fitting, at(5000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(and_are_accepted_again)

BOOST_AUTO_TEST_CASE(uses_its_path_at_once)
{
    auto it = story{};
    lose(it, 100);
    auto const change = it.ends(5, accepted, 1500, 1502);
    BOOST_REQUIRE(change);
    auto const& found = std::get<path_restored>(*change);
    BOOST_TEST(found.service == fitting);
    BOOST_TEST((found.span == 1404ms));
    BOOST_TEST(!it.lost());
    BOOST_TEST(it.path.unreachable_services().empty());
}

BOOST_AUTO_TEST_CASE(holds_late_time_outs_against_no_target)
{
    auto it = story{};
    lose(it, 100);
    BOOST_TEST(it.path.explains_failure(fitting, at(400)));
    it.ends(5, accepted, 500, 502);
    BOOST_TEST(it.path.explains_failure(fitting, at(400)));
    BOOST_TEST(!it.ends(6, timed_out, 400, 650).has_value());
    BOOST_TEST(!it.ends(7, timed_out, 450, 700).has_value());
    BOOST_TEST(!it.lost());
    BOOST_TEST(!it.path.explains_failure(fitting, at(503)));
    BOOST_TEST(!it.path.explains_failure(lookup, at(400)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(probes_them_directly)

BOOST_AUTO_TEST_CASE(less_often_up_to_a_bound)
{
    auto it = story{};
    BOOST_TEST(!it.path.probe_due(fitting, at(100)));
    lose(it, 100);
    auto times = std::vector<int>{};
    for (auto ms = 100; ms < 5100; ms += 10)
    {
        if (it.path.probe_due(fitting, at(ms)))
        {
            times.push_back(ms);
        }
    }
    auto const expected = std::vector{500, 1100, 2000, 3000, 4000, 5000};
    BOOST_TEST(times == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(at_times_that_differ_from_other_hosts)
{
    auto random = random_source{1};
    auto shortest = duration::max();
    auto longest = duration{};
    for (auto i = 0; i < 100; ++i)
    {
        auto const it = probe_jitter(random);
        shortest = std::min(shortest, it);
        longest = std::max(longest, it);
    }
    BOOST_TEST((shortest < 20ms));
    BOOST_TEST((longest > 120ms));
    BOOST_TEST((longest < 150ms));
}

BOOST_AUTO_TEST_CASE(no_more_after_one_is_accepted)
{
    auto it = story{};
    lose(it, 100);
    it.ends(0, accepted, 500, 502);
    BOOST_TEST(!it.path.probe_due(fitting, at(2000)));
    lose(it, 2100);
    it.path.remove_service(fitting);
    BOOST_TEST(!it.path.probe_due(fitting, at(5000)));
    BOOST_TEST(!it.lost());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::reachability
