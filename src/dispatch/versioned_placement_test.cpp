#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

// Placement beside targets of several software versions.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto now = time_point{10s};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};

/// Four targets in two domains; the first `old` of them run `v1`.
struct placement_at_versions
{
    explicit placement_at_versions(std::size_t old)
    {
        targets.resize(4);
        for (auto i = std::size_t{0}; i < targets.size(); ++i)
        {
            targets[i].version = i < old ? v1 : v2;
            targets[i].domain = domain_id{i % 2 == 0 ? "a" : "b"};
        }
    }

    [[nodiscard]] auto view() const -> placement_view
    {
        return {targets, detector, loads, others, no_limits, no_gate};
    }

    auto choose() -> std::optional<directory::listed_target>
    {
        return place(view(), request, now, random);
    }

    std::vector<directory::listed_target> targets = replay_engines();
    failure_detector detector;
    load_tracker loads;
    fleet::fleet_view others;
    placement_request request;
    random_source random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_request_beside_several_versions)

BOOST_AUTO_TEST_CASE(that_has_begun_goes_on_at_its_version)
{
    auto it = placement_at_versions{1};
    it.request.versions = {v1};
    for (auto i = 0; i < 100; ++i)
    {
        auto const chosen = it.choose();
        BOOST_REQUIRE(chosen);
        BOOST_TEST(chosen->version == v1);
    }
    it.request.versions = {software_version{"v3"}};
    BOOST_TEST(!it.choose().has_value());
}

BOOST_AUTO_TEST_CASE(has_its_copy_at_its_version_in_another_domain_if_possible)
{
    auto it = placement_at_versions{2};
    for (auto const& primary : it.targets)
    {
        for (auto i = 0; i < 20; ++i)
        {
            auto const copy =
                place_copy(it.view(), it.request, primary, now, it.random);
            BOOST_REQUIRE(copy);
            BOOST_TEST(copy->version == primary.version);
            BOOST_TEST(copy->domain != primary.domain);
        }
    }
}

BOOST_AUTO_TEST_CASE(has_no_copy_if_no_other_target_has_its_version)
{
    auto it = placement_at_versions{1};
    BOOST_TEST(
        !place_copy(it.view(), it.request, it.targets.front(), now, it.random)
             .has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
