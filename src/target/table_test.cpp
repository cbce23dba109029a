#include "target/table.hpp"
#include "target/table_reference.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <queue>
#include <string>

namespace primrosedeal::target
{

namespace
{

auto const fitting = service_id{"fitting"};

auto describe(std::string const& id, std::uint64_t start) -> description
{
    auto it = description{};
    it.id = target_id{id};
    it.start = incarnation{start};
    it.service = fitting;
    it.address = {"127.0.0.1", 9000};
    it.slots = 4;
    return it;
}

auto listed(std::string const& id, std::uint64_t start, bool leaving = false)
    -> listed_target
{
    return {describe(id, start), leaving};
}

template <class Action>
auto actions_of(std::vector<action> const& all) -> std::vector<Action>
{
    auto found = std::vector<Action>{};
    for (auto const& it : all)
    {
        if (auto const* wanted = std::get_if<Action>(&it))
        {
            found.push_back(*wanted);
        }
    }
    return found;
}

struct fixture
{
    table targets;
    random_source random{7};
    time_point now{};
    target_id const a{"a"};
    incarnation const first{1};

    auto send(event const& it) -> std::vector<action>
    {
        return targets.handle(it, now, random);
    }

    auto see(outcome it) -> std::vector<action>
    {
        return send(connection_outcome{a, first, it});
    }

    auto state(std::string const& id) -> std::string
    {
        auto const found = targets.find(target_id{id});
        return found ? std::string{to_string(found->state)} : "unknown";
    }

    auto tick_for(duration span) -> std::vector<probe>
    {
        auto probes = std::vector<probe>{};
        for (auto const end = now + span; now < end; now += tick_period)
        {
            for (auto const& it : actions_of<probe>(send(tick{})))
            {
                probes.push_back(it);
            }
        }
        return probes;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(targets_of_one_entry_host)

BOOST_FIXTURE_TEST_SUITE(a_leaving_target, fixture)

BOOST_AUTO_TEST_CASE(takes_no_new_work_and_its_mark_is_spread)
{
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    BOOST_TEST(targets.usable(fitting).size() == 2U);
    auto const out =
        send(list_snapshot{2, {listed("a", 1, true), listed("b", 1)}});
    auto const marks = actions_of<spread_mark>(out);
    BOOST_REQUIRE(marks.size() == 1U);
    BOOST_TEST(marks[0].mark.id == a);
    BOOST_TEST(!targets.takes_new_work(a, first));
    BOOST_REQUIRE(targets.usable(fitting).size() == 1U);
    BOOST_TEST(targets.usable(fitting)[0].it.id == target_id{"b"});
}

BOOST_AUTO_TEST_CASE(is_not_brought_back_by_an_old_or_a_newer_list)
{
    send(list_snapshot{5, {listed("a", 1, true), listed("b", 1)}});
    send(list_snapshot{4, {listed("a", 1), listed("b", 1)}});
    BOOST_TEST(state("a") == "leaving");
    send(list_snapshot{6, {listed("a", 1), listed("b", 1)}});
    BOOST_TEST(state("a") == "leaving");
}

BOOST_AUTO_TEST_CASE(comes_back_with_a_new_incarnation_only)
{
    send(list_snapshot{1, {listed("a", 1, true)}});
    see(outcome::answered);
    BOOST_TEST(state("a") == "leaving");
    send(list_snapshot{2, {listed("a", 2)}});
    BOOST_TEST(state("a") == "live");
    send(list_snapshot{3, {listed("a", 1)}});
    BOOST_TEST(targets.takes_new_work(a, incarnation{2}));
    BOOST_TEST(!targets.takes_new_work(a, first));
}

BOOST_AUTO_TEST_CASE(is_learnt_from_a_refusal_and_spread)
{
    send(list_snapshot{1, {listed("a", 1)}});
    auto const out = send(leaving_refusal{a, first});
    BOOST_TEST(actions_of<spread_mark>(out).size() == 1U);
    BOOST_TEST(state("a") == "leaving");
    BOOST_TEST(
        actions_of<spread_mark>(send(leaving_refusal{a, first})).empty());
}

BOOST_AUTO_TEST_CASE(is_learnt_from_a_peer_before_any_list_names_it)
{
    send(leaving_mark{a, first});
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    BOOST_TEST(state("a") == "leaving");
    BOOST_TEST(state("b") == "live");
}

BOOST_AUTO_TEST_CASE(is_one_that_a_newer_list_no_longer_names)
{
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    send(list_snapshot{2, {listed("b", 1)}});
    BOOST_TEST(state("a") == "leaving");
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    BOOST_TEST(state("a") == "leaving");
}

BOOST_AUTO_TEST_CASE(stays_known_for_its_work_in_flight)
{
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    send(list_snapshot{2, {listed("b", 1)}});
    tick_for(60s);
    auto const found = targets.find(a);
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->it.address.port == 9000);
}

BOOST_AUTO_TEST_CASE(is_not_probed)
{
    send(list_snapshot{1, {listed("a", 1)}});
    see(outcome::refused);
    send(leaving_refusal{a, first});
    BOOST_TEST(tick_for(10s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_faulty_list, fixture)

BOOST_AUTO_TEST_CASE(without_any_target_changes_nothing)
{
    send(list_snapshot{1, {listed("a", 1)}});
    send(list_snapshot{2, {}});
    BOOST_TEST(state("a") == "live");
    BOOST_TEST(targets.counters().empty_lists == 1U);
}

BOOST_AUTO_TEST_CASE(cannot_exhaust_memory)
{
    auto const bounds = limits{.max_targets = 3, .max_marks = 4};
    auto small = table{bounds};
    auto list = list_snapshot{1, {}};
    for (auto n = 0; n < 100; ++n)
    {
        list.targets.push_back(listed("t" + std::to_string(n), 1));
        small.handle(leaving_mark{target_id{"m" + std::to_string(n)}, first},
                     now, random);
    }
    small.handle(list, now, random);
    BOOST_TEST(small.all().size() == 3U);
    BOOST_TEST(small.marks().size() == 4U);
    BOOST_TEST(small.counters().dropped_targets == 97U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_doubtful_target, fixture)

BOOST_AUTO_TEST_CASE(goes_last_until_a_probe_clears_it)
{
    send(list_snapshot{1, {listed("a", 1), listed("b", 1)}});
    see(outcome::silent);
    BOOST_TEST(state("a") == "suspect");
    BOOST_REQUIRE(targets.usable(fitting).size() == 2U);
    BOOST_TEST(targets.usable(fitting)[1].it.id == a);
    BOOST_TEST(tick_for(100ms).size() == 1U);
    see(outcome::probe_answered);
    BOOST_TEST(state("a") == "live");
    BOOST_TEST(tick_for(10s).empty());
}

BOOST_AUTO_TEST_CASE(fails_when_its_probes_stay_unanswered)
{
    send(list_snapshot{1, {listed("a", 1)}});
    see(outcome::silent);
    see(outcome::silent);
    see(outcome::reset);
    BOOST_TEST(state("a") == "suspect");
    auto const probes = tick_for(3s);
    BOOST_TEST(probes.size() == 3U);
    BOOST_TEST(state("a") == "failed");
    BOOST_TEST(targets.usable(fitting).empty());
}

BOOST_AUTO_TEST_CASE(is_probed_ever_more_rarely_and_comes_back)
{
    send(list_snapshot{1, {listed("a", 1)}});
    see(outcome::refused);
    BOOST_TEST(state("a") == "failed");
    auto early = 0;
    for (auto const end = now + 2s; now < end; now += tick_period)
    {
        for (auto const& it : actions_of<probe>(send(tick{})))
        {
            BOOST_TEST(it.id == a);
            see(outcome::probe_failed);
            ++early;
        }
    }
    auto late = 0;
    for (auto const end = now + 60s; now < end; now += tick_period)
    {
        if (!actions_of<probe>(send(tick{})).empty())
        {
            see(outcome::probe_failed);
            ++late;
        }
    }
    BOOST_TEST(early >= 3);
    BOOST_TEST(late >= 60 / 5);
    BOOST_TEST(late <= 60 * 2 / 5 + 4);
    see(outcome::probe_answered);
    BOOST_TEST(state("a") == "live");
}

BOOST_AUTO_TEST_CASE(is_judged_afresh_in_its_next_incarnation)
{
    send(list_snapshot{1, {listed("a", 1)}});
    see(outcome::refused);
    send(list_snapshot{2, {listed("a", 2)}});
    BOOST_TEST(state("a") == "live");
    see(outcome::refused);
    BOOST_TEST(state("a") == "live");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(eight_hosts)

namespace
{

struct delivery
{
    time_point at;
    std::size_t host = 0;
    leaving_mark mark;

    friend auto operator<(delivery const& a, delivery const& b) -> bool
    {
        return a.at > b.at;
    }
};

constexpr auto host_count = std::size_t{8};

/// Hosts poll the list every second, some of them an old copy, and pass
/// marks on within a second, as membership does.
struct fleet
{
    std::vector<table> hosts = std::vector<table>(host_count);
    std::vector<time_point> next_poll = std::vector<time_point>(host_count);
    std::priority_queue<delivery> marks;
    random_source random;
    time_point now{};
    time_point marked_at;

    fleet(std::uint64_t seed, time_point leaving_at)
        : random(seed), marked_at(leaving_at)
    {
        for (auto& it : next_poll)
        {
            it = now + pause(1s);
        }
    }

    auto pause(duration longest) -> duration
    {
        return duration{static_cast<duration::rep>(
            random.below(static_cast<std::uint64_t>(longest.count())))};
    }

    void send(std::size_t host, event const& it)
    {
        for (auto const& mark :
             actions_of<spread_mark>(hosts[host].handle(it, now, random)))
        {
            for (auto to = std::size_t{0}; to < host_count; ++to)
            {
                marks.push({now + pause(1s), to, mark.mark});
            }
        }
    }

    /// Hosts from 2 on read a replica of the list that stays behind.
    auto list_for(std::size_t host) -> list_snapshot
    {
        auto const left = now >= marked_at && host < 2;
        auto const version = left ? 2U : 1U;
        return {version, {listed("a", 1, left), listed("b", 1)}};
    }

    void step()
    {
        for (auto host = std::size_t{0}; host < host_count; ++host)
        {
            if (now >= next_poll[host])
            {
                send(host, list_for(host));
                next_poll[host] = now + 1s;
            }
            send(host, tick{});
        }
        while (!marks.empty() && marks.top().at <= now)
        {
            auto const it = marks.top();
            marks.pop();
            send(it.host, it.mark);
        }
        now += 50ms;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(send_a_leaving_target_nothing_new_after_three_seconds)
{
    BOOST_TEST(rc::check(
        "no host uses the target 3 s after the mark",
        [](std::uint64_t seed)
        {
            auto const marked_at = time_point{5s};
            auto all = fleet{seed, marked_at};
            auto used = std::size_t{0};
            while (all.now < marked_at + 30s)
            {
                all.step();
                for (auto const& host : all.hosts)
                {
                    auto const takes =
                        host.takes_new_work(target_id{"a"}, incarnation{1});
                    used += takes ? 1 : 0;
                    RC_ASSERT(all.now < marked_at + 3s || !takes);
                    RC_ASSERT(all.now < marked_at + 3s ||
                              host.usable(fitting).size() == 1U);
                }
            }
            RC_ASSERT(used > 0U);
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(against_the_whole_history)

namespace
{

auto const ids = std::vector<std::string>{"a", "b", "c"};

auto any_id() -> rc::Gen<std::string>
{
    return rc::gen::elementOf(ids);
}

auto any_start() -> rc::Gen<std::uint64_t>
{
    return rc::gen::inRange<std::uint64_t>(1, 4);
}

auto any_list() -> event
{
    auto list = list_snapshot{};
    list.version = *rc::gen::inRange<std::uint64_t>(1, 8);
    for (auto const& id : ids)
    {
        if (*rc::gen::inRange(0, 6) != 0)
        {
            list.targets.push_back(
                listed(id, *any_start(), *rc::gen::inRange(0, 8) == 0));
        }
    }
    return list;
}

auto any_event() -> event
{
    auto const id = target_id{*any_id()};
    auto const start = incarnation{*any_start()};
    auto const kind = *rc::gen::inRange(0, 10);
    if (kind < 3)
    {
        return any_list();
    }
    if (kind == 3)
    {
        return leaving_mark{id, start};
    }
    if (kind == 4)
    {
        return leaving_refusal{id, start};
    }
    auto const seen = *rc::gen::element(
        outcome::refused, outcome::reset, outcome::silent, outcome::answered,
        outcome::probe_answered, outcome::probe_failed);
    return connection_outcome{id, start, seen};
}

void compare(table const& fast, table_reference const& slow)
{
    auto expected = std::size_t{0};
    for (auto const& name : ids)
    {
        auto const found = fast.find(target_id{name});
        auto const wanted = slow.state(target_id{name});
        RC_ASSERT(found.has_value() == wanted.has_value());
        if (found)
        {
            RC_ASSERT(found->state == *wanted);
            auto const takes = *wanted == target_state::live ||
                               *wanted == target_state::suspect;
            expected += takes ? 1 : 0;
            RC_ASSERT(fast.takes_new_work(found->it.id, found->it.start) ==
                      takes);
        }
    }
    RC_ASSERT(fast.usable(fitting).size() == expected);
}

} // namespace

BOOST_AUTO_TEST_CASE(states_are_the_same)
{
    auto const same = rc::check("table equals its reference",
                                []
                                {
                                    auto fast = table{};
                                    auto slow = table_reference{};
                                    auto random = random_source{1};
                                    auto now = time_point{};
                                    auto const steps = *rc::gen::inRange(1, 40);
                                    for (auto n = 0; n < steps; ++n)
                                    {
                                        auto const it = any_event();
                                        auto const out =
                                            fast.handle(it, now, random);
                                        slow.handle(it);
                                        compare(fast, slow);
                                        fast.handle(tick{}, now, random);
                                        compare(fast, slow);
                                        now += 1ms;
                                    }
                                });
    BOOST_TEST(same);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::target
