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

struct counter
{
    retry::budget budget{{}};
    look_up it;
    time_point now = start;

    explicit counter(look_up_settings settings = {})
        : it(settings, stock, organisation, start + 3s, budget)
    {
    }

    auto tell(event const& what) -> actions
    {
        return it.on_event(what, now);
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

BOOST_AUTO_TEST_CASE(goes_to_another_target_after_a_failure)
{
    auto shop = counter{};
    auto const first = only<send>(shop.it.start(shop.now));
    BOOST_TEST(!first.because.has_value());
    shop.it.note_target(first.attempt, target_id{"t1"});
    auto const second = only<send>(
        shop.tell(failed{first.attempt, retry_reason::connection_reset, true}));
    BOOST_TEST((second.tried == std::vector{target_id{"t1"}}));
    BOOST_TEST((second.because == retry_reason::connection_reset));
    BOOST_TEST(shop.tell(answered{first.attempt, 200, "late"}).empty());
    auto const end =
        only<finish>(shop.tell(answered{second.attempt, 200, "7 pairs"}));
    BOOST_TEST(std::get<answered>(end.result).body == "7 pairs");
}

BOOST_AUTO_TEST_CASE(gives_up_a_silent_attempt)
{
    auto shop = counter{};
    shop.it.start(shop.now);
    shop.now = shop.it.next_timer().value();
    auto const then = shop.tell(timer_due{});
    BOOST_REQUIRE_EQUAL(then.size(), 2U);
    BOOST_TEST(std::holds_alternative<cancel>(then[0]));
    BOOST_TEST((std::get<send>(then[1]).because == retry_reason::silence));
}

BOOST_AUTO_TEST_CASE(is_not_run_only_if_not_a_byte_left)
{
    for (auto const sent : {false, true})
    {
        auto settings = look_up_settings{};
        settings.max_attempts = 1;
        auto shop = counter{settings};
        shop.it.start(shop.now);
        auto const told = failure_of(shop.tell(
            failed{attempt_id{1}, retry_reason::connection_refused, sent}));
        BOOST_TEST((told.code == reason::target_failed));
        BOOST_TEST(
            (told.ran == (sent ? verdict::may_have_run : verdict::not_run)));
    }
}

BOOST_AUTO_TEST_CASE(ends_at_its_deadline)
{
    auto settings = look_up_settings{};
    settings.attempt_timeout = 60s;
    auto shop = counter{settings};
    shop.it.start(shop.now);
    shop.now = start + 3s;
    auto const told = failure_of(shop.tell(timer_due{}));
    BOOST_TEST((told.code == reason::deadline_expired));
    BOOST_TEST((told.ran == verdict::may_have_run));
    BOOST_TEST(!shop.it.next_timer().has_value());
}

BOOST_AUTO_TEST_CASE(stops_when_the_budget_is_spent)
{
    auto shop = counter{};
    while (shop.budget.retry(stock, organisation) == retry::decision::allowed)
    {
    }
    shop.it.start(shop.now);
    auto const told = failure_of(shop.tell(
        failed{attempt_id{1}, retry_reason::connection_refused, false}));
    BOOST_TEST((told.code == reason::retry_budget_exhausted));
    BOOST_TEST((told.ran == verdict::not_run));
}

BOOST_AUTO_TEST_CASE(hands_on_a_targets_own_error_when_no_other_is_left)
{
    auto shop = counter{};
    shop.it.start(shop.now);
    shop.it.note_target(attempt_id{1}, target_id{"t1"});
    only<send>(shop.tell(answered{attempt_id{1}, 503, "busy"}));
    auto const end = only<finish>(shop.tell(no_target{attempt_id{2}}));
    BOOST_TEST(std::get<answered>(end.result).status == 503);
}

BOOST_AUTO_TEST_CASE(hedges_only_if_told_to)
{
    auto settings = look_up_settings{};
    settings.hedge_after = 100ms;
    auto shop = counter{settings};
    shop.it.start(shop.now);
    shop.now += 100ms;
    BOOST_TEST((shop.it.next_timer() == shop.now));
    auto const hedge = only<send>(shop.tell(timer_due{}));
    BOOST_TEST((hedge.because == retry_reason::early_second_attempt));
    auto const end = shop.tell(answered{hedge.attempt, 200, "7 pairs"});
    BOOST_REQUIRE_EQUAL(end.size(), 2U);
    BOOST_TEST(std::holds_alternative<cancel>(end[0]));
}

BOOST_AUTO_TEST_CASE(keeps_its_bounds_whatever_happens)
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
            auto shop = counter{settings};
            auto ends = 0;
            auto sends = std::uint32_t{0};
            auto asked = std::set<target_id>{};
            auto const carry_out = [&](actions const& all)
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
                        RC_ASSERT(asked.insert(to).second);
                        shop.it.note_target(it->attempt, to);
                    }
                }
            };
            carry_out(shop.it.start(shop.now));
            for (auto steps = 0; steps < 40; ++steps)
            {
                shop.now += duration{*rc::gen::inRange(0, 400'000)};
                auto const id = attempt_id{*rc::gen::inRange(1U, 6U)};
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    carry_out(shop.tell(failed{id, {}, true}));
                    break;
                case 1:
                    carry_out(shop.tell(answered{id, 503, ""}));
                    break;
                case 2:
                    carry_out(shop.tell(no_target{id}));
                    break;
                default:
                    carry_out(shop.tell(timer_due{}));
                }
            }
            shop.now = start + 3s;
            carry_out(shop.tell(timer_due{}));
            RC_ASSERT(ends == 1);
            RC_ASSERT(sends <= settings.max_attempts);
        }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::lookup
