#include "lookup/look_up.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

namespace primrosedeal::lookup
{
namespace
{

auto const stock = service_id{"stock"};
auto const organisation = organisation_id{"hormahan"};
constexpr auto start = time_point{50s};

struct fixture
{
    retry::budget budget{{}};
    look_up it;
    time_point now = start;

    explicit fixture(look_up_settings settings = {})
        : it(settings, stock, organisation, start + 3s, budget)
    {
    }

    auto feed(event const& e) -> actions
    {
        return it.on_event(e, now);
    }
};

template <class Action>
auto only(actions const& all) -> Action
{
    BOOST_REQUIRE_EQUAL(all.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<Action>(all[0]));
    return std::get<Action>(all[0]);
}

auto failure_of(actions const& all) -> failure
{
    BOOST_REQUIRE(!all.empty());
    return std::get<failure>(std::get<finish>(all.back()).result);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_look_up)

BOOST_AUTO_TEST_CASE(retries_at_another_target_after_a_failure)
{
    auto test = fixture{};
    auto const first = only<send>(test.it.start(test.now));
    BOOST_TEST(!first.cause.has_value());
    test.it.note_target(first.attempt, target_id{"t1"});
    auto const second = only<send>(
        test.feed(failed{first.attempt, retry_reason::connection_reset, true}));
    BOOST_TEST((second.tried == std::vector{target_id{"t1"}}));
    BOOST_TEST((second.cause == retry_reason::connection_reset));
    BOOST_TEST(test.feed(answered{first.attempt, 200, "late"}).empty());
    auto const end =
        only<finish>(test.feed(answered{second.attempt, 200, "7 pairs"}));
    BOOST_TEST(std::get<answered>(end.result).body == "7 pairs");
}

BOOST_AUTO_TEST_CASE(cancels_and_retries_a_silent_attempt)
{
    auto test = fixture{};
    test.it.start(test.now);
    test.now = test.it.next_timer().value();
    auto const actions_taken = test.feed(timer_due{});
    BOOST_REQUIRE_EQUAL(actions_taken.size(), 2U);
    BOOST_TEST(std::holds_alternative<cancel>(actions_taken[0]));
    BOOST_TEST(
        (std::get<send>(actions_taken[1]).cause == retry_reason::silence));
}

BOOST_AUTO_TEST_CASE(reports_not_run_only_if_no_byte_was_sent)
{
    for (auto const sent : {false, true})
    {
        auto settings = look_up_settings{};
        settings.max_attempts = 1;
        auto test = fixture{settings};
        test.it.start(test.now);
        auto const error = failure_of(test.feed(
            failed{attempt_id{1}, retry_reason::connection_refused, sent}));
        BOOST_TEST((error.code == reason::target_failed));
        BOOST_TEST(
            (error.ran == (sent ? verdict::may_have_run : verdict::not_run)));
    }
}

BOOST_AUTO_TEST_CASE(ends_at_its_deadline)
{
    auto settings = look_up_settings{};
    settings.attempt_timeout = 60s;
    auto test = fixture{settings};
    test.it.start(test.now);
    test.now = start + 3s;
    auto const error = failure_of(test.feed(timer_due{}));
    BOOST_TEST((error.code == reason::deadline_expired));
    BOOST_TEST((error.ran == verdict::may_have_run));
    BOOST_TEST(!test.it.next_timer().has_value());
}

BOOST_AUTO_TEST_CASE(stops_when_the_retry_budget_is_exhausted)
{
    auto test = fixture{};
    while (test.budget.retry(stock, organisation) == retry::decision::allowed)
    {
    }
    test.it.start(test.now);
    auto const error = failure_of(test.feed(
        failed{attempt_id{1}, retry_reason::connection_refused, false}));
    BOOST_TEST((error.code == reason::retry_budget_exhausted));
    BOOST_TEST((error.ran == verdict::not_run));
}

BOOST_AUTO_TEST_CASE(returns_a_targets_error_when_no_other_target_is_left)
{
    auto test = fixture{};
    test.it.start(test.now);
    test.it.note_target(attempt_id{1}, target_id{"t1"});
    only<send>(test.feed(answered{attempt_id{1}, 503, "busy"}));
    auto const end = only<finish>(test.feed(no_target{attempt_id{2}}));
    BOOST_TEST(std::get<answered>(end.result).status == 503);
}

BOOST_AUTO_TEST_CASE(sends_a_hedge_after_the_configured_delay)
{
    auto settings = look_up_settings{};
    settings.hedge_after = 100ms;
    auto test = fixture{settings};
    test.it.start(test.now);
    test.now += 100ms;
    BOOST_TEST((test.it.next_timer() == test.now));
    auto const hedge = only<send>(test.feed(timer_due{}));
    BOOST_TEST((hedge.cause == retry_reason::early_second_attempt));
    auto const end = test.feed(answered{hedge.attempt, 200, "7 pairs"});
    BOOST_REQUIRE_EQUAL(end.size(), 2U);
    BOOST_TEST(std::holds_alternative<cancel>(end[0]));
}

BOOST_AUTO_TEST_CASE(keeps_its_bounds_under_any_sequence_of_events)
{
    BOOST_TEST(rc::check(
        "bounds of a look-up",
        []
        {
            auto settings = look_up_settings{};
            settings.max_attempts = *rc::gen::inRange(1U, 5U);
            if (*rc::gen::arbitrary<bool>())
            {
                settings.hedge_after = 50ms;
            }
            auto test = fixture{settings};
            auto ends = 0;
            auto sends = std::uint32_t{0};
            auto chosen_targets = std::set<target_id>{};
            auto const perform = [&](actions const& all)
            {
                for (auto const& each : all)
                {
                    ends += std::holds_alternative<finish>(each) ? 1 : 0;
                    if (auto const* const it = std::get_if<send>(&each))
                    {
                        ++sends;
                        RC_ASSERT(ends == 0);
                        RC_ASSERT(it->tried.size() + 2 >= sends);
                        auto const to = target_id{std::to_string(sends)};
                        RC_ASSERT(chosen_targets.insert(to).second);
                        test.it.note_target(it->attempt, to);
                    }
                }
            };
            perform(test.it.start(test.now));
            for (auto steps = 0; steps < 40; ++steps)
            {
                test.now += duration{*rc::gen::inRange(0, 400'000)};
                auto const id = attempt_id{*rc::gen::inRange(1U, 6U)};
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    perform(test.feed(failed{id, {}, true}));
                    break;
                case 1:
                    perform(test.feed(answered{id, 503, ""}));
                    break;
                case 2:
                    perform(test.feed(no_target{id}));
                    break;
                default:
                    perform(test.feed(timer_due{}));
                }
            }
            test.now = start + 3s;
            perform(test.feed(timer_due{}));
            RC_ASSERT(ends == 1);
            RC_ASSERT(sends <= settings.max_attempts);
        }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::lookup
