#include "rejection_limit/gate.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace primrosedeal::rejection_limit
{

namespace
{

using request_limit::request_rate;

constexpr auto process = incarnation{1};
constexpr auto now = time_point{100s};
constexpr auto slots = 6U;

/// Targets of one service as the hosts of a fleet see them.
struct fleet
{
    explicit fleet(std::size_t hosts, std::size_t n = 1)
        : gates(hosts), uses(n), targets(n)
    {
        for (auto i = std::size_t{0}; i < n; ++i)
        {
            targets[i].id = target_id{"t" + std::to_string(i)};
            targets[i].process_start = process;
            targets[i].slots = slots;
        }
        demand.hosts = {0, hosts, hosts};
        demand.others = request_rate{0.1};
    }

    void state(std::size_t n, std::optional<request_rate> limit,
               time_point at = now)
    {
        limits.observe({targets[n].id, process, limit, at}, at);
    }

    void update(time_point at = now)
    {
        for (auto i = std::size_t{0}; i < gates.size(); ++i)
        {
            demand.hosts.position = i;
            gates[i].update(limits, rejections, targets, uses, demand, at);
        }
    }

    /// Hosts that may send to the target `n`.
    [[nodiscard]] auto permitted(arrival how, std::size_t n = 0) const
        -> std::size_t
    {
        auto out = std::size_t{0};
        for (auto const& it : gates)
        {
            out += it.permits(targets[n].id, how) ? 1 : 0;
        }
        return out;
    }

    std::vector<gate> gates;
    std::vector<target_use> uses;
    std::vector<directory::listed_target> targets;
    request_limit::limit_table limits;
    rejection_log rejections;
    fleet_demand demand;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_survives_few_rejections)

BOOST_AUTO_TEST_CASE(takes_requests_of_all_hosts_while_it_states_no_limit)
{
    auto it = fleet{360};
    it.uses[0].others = slots;
    it.update();
    BOOST_TEST(it.permitted(arrival::burst) == 360U);
    BOOST_TEST(!it.gates[0].brittle(it.targets[0].id));
    BOOST_TEST(it.gates[0].has_ample_room(it.targets[0].id));
}

BOOST_AUTO_TEST_CASE(takes_independent_requests_of_all_hosts_with_room_to_spare)
{
    auto it = fleet{360};
    it.state(0, request_rate{1});
    it.update();
    BOOST_TEST(it.permitted(arrival::independent) == 360U);
    BOOST_TEST(it.permitted(arrival::burst) <= slots);
    it.uses[0].others = slots - 1;
    it.update();
    BOOST_TEST(it.permitted(arrival::independent) <= 1U);
}

BOOST_AUTO_TEST_CASE(takes_one_request_for_each_free_slot_under_much_demand)
{
    auto it = fleet{360};
    it.state(0, request_rate{1});
    it.demand.others = request_rate{100};
    for (auto used = 0U; used <= slots; ++used)
    {
        it.uses[0].others = used;
        it.update();
        BOOST_TEST(it.permitted(arrival::independent) == slots - used);
        BOOST_TEST(it.permitted(arrival::burst) == slots - used);
    }
}

BOOST_AUTO_TEST_CASE(
    takes_no_second_request_of_a_host_before_all_know_the_first)
{
    auto it = fleet{360};
    it.state(0, request_rate{1});
    it.demand.others = request_rate{100};
    it.update();
    BOOST_REQUIRE(it.gates[0].permits(it.targets[0].id, arrival::burst));
    it.gates[0].sent(it.targets[0].id, now);
    it.update(now + digest_delay(360) / 2);
    BOOST_TEST(!it.gates[0].permits(it.targets[0].id, arrival::burst));
    it.update(now + digest_delay(360));
    BOOST_TEST(it.gates[0].permits(it.targets[0].id, arrival::burst));
}

BOOST_AUTO_TEST_CASE(counts_as_full_for_a_second_after_a_rejection)
{
    auto it = fleet{8};
    it.state(0, request_rate{1});
    it.rejections.merge(host_id{"h"}, {it.targets[0].id, process, 1, now});
    it.update(now + 900ms);
    BOOST_TEST(it.permitted(arrival::independent) == 0U);
    it.update(now + 1s);
    BOOST_TEST(it.permitted(arrival::independent) > 0U);
}

BOOST_AUTO_TEST_CASE(is_divided_between_the_parts_of_a_partitioned_fleet)
{
    auto it = fleet{8};
    it.state(0, request_rate{1});
    it.gates.resize(4);
    it.demand.hosts.live = 4;
    it.uses[0].others = 2;
    it.update();
    BOOST_TEST(it.permitted(arrival::burst) == 1U);
    it.uses[0].others = 3;
    it.update();
    BOOST_TEST(it.permitted(arrival::burst) == 0U);
}

BOOST_AUTO_TEST_CASE(takes_nothing_of_a_host_that_has_heard_no_other_yet)
{
    auto it = fleet{360};
    it.state(0, request_rate{1});
    it.gates.resize(1);
    it.demand = {{0, 1, 360}, {}};
    it.update();
    BOOST_TEST(it.permitted(arrival::independent) == 0U);
}

BOOST_AUTO_TEST_CASE(has_the_limit_of_the_others_until_it_says_otherwise)
{
    auto it = fleet{8, 2};
    it.state(0, request_rate{1});
    it.update();
    BOOST_TEST(it.gates[0].brittle(it.targets[1].id));
    it.state(1, request_rate{1});
    it.state(1, std::nullopt, now + 1s);
    it.update(now + 1s);
    BOOST_TEST(!it.gates[0].brittle(it.targets[1].id));
    BOOST_TEST(it.gates[0].brittle(it.targets[0].id));
}

BOOST_AUTO_TEST_CASE(is_not_brittle_at_a_limit_that_permits_everything)
{
    auto it = fleet{8};
    it.state(0, request_rate{1e9});
    it.update();
    BOOST_TEST(!it.gates[0].brittle(it.targets[0].id));
}

BOOST_AUTO_TEST_CASE(holds_copies_only_while_half_of_it_is_free)
{
    auto it = fleet{8};
    it.state(0, request_rate{1});
    it.update();
    BOOST_TEST(it.gates[0].has_ample_room(it.targets[0].id));
    it.uses[0].others = slots / 2 + 1;
    it.update();
    BOOST_TEST(!it.gates[0].has_ample_room(it.targets[0].id));
}

BOOST_AUTO_TEST_CASE(has_refused_callers_come_again_at_different_times)
{
    auto it = fleet{8};
    auto random = random_source{1};
    auto const ask = [&]
    {
        return retry_after(it.gates[0], it.targets, arrival::burst, random);
    };
    BOOST_TEST(!ask());
    it.state(0, request_rate{1});
    it.uses[0].others = slots;
    it.update();
    auto const first = ask();
    auto const second = ask();
    BOOST_REQUIRE(first);
    BOOST_REQUIRE(second);
    BOOST_TEST((*first != *second));
    BOOST_TEST((*first >= 200ms && *first <= 400ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rejection_limit
