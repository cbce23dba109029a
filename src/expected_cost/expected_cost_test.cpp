#include "dispatch/placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <optional>
#include <vector>

namespace primrosedeal::expected_cost
{

namespace
{

auto const route = cost_key{"h/stream/", organisation_id{"a"}};
auto const other_route = cost_key{"h/stream/", organisation_id{"b"}};

auto stated(std::uint64_t maximum, std::optional<std::uint64_t> hint)
    -> stated_output
{
    return {token_count{maximum},
            hint ? std::optional{token_count{*hint}} : std::nullopt};
}

auto const id = target_id{"t"};
auto const first_process = process{id, incarnation{1}};

auto listed(std::string const& name, std::string const& domain)
    -> directory::listed_target
{
    auto out = directory::listed_target{};
    out.id = target_id{name};
    out.domain = domain_id{domain};
    out.slots = 16;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_expected_output)

BOOST_AUTO_TEST_CASE(follows_hints_that_were_accurate)
{
    auto model = cost_model{};
    for (auto i = 0U; i < 50; ++i)
    {
        auto const events = i % 5 == 0 ? 1000U : 100U;
        model.observe(route, stated(6000, 6 * events), events);
    }
    BOOST_TEST(model.expected(route, stated(6000, 6000)) >
               5 * model.expected(route, stated(6000, 600)));
}

// A client whose hints are ten times off must not place others' requests.
BOOST_AUTO_TEST_CASE(ignores_hints_that_are_often_off_and_only_there)
{
    auto model = cost_model{};
    auto random = random_source{1};
    for (auto i = 0; i < 100; ++i)
    {
        model.observe(route, stated(1200, 600), 100);
        model.observe(other_route, stated(1200, 6 + random.below(12000)), 100);
    }
    auto const usual = model.expected(other_route, stated(1200, {}));
    BOOST_TEST(model.expected(other_route, stated(1200, 10)) == usual);
    BOOST_TEST(model.expected(other_route, stated(1200, 1200)) == usual);
    BOOST_TEST(model.expected(route, stated(1200, 600)) <
               1.5 * model.expected(route, stated(1200, {})));
}

BOOST_AUTO_TEST_CASE(is_never_above_the_stated_maximum)
{
    BOOST_TEST(rc::check(
        [](std::vector<std::uint16_t> const& events, std::uint32_t hint,
           std::uint16_t maximum)
        {
            auto model = cost_model{};
            for (auto const it : events)
            {
                model.observe(route, stated(maximum, hint), it);
            }
            auto const it = stated(std::max<std::uint16_t>(maximum, 1), hint);
            auto const most = static_cast<double>(it.maximum.value());
            RC_ASSERT(model.expected(route, it) >= 1);
            RC_ASSERT(model.expected(route, it) <= most);
            RC_ASSERT(model.quantile(route, it, 0.1) <=
                      model.quantile(route, it, 0.9));
        }));
}

BOOST_AUTO_TEST_CASE(is_remembered_for_a_bounded_number_of_keys)
{
    auto model = cost_model{};
    for (auto i = 0; i < 1000; ++i)
    {
        auto const key = cost_key{"r", organisation_id{std::to_string(i)}};
        model.observe(key, stated(1200, 600), 100);
    }
    BOOST_TEST(model.size() == max_keys);
}

BOOST_AUTO_TEST_CASE(counts_the_tokens_of_an_event)
{
    auto model = cost_model{};
    for (auto i = 0U; i < 100; ++i)
    {
        // One answer in four reaches its maximum; an event holds 3 tokens.
        model.observe(route, stated(900, {}), i % 4 == 0 ? 300 : 100 + i);
    }
    BOOST_TEST(model.tokens_per_event() > 2);
    BOOST_TEST(model.tokens_per_event() < 4.5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_speed_of_a_target)

BOOST_AUTO_TEST_CASE(is_learned_from_noisy_times)
{
    for (auto const speed : {0.6, 1.0, 1.6})
    {
        auto speeds = target_speeds{};
        auto random = random_source{5};
        auto now = time_point{};
        for (auto i = 0; i < 40; ++i)
        {
            now += 200ms;
            auto const noise = std::exp(random.unit() - 0.5);
            speeds.observe_events(
                first_process,
                duration{static_cast<int>(30000 * noise / speed)}, 3, now);
            // The usual value comes from other targets too.
            auto const other = target_id{"o" + std::to_string(i % 8)};
            speeds.observe_events({other, incarnation{1}}, 30ms, 3, now);
        }
        BOOST_TEST(speeds.speed(first_process, now) > 0.75 * speed);
        BOOST_TEST(speeds.speed(first_process, now) < 1.33 * speed);
    }
}

BOOST_AUTO_TEST_CASE(is_noticed_within_a_second_if_it_falls)
{
    auto speeds = target_speeds{};
    auto now = time_point{};
    for (auto i = 0; i < 100; ++i)
    {
        now += 120ms;
        speeds.observe_events(first_process, 30ms, 3, now);
    }
    // Four times slower: four events of one stream take 480 ms.
    for (auto i = 0; i < 2; ++i)
    {
        now += 480ms;
        speeds.observe_events(first_process, 120ms, 3, now);
    }
    BOOST_TEST(speeds.speed(first_process, now) < 0.5);
}

BOOST_AUTO_TEST_CASE(is_forgotten_with_its_process)
{
    auto speeds = target_speeds{};
    auto const now = time_point{1s};
    for (auto i = 0; i < 20; ++i)
    {
        speeds.observe_events(first_process, 100ms, 3, now);
    }
    BOOST_TEST(speeds.speed(first_process, now) < 0.8);
    BOOST_TEST(speeds.speed({id, incarnation{2}}, now) == 1);
    speeds.remove(id);
    BOOST_TEST(speeds.size() == 0U);
}

// An estimate that is not finite would take a target out for good.
BOOST_AUTO_TEST_CASE(stays_in_its_bounds_for_any_times)
{
    BOOST_TEST(rc::check(
        [](std::vector<std::int32_t> const& times)
        {
            auto speeds = target_speeds{};
            auto now = time_point{};
            for (auto const it : times)
            {
                now += 10ms;
                speeds.observe_events(first_process, duration{it}, 1, now);
                speeds.observe_prefill(
                    first_process, {5000, duration{it}, observer::own}, now);
                auto const speed = speeds.speed(first_process, now);
                RC_ASSERT(speed > 0.05);
                RC_ASSERT(speed < 20);
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_work_left)

// Requests that count in full until they end make a target that has nearly
// finished look busy.
BOOST_AUTO_TEST_CASE(shrinks_while_a_prompt_is_prefilled)
{
    auto work = work_left{};
    auto const pending = pending_tokens{5000, 0};
    work.sent(id, 5000, 0, time_point{});
    auto const at = [&](duration after)
    {
        return work.prefill_left(id, pending, 5000, 200, time_point{after});
    };
    BOOST_TEST(at(0s) == 5000);
    BOOST_TEST(at(500ms) == 2500);
    BOOST_TEST(at(10s) > 0);
    BOOST_TEST(at(10s) <= 1000);
}

BOOST_AUTO_TEST_CASE(of_other_hosts_shrinks_from_the_digest_that_shows_it)
{
    auto work = work_left{};
    auto const from = host_id{"h"};
    work.digest_changed(from, id, 0, 5000, 0, time_point{1s});
    BOOST_TEST(work.prefill_left(id, {0, 5000}, 5000, 200,
                                 time_point{1500ms}) == 2500);
    auto const seen = work.digest_changed(from, id, 5000, 0, 0, time_point{2s});
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST((seen->took == 1s));
    BOOST_TEST(seen->tokens == 5000);
}

BOOST_AUTO_TEST_CASE(that_is_overdue_bounds_the_speed)
{
    auto work = work_left{};
    auto const expected = expectation{1, 5000, 200, 30ms, 100ms};
    work.sent(id, 5000, 0, time_point{});
    BOOST_TEST(!work.speed_bound(id, expected, time_point{1500ms}));
    BOOST_TEST(work.speed_bound(id, expected, time_point{4s}).value_or(1) <=
               0.25);
    work.first_event(id, 840, time_point{4s});
    BOOST_TEST(!work.speed_bound(id, expected, time_point{4100ms}));
    BOOST_TEST(work.speed_bound(id, expected, time_point{5s}).value_or(1) <
               0.2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_choice)

namespace
{

auto prompt_to_place() -> work_to_place
{
    return {5000, 840, 4500ms, 200, 5000, 7500, 0};
}

auto share_of(std::vector<candidate> const& candidates, work_to_place const& it,
              std::size_t of) -> double
{
    auto random = random_source{1};
    auto chosen = 0;
    constexpr auto draws = 2000;
    for (auto i = 0; i < draws; ++i)
    {
        chosen += choose(candidates, it, random) == of ? 1 : 0;
    }
    return static_cast<double>(chosen) / draws;
}

} // namespace

BOOST_AUTO_TEST_CASE(prefers_the_target_that_is_done_first)
{
    // A fast target with some work is earlier than an idle slow one.
    auto const it = std::vector{candidate{2000, 0, 16, 1.6, false},
                                candidate{0, 0, 16, 0.6, false}};
    BOOST_TEST(share_of(it, prompt_to_place(), 0) > 0.99);
}

// Hosts with the same late view that choose the same target overload it.
BOOST_AUTO_TEST_CASE(spreads_what_other_hosts_may_have_sent)
{
    auto it = std::vector<candidate>(40, {0, 0, 16, 1, false});
    it.front().speed = 1.1;
    auto work = prompt_to_place();
    work.unseen_tokens = 30 * work.prompt;
    BOOST_TEST(share_of(it, work, 0) < 0.15);
}

BOOST_AUTO_TEST_CASE(stays_in_the_own_domain_until_that_is_clearly_later)
{
    auto const work = prompt_to_place();
    BOOST_TEST(share_of({{0, 0, 16, 1, false}, {0, 0, 16, 1, true}}, work, 1) <
               0.3);
    BOOST_TEST(share_of({{5000, 0, 16, 1, false}, {0, 0, 16, 1, true}}, work,
                        1) > 0.99);
}

BOOST_AUTO_TEST_CASE(crosses_for_nothing_if_the_own_domain_is_loaded)
{
    auto const price = [](double own, double others, duration left)
    {
        auto work = prompt_to_place();
        work.objective_left = left;
        return crossing_price(std::vector{candidate{0, own, 16, 1, false},
                                          candidate{0, others, 16, 1, true}},
                              work);
    };
    BOOST_TEST((price(4, 4, 4500ms) == crossing_time));
    BOOST_TEST((price(8, 4, 4500ms) == 0s));
    BOOST_TEST((price(15, 15, 4500ms) == 0s));
    BOOST_TEST((price(4, 4, 500ms) == 0s));
}

BOOST_AUTO_TEST_CASE(is_one_of_the_candidates)
{
    BOOST_TEST(rc::check(
        [](std::vector<std::uint16_t> const& loads, std::uint32_t unseen)
        {
            RC_PRE(!loads.empty());
            auto it = std::vector<candidate>{};
            for (auto const load : loads)
            {
                it.push_back({static_cast<double>(load),
                              static_cast<double>(load % 20), 16,
                              0.1 + load % 30 / 10.0, load % 2 == 0});
            }
            auto work = prompt_to_place();
            work.unseen_tokens = unseen;
            auto random = random_source{unseen};
            RC_ASSERT(choose(it, work, random) < it.size());
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_copy_of_a_run)

// Hosts in a partitioned domain lost runs outside and then their copies, which
// were outside too.
BOOST_AUTO_TEST_CASE(in_another_domain_is_in_the_own_one)
{
    auto targets = std::vector<directory::listed_target>{};
    for (auto const* const domain : {"a", "b", "c"})
    {
        targets.push_back(listed(std::string{domain} + "1", domain));
        targets.push_back(listed(std::string{domain} + "2", domain));
    }
    auto const detector = dispatch::failure_detector{};
    auto const loads = dispatch::load_tracker{};
    auto const others = fleet::fleet_view{};
    auto const limits = request_limit::limiter{};
    auto const gate = rejection_limit::gate{};
    auto random = random_source{1};
    auto request = dispatch::placement_request{};
    request.size = {token_count{5000}, token_count{840}};
    request.own_domain = domain_id{"a"};
    auto const view = dispatch::placement_view{targets, detector, loads,
                                               others,  limits,   gate};
    auto const copy_of = [&](directory::listed_target const& run)
    {
        return dispatch::place_copy(view, request, run, {}, random)->domain;
    };
    for (auto i = 0; i < 50; ++i)
    {
        BOOST_TEST(copy_of(targets[2]) == domain_id{"a"});
        BOOST_TEST(copy_of(targets[0]) != domain_id{"a"});
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::expected_cost
