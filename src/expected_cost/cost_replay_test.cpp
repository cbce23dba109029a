#include "expected_cost/replay_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>
#include <vector>

// Compares placement by expected cost with the baseline (replay_fleet.hpp).
namespace primrosedeal::expected_cost
{

namespace
{

void report(std::string_view name, std::string_view rule, result const& it)
{
    BOOST_TEST_MESSAGE(name << ", " << rule << ": mean " << it.mean
                            << " s, p99 " << it.p99 << " s, in objective "
                            << it.in_objective << ", crossing " << it.crossing);
}

struct comparison
{
    result before;
    result after;
};

auto fleets() -> std::vector<scenario>
{
    auto const fleet = [](std::size_t hosts, std::size_t targets,
                          duration digest_period, duration length)
    {
        auto out = scenario{};
        out.hosts = hosts;
        out.targets = targets;
        out.digest_period = digest_period;
        out.length = length;
        return out;
    };
    return {fleet(8, 36, 60ms, 300s), fleet(72, 180, 300ms, 20s),
            fleet(360, 840, 700ms, 8s)};
}

auto turning_slow(scenario it) -> scenario
{
    it.uneven_speeds = true;
    it.turns_slow = true;
    return it;
}

void check_not_worse(comparison const& it)
{
    BOOST_TEST(it.after.mean <= it.before.mean);
    BOOST_TEST(it.after.in_objective >= it.before.in_objective - 0.005);
    BOOST_TEST(it.after.crossing <= it.before.crossing);
}

void check_better(comparison const& it)
{
    check_not_worse(it);
    constexpr auto clearly = 0.9;
    BOOST_TEST(it.after.mean <= clearly * it.before.mean);
    BOOST_TEST(it.after.p99 <= it.before.p99);
}

auto compare(std::string_view name, scenario const& its) -> comparison
{
    auto out = comparison{replay{its, false}.run(), replay{its, true}.run()};
    auto const where =
        std::to_string(its.hosts) + " hosts, " + std::string{name};
    report(where, "by prefill", out.before);
    report(where, "by cost", out.after);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompts_placed_by_expected_cost)

BOOST_AUTO_TEST_CASE(are_not_worse_off_at_equal_targets)
{
    for (auto const& base : fleets())
    {
        check_not_worse(compare("equal", base));
        auto it = base;
        it.uneven_demand = true;
        check_not_worse(compare("uneven demand", it));
    }
}

BOOST_AUTO_TEST_CASE(begin_clearly_earlier_at_unequal_targets)
{
    for (auto const& base : fleets())
    {
        auto it = base;
        it.uneven_speeds = true;
        check_better(compare("uneven speeds", it));
        it.uneven_demand = true;
        it.rate = 0.55;
        check_better(compare("uneven speeds and demand, busy", it));
    }
}

BOOST_AUTO_TEST_CASE(avoid_targets_that_turn_slow)
{
    auto all = fleets();
    all.pop_back();
    for (auto const& base : all)
    {
        check_better(compare("turns slow", turning_slow(base)));
    }
}

BOOST_AUTO_TEST_CASE(avoid_targets_that_turn_slow_at_360_hosts)
{
    check_better(compare("turns slow", turning_slow(fleets().back())));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::expected_cost
