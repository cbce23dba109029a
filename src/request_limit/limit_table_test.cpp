#include "request_limit/limit_table.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace primrosedeal::request_limit
{

namespace
{

auto const target = target_id{"t"};
constexpr auto process = incarnation{7};
constexpr auto later_process = incarnation{8};

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto stated(double limit, std::int64_t sent_ms) -> response
{
    return {target, process, request_rate{limit}, at(sent_ms)};
}

auto unlimited(std::int64_t sent_ms) -> response
{
    return {target, process, {}, at(sent_ms)};
}

auto reported(std::optional<request_rate> limit, std::int64_t observed_ms)
    -> reported_limit
{
    return {target, {process, limit, at(observed_ms)}, {}};
}

auto limit_in_force(limit_table const& it) -> double
{
    auto const state = it.find(target, process);
    return state ? state->limit->value() : -1;
}

constexpr auto none = -1.0;

} // namespace

BOOST_AUTO_TEST_SUITE(a_limit)

BOOST_AUTO_TEST_SUITE(that_a_response_states)

BOOST_AUTO_TEST_CASE(holds_until_a_later_response_states_none)
{
    auto it = limit_table{};
    BOOST_TEST(!it.observe(unlimited(0), at(10)));
    BOOST_TEST(it.empty());
    BOOST_TEST(it.observe(stated(2, 100), at(110)));
    BOOST_TEST(!it.observe(stated(2, 200), at(210)));
    BOOST_TEST(limit_in_force(it) == 2);
    BOOST_TEST(it.observe(unlimited(300), at(310)));
    BOOST_TEST(limit_in_force(it) == none);
}

BOOST_AUTO_TEST_CASE(is_not_ended_by_a_response_that_was_overtaken)
{
    auto it = limit_table{};
    it.observe(stated(2, 100), at(210));
    BOOST_TEST(!it.observe(unlimited(200), at(220)));
    BOOST_TEST(!it.observe(stated(5, 200), at(220)));
    BOOST_TEST(limit_in_force(it) == 2);
}

BOOST_AUTO_TEST_CASE(is_lowered_at_once_and_raised_by_a_later_response)
{
    auto it = limit_table{};
    it.observe(stated(2, 100), at(210));
    BOOST_TEST(it.observe(stated(1, 150), at(220)));
    BOOST_TEST(limit_in_force(it) == 1);
    BOOST_TEST(it.observe(stated(4, 230), at(240)));
    BOOST_TEST(limit_in_force(it) == 4);
}

BOOST_AUTO_TEST_CASE(may_change_with_each_response)
{
    auto it = limit_table{};
    for (auto i = 1; i <= 100; ++i)
    {
        auto const ms = i * 10;
        auto const limit = i % 3;
        it.observe(stated(limit, ms), at(ms + 5));
        BOOST_TEST(limit_in_force(it) == limit);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_another_process)

BOOST_AUTO_TEST_CASE(ends_with_that_process)
{
    auto it = limit_table{};
    it.observe(stated(2, 100), at(110));
    BOOST_TEST(!it.find(target, later_process));
    it.observe({target, later_process, {}, at(200)}, at(210));
    BOOST_TEST(limit_in_force(it) == none);
    // A late response of the earlier process.
    BOOST_TEST(!it.observe(stated(2, 150), at(220)));
    BOOST_TEST(!it.find(target, later_process));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_another_host_reports)

BOOST_AUTO_TEST_CASE(holds_like_an_own_observation)
{
    auto it = limit_table{};
    BOOST_TEST(it.merge(reported(request_rate{2}, 100), at(300)));
    BOOST_TEST(limit_in_force(it) == 2);
    BOOST_TEST(it.merge(reported({}, 200), at(310)));
    BOOST_TEST(limit_in_force(it) == none);
}

BOOST_AUTO_TEST_CASE(does_not_revert_a_newer_one)
{
    auto it = limit_table{};
    it.observe(stated(2, 100), at(110));
    BOOST_TEST(!it.merge(reported({}, 105), at(300)));
    BOOST_TEST(limit_in_force(it) == 2);
    it.observe(unlimited(400), at(410));
    BOOST_TEST(!it.merge(reported(request_rate{2}, 399), at(500)));
    BOOST_TEST(limit_in_force(it) == none);
}

BOOST_AUTO_TEST_CASE(is_passed_on_by_no_other_host)
{
    auto it = limit_table{};
    it.merge(reported(request_rate{2}, 100), at(300));
    BOOST_TEST(it.report(at(300)).empty());
    it.observe(stated(2, 310), at(320));
    BOOST_REQUIRE(it.report(at(400)).size() == 1U);
    BOOST_TEST((it.report(at(400)).front().state.observed_at == at(320)));
}

BOOST_AUTO_TEST_CASE(is_ignored_once_it_is_old)
{
    auto it = limit_table{};
    auto const old = at(0) + report_lifetime + 1ms;
    BOOST_TEST(!it.merge(reported(request_rate{2}, 0), old));
    it.observe(stated(2, 0), at(0));
    BOOST_TEST(it.report(old).empty());
    BOOST_TEST(limit_in_force(it) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_every_response_states)

BOOST_AUTO_TEST_CASE(is_recorded_anew_after_a_period_or_a_change)
{
    auto it = limit_table{5s};
    auto const recorded_at = [&](time_point now)
    {
        return it.report(now).at(0).recorded_at;
    };
    it.observe(stated(2, 0), at(10));
    it.observe(stated(2, 100), at(110));
    BOOST_TEST((recorded_at(at(110)) == at(10)));
    BOOST_TEST((it.report(at(110)).at(0).state.observed_at == at(110)));
    it.merge(reported(request_rate{2}, 200), at(210));
    BOOST_TEST((recorded_at(at(210)) == at(10)));
    it.observe(stated(1, 300), at(310));
    BOOST_TEST((recorded_at(at(310)) == at(310)));
    it.observe(stated(1, 5400), at(5410));
    BOOST_TEST((recorded_at(at(5410)) == at(5410)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_it_has_ended)

BOOST_AUTO_TEST_CASE(is_known_as_ended_for_its_process)
{
    auto it = limit_table{};
    BOOST_TEST(!it.ended(target, process));
    it.observe(stated(2, 0), at(10));
    BOOST_TEST(!it.ended(target, process));
    it.observe(unlimited(20), at(30));
    BOOST_TEST(it.ended(target, process));
    BOOST_TEST(!it.ended(target, later_process));
}

BOOST_AUTO_TEST_CASE(is_forgotten_after_all_reports_of_it)
{
    auto it = limit_table{};
    it.observe(stated(2, 0), at(10));
    it.observe(unlimited(20), at(30));
    it.expire(at(20) + report_lifetime);
    BOOST_TEST(!it.empty());
    it.expire(at(21) + 2 * report_lifetime);
    BOOST_TEST(it.empty());
}

BOOST_AUTO_TEST_CASE(or_its_target_is_gone_nothing_remains)
{
    auto it = limit_table{};
    it.observe(stated(2, 0), at(10));
    it.remove_target(target);
    BOOST_TEST(it.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_many_targets)

BOOST_AUTO_TEST_CASE(takes_bounded_memory_and_space_in_reports)
{
    auto it = limit_table{};
    auto const n = static_cast<int>(max_limits) + 10;
    for (auto i = 0; i < n; ++i)
    {
        it.observe({target_id{"t" + std::to_string(i)}, process,
                    request_rate{1}, at(i)},
                   at(i));
    }
    BOOST_TEST(!it.find(target_id{"t0"}, process));
    auto const report = it.report(at(n));
    BOOST_REQUIRE(report.size() == max_reported_limits);
    BOOST_TEST(report.front().target == target_id{"t" + std::to_string(n - 1)});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::request_limit
