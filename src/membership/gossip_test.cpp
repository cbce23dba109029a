#include "membership/virtual_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

namespace primrosedeal::membership
{

namespace
{

constexpr auto fleet_seed = std::uint64_t{11};

struct fixture
{
    virtual_fleet fleet{8, 4, fleet_seed};
    std::map<std::size_t, std::vector<record>> delivered;
    std::map<std::size_t, incarnation> new_incarnations;

    fixture()
    {
        fleet.on_action = [this](std::size_t host, action const& it)
        {
            if (auto const* delivery = std::get_if<deliver>(&it))
            {
                delivered[host].push_back(delivery->update);
            }
            if (auto const* start = std::get_if<new_incarnation>(&it))
            {
                new_incarnations[host] = start->start;
            }
        };
    }

    void start_all()
    {
        for (auto n = std::size_t{0}; n < fleet.size(); ++n)
        {
            fleet.start(n);
        }
        fleet.run_for(10s);
    }

    /// Counts the running hosts other than `n` that consider it in `state`.
    auto seen_as(std::size_t n, std::string const& state) -> std::size_t
    {
        auto count = std::size_t{0};
        for (auto viewer = std::size_t{0}; viewer < fleet.size(); ++viewer)
        {
            auto const sees = viewer != n && fleet.at(viewer).running &&
                              fleet.view(viewer, n) == state;
            count += sees ? 1 : 0;
        }
        return count;
    }

    auto count_seen(std::string const& state) -> std::size_t
    {
        auto count = std::size_t{0};
        for (auto n = std::size_t{0}; n < fleet.size(); ++n)
        {
            count += seen_as(n, state);
        }
        return count;
    }

    void partition_domain(std::size_t domain, bool is_partitioned)
    {
        for (auto a = std::size_t{0}; a < fleet.size(); ++a)
        {
            for (auto b = std::size_t{0}; b < fleet.size(); ++b)
            {
                if (a % 4 == domain && b % 4 != domain)
                {
                    fleet.partition(a, b, is_partitioned);
                }
            }
        }
    }

    auto deaths() -> std::uint64_t
    {
        auto count = std::uint64_t{0};
        for (auto n = std::size_t{0}; n < fleet.size(); ++n)
        {
            count += fleet.at(n).protocol->counters().deaths_declared;
        }
        return count;
    }
};

auto leaving_record(std::string name, std::uint64_t version) -> record
{
    auto it = record{};
    it.key = {topic::target_leaving, std::move(name)};
    it.version = {0, version};
    it.urgency = urgency::urgent;
    it.lifetime = std::chrono::hours{1};
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gossip_between_entry_hosts)

BOOST_FIXTURE_TEST_SUITE(a_fleet_of_eight, fixture)

BOOST_AUTO_TEST_CASE(discovers_all_hosts_from_two_seeds)
{
    start_all();
    BOOST_TEST(count_seen("alive") == 8U * 7U);
}

BOOST_AUTO_TEST_CASE(detects_a_stopped_host)
{
    start_all();
    fleet.stop(3);
    fleet.run_for(15s);
    BOOST_TEST(seen_as(3, "dead") == 7U);
    BOOST_TEST(fleet.false_deaths() == 0U);
}

BOOST_AUTO_TEST_CASE(accepts_a_restarted_host)
{
    start_all();
    fleet.stop(3);
    fleet.run_for(15s);
    fleet.start(3);
    fleet.run_for(10s);
    BOOST_TEST(seen_as(3, "alive") == 7U);
}

BOOST_AUTO_TEST_CASE(learns_within_a_second_that_a_host_leaves)
{
    start_all();
    fleet.send_event(3, leave{});
    fleet.run_for(10ms);
    fleet.stop(3);
    fleet.run_for(1s);
    BOOST_TEST(seen_as(3, "dead") == 7U);
}

BOOST_AUTO_TEST_CASE(gives_a_resumed_host_a_new_incarnation)
{
    start_all();
    auto const before = fleet.at(5).protocol->self().start;
    fleet.pause(5);
    fleet.run_for(20s);
    BOOST_TEST(seen_as(5, "dead") == 7U);
    fleet.resume(5);
    fleet.run_for(10s);
    BOOST_TEST(seen_as(5, "alive") == 7U);
    BOOST_REQUIRE(new_incarnations.contains(5));
    BOOST_TEST((new_incarnations[5] > before));
    BOOST_TEST(new_incarnations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(recovers_after_all_hosts_restart)
{
    start_all();
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        fleet.stop(n);
    }
    fleet.run_for(5s);
    start_all();
    BOOST_TEST(count_seen("alive") == 8U * 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_large_fleet)

BOOST_AUTO_TEST_CASE(that_starts_at_once_discovers_all_hosts_from_two_seeds)
{
    auto fleet = virtual_fleet{128, 8, fleet_seed};
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        fleet.start(n);
    }
    fleet.run_for(30s);
    auto most_links = std::size_t{0};
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        auto const& it = *fleet.at(n).protocol;
        auto const members = it.members();
        BOOST_TEST(members.size() == fleet.size());
        BOOST_TEST(std::all_of(members.begin(), members.end(),
                               [](member const& other)
                               { return other.state == host_state::alive; }));
        most_links = std::max(most_links, it.link_count());
    }
    BOOST_TEST(most_links <= 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_partition, fixture)

BOOST_AUTO_TEST_CASE(between_two_hosts_declares_no_host_dead)
{
    start_all();
    for (auto a = std::size_t{0}; a < fleet.size(); ++a)
    {
        for (auto b = a + 1; b < fleet.size(); ++b)
        {
            fleet.partition(a, b, true);
            fleet.run_for(20s);
            fleet.partition(a, b, false);
            fleet.run_for(5s);
        }
    }
    BOOST_TEST(deaths() == 0U);
}

BOOST_AUTO_TEST_CASE(that_isolates_one_host_keeps_it_from_declaring_others_dead)
{
    start_all();
    for (auto n = std::size_t{1}; n < fleet.size(); ++n)
    {
        fleet.partition(0, n, true);
    }
    fleet.run_for(20s);
    BOOST_TEST(seen_as(0, "dead") == 7U);
    BOOST_TEST(fleet.at(0).protocol->counters().deaths_declared == 0U);
}

BOOST_AUTO_TEST_CASE(
    of_a_failure_domain_is_detected_on_both_sides_and_heals_by_itself)
{
    start_all();
    partition_domain(1, true);
    fleet.run_for(120s);
    BOOST_TEST(fleet.view(1, 5) == "alive");
    BOOST_TEST(fleet.view(0, 4) == "alive");
    BOOST_TEST(fleet.view(0, 1) == "dead");
    BOOST_TEST(fleet.view(1, 0) == "dead");
    partition_domain(1, false);
    fleet.run_for(30s);
    BOOST_TEST(count_seen("alive") == 8U * 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(silent_connections, fixture)

BOOST_AUTO_TEST_CASE(are_replaced_without_declaring_a_host_dead)
{
    start_all();
    fleet.silence_links();
    fleet.send_event(2, publish{leaving_record("t1", 1)});
    fleet.run_for(4s);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        BOOST_TEST(delivered[n].size() == 1U);
    }
    fleet.run_for(30s);
    BOOST_TEST(deaths() == 0U);
    BOOST_TEST(count_seen("alive") == 8U * 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_record, fixture)

BOOST_AUTO_TEST_CASE(that_is_urgent_reaches_every_host_within_a_second)
{
    start_all();
    fleet.send_event(2, publish{leaving_record("t1", 1)});
    fleet.run_for(1s);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        BOOST_TEST(delivered[n].size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(is_never_replaced_by_an_older_version)
{
    start_all();
    fleet.send_event(2, publish{leaving_record("t1", 5)});
    fleet.run_for(1s);
    fleet.send_event(3, publish{leaving_record("t1", 4)});
    fleet.run_for(20s);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        BOOST_TEST(delivered[n].size() == 1U);
        auto const held = fleet.at(n).protocol->store().version(
            {topic::target_leaving, "t1"});
        BOOST_REQUIRE(held.has_value());
        BOOST_TEST(held->sequence == 5U);
    }
}

BOOST_AUTO_TEST_CASE(reaches_hosts_that_were_partitioned_or_not_yet_started)
{
    start_all();
    fleet.stop(7);
    partition_domain(1, true);
    fleet.run_for(60s);
    fleet.send_event(2, publish{leaving_record("t1", 1)});
    fleet.run_for(1s);
    BOOST_TEST(delivered[1].empty());
    partition_domain(1, false);
    fleet.start(7);
    fleet.run_for(30s);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        BOOST_TEST(delivered[n].size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(is_removed_everywhere_after_its_lifetime)
{
    start_all();
    auto it = leaving_record("t1", 1);
    it.lifetime = 60s;
    fleet.send_event(2, publish{it});
    fleet.run_for(75s);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        BOOST_TEST(!fleet.at(n).protocol->store().version(it.key));
        BOOST_TEST(delivered[n].size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(of_an_unknown_topic_is_forwarded)
{
    start_all();
    auto it = leaving_record("t1", 1);
    it.key.topic = static_cast<topic>(200);
    fleet.send_event(2, publish{it});
    fleet.run_for(1s);
    BOOST_TEST(delivered[6].size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(the_byte_budget, fixture)

BOOST_AUTO_TEST_CASE(holds_under_overload_and_urgent_records_go_first)
{
    start_all();
    auto before = std::vector<std::uint64_t>{};
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        before.push_back(fleet.at(n).bytes_sent);
    }
    for (auto second = 0; second < 20; ++second)
    {
        for (auto n = 0; n < 100; ++n)
        {
            auto it = leaving_record("usage-" + std::to_string(n),
                                     static_cast<std::uint64_t>(second));
            it.key.topic = topic::usage;
            it.urgency = urgency::bulk;
            it.payload = std::string(500, 'x');
            fleet.send_event(2, publish{it});
        }
        fleet.run_for(1s);
    }
    auto const published_at = fleet.now();
    fleet.send_event(2, publish{leaving_record("t1", 1)});
    fleet.run_for(1500ms);
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        auto const held = fleet.at(n).protocol->store().version(
            {topic::target_leaving, "t1"});
        BOOST_TEST(held.has_value());
        auto const sent = fleet.at(n).bytes_sent - before[n];
        BOOST_TEST(sent < 22U * 9U * 1024U);
    }
    BOOST_TEST((fleet.now() > published_at));
    BOOST_TEST(fleet.false_deaths() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::membership
