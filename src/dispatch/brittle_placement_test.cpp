#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

// Placement beside targets that survive few rejections.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto now = time_point{10s};

/// Two targets of one service, both brittle, and two hosts.
struct placement_at_brittle_targets
{
    placement_at_brittle_targets()
    {
        targets.resize(2);
        for (auto const& it : targets)
        {
            limits.observe({it.id, {}, request_limit::request_rate{1}, now},
                           now);
        }
    }

    void use(std::size_t n, std::uint32_t requests)
    {
        uses[n].own = requests;
        while (loads.at_target(targets[n].id).requests < requests)
        {
            loads.sent(targets[n].id, {});
        }
        gate.update(limits, rejections, targets, uses,
                    {{0, 2, 2}, request_limit::request_rate{1}}, now);
    }

    [[nodiscard]] auto view() const -> placement_view
    {
        return {targets, detector, loads, others, no_limits, gate};
    }

    std::vector<directory::listed_target> targets = replay_engines();
    std::vector<rejection_limit::target_use> uses{2};
    request_limit::limit_table limits;
    rejection_limit::rejection_log rejections;
    rejection_limit::gate gate;
    failure_detector detector;
    load_tracker loads;
    fleet::fleet_view others;
    placement_request request;
    random_source random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_beside_brittle_targets)

BOOST_AUTO_TEST_CASE(goes_to_one_that_has_not_rejected_any)
{
    auto it = placement_at_brittle_targets{};
    it.rejections.rejected(it.targets[0].id, {}, now);
    it.use(1, 10);
    auto const chosen = place(it.view(), it.request, now, it.random);
    BOOST_REQUIRE(chosen);
    BOOST_TEST(chosen->id == it.targets[1].id);
    it.rejections.rejected(it.targets[1].id, {}, now);
    it.use(1, 10);
    BOOST_TEST(!place(it.view(), it.request, now, it.random));
}

BOOST_AUTO_TEST_CASE(has_a_copy_there_only_with_ample_room)
{
    auto it = placement_at_brittle_targets{};
    it.use(0, 1);
    BOOST_TEST(place_copy(it.view(), it.request, it.targets[0], now, it.random)
                   .has_value());
    it.use(1, it.targets[1].slots / 2 + 1);
    BOOST_TEST(
        !place_copy(it.view(), it.request, it.targets[0], now, it.random));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
