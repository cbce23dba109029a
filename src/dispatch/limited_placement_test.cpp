#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

// Placement beside targets that limit their requests.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto now = time_point{10s};
constexpr auto later = now + 1s;

/// Targets of one service, of which the first `limited` take two requests a
/// second.
struct placement_at_limits
{
    placement_at_limits(std::size_t n, std::size_t limited)
    {
        targets.resize(n);
        for (auto i = std::size_t{0}; i < limited; ++i)
        {
            limits.observe(
                {targets[i].id, {}, request_limit::request_rate{2}, now}, now);
        }
        update(now);
    }

    void update(time_point at)
    {
        limiter.update(limits, targets, {0, 1, 1}, at);
    }

    auto choose(time_point at) -> std::optional<directory::listed_target>
    {
        auto chosen = place(view(), request, at, random);
        if (chosen)
        {
            limiter.sent(chosen->id, at);
        }
        return chosen;
    }

    [[nodiscard]] auto view() const -> placement_view
    {
        return {targets, detector, loads, others, limiter, no_gate};
    }

    std::vector<directory::listed_target> targets = replay_engines();
    request_limit::limit_table limits;
    request_limit::limiter limiter;
    failure_detector detector;
    load_tracker loads;
    fleet::fleet_view others;
    placement_request request;
    random_source random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_beside_limited_targets)

BOOST_AUTO_TEST_CASE(goes_to_the_others_once_the_share_is_used)
{
    auto it = placement_at_limits{4, 1};
    auto at_limited = 0;
    for (auto i = 0; i < 100; ++i)
    {
        auto const chosen = it.choose(later);
        BOOST_REQUIRE(chosen);
        at_limited += chosen->id == it.targets.front().id ? 1 : 0;
    }
    BOOST_TEST(at_limited == 1);
}

BOOST_AUTO_TEST_CASE(has_no_target_if_all_shares_are_used)
{
    auto it = placement_at_limits{2, 2};
    BOOST_TEST(!it.choose(now).has_value());
    BOOST_TEST(it.choose(later).has_value());
    BOOST_TEST(it.choose(later).has_value());
    BOOST_TEST(!it.choose(later).has_value());
    BOOST_TEST(
        request_limit::retry_after(it.limiter, it.targets, it.random, later)
            .has_value());
}

BOOST_AUTO_TEST_CASE(is_not_retried_at_a_limited_target_beyond_its_share)
{
    auto it = placement_at_limits{1, 1};
    auto const first = it.choose(later);
    BOOST_REQUIRE(first);
    auto const tried = std::vector{first->id};
    it.request.tried = tried;
    BOOST_TEST(!it.choose(later).has_value());
}

BOOST_AUTO_TEST_CASE(has_no_copy_there)
{
    auto it = placement_at_limits{8, 4};
    for (auto i = 0; i < 100; ++i)
    {
        auto const copy = place_copy(it.view(), it.request, it.targets.back(),
                                     later, it.random);
        BOOST_REQUIRE(copy);
        BOOST_TEST(!it.limiter.limited(copy->id));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
