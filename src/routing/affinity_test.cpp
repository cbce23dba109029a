#include "routing/affinity.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace primrosedeal;
using namespace primrosedeal::routing;

namespace
{

auto best(std::uint64_t seed, std::vector<target_id> const& all) -> target_id
{
    auto it = all[0];
    for (auto const& each : all)
    {
        it = rank(seed, each) > rank(seed, it) ? each : it;
    }
    return it;
}

auto targets(int n) -> std::vector<target_id>
{
    auto all = std::vector<target_id>{};
    for (auto k = 0; k < n; ++k)
    {
        all.emplace_back("t" + std::to_string(k));
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rendezvous_ranks)

BOOST_AUTO_TEST_CASE(move_only_the_prefixes_of_a_removed_target)
{
    auto const all = targets(24);
    auto rest = all;
    rest.erase(rest.begin() + 7);
    for (auto key = std::uint64_t{0}; key < 500; ++key)
    {
        auto const before = best(key, all);
        if (before != all[7])
        {
            BOOST_TEST(best(key, rest) == before);
        }
    }
}

BOOST_AUTO_TEST_CASE(spread_prefixes_evenly)
{
    auto counts = std::map<target_id, int>{};
    auto const all = targets(24);
    for (auto key = std::uint64_t{0}; key < 24'000; ++key)
    {
        ++counts[best(key, all)];
    }
    BOOST_TEST(counts.size() == 24U);
    for (auto const& [target, n] : counts)
    {
        BOOST_TEST(n > 850);
        BOOST_TEST(n < 1150);
    }
}

BOOST_AUTO_TEST_CASE(differ_between_models_versions_and_adapters)
{
    auto plain = routing_request{};
    plain.model = model_id{"fitting"};
    auto newer = plain;
    newer.version = model_version{"2"};
    auto adapted = plain;
    adapted.adapter = adapter_id{"2"};
    BOOST_TEST(rank_seed(plain, 1) != rank_seed(newer, 1));
    BOOST_TEST(rank_seed(plain, 1) != rank_seed(adapted, 1));
    BOOST_TEST(rank_seed(newer, 1) != rank_seed(adapted, 1));
    BOOST_TEST(rank_seed(plain, 1) != rank_seed(plain, 2));
}

BOOST_AUTO_TEST_CASE(use_a_power_of_two_of_leading_blocks)
{
    BOOST_TEST(key_depth(0) == 0U);
    BOOST_TEST(key_depth(1) == 1U);
    BOOST_TEST(key_depth(63) == 32U);
    BOOST_TEST(key_depth(64) == 64U);
    BOOST_TEST(key_depth(5000) == 64U);
}

BOOST_AUTO_TEST_SUITE_END()
