#include "routing/prefix_hints.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace primrosedeal;
using namespace primrosedeal::routing;

namespace
{

auto const a = target_id{"a"};
auto const b = target_id{"b"};

auto prompt(block_hash first, std::size_t n) -> std::vector<block_hash>
{
    auto all = std::vector<block_hash>{};
    for (auto k = std::size_t{0}; k < n; ++k)
    {
        all.push_back(first * 1000 + k);
    }
    return all;
}

auto depth(prefix_hints const& it, target_id const& target,
           std::vector<block_hash> const& blocks) -> std::size_t
{
    for (auto const& each : it.warm_targets(blocks))
    {
        if (each.target == target)
        {
            return each.blocks;
        }
    }
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_hints_of_a_host)

BOOST_AUTO_TEST_CASE(know_the_cached_depth_of_a_prompt_at_each_target)
{
    auto it = prefix_hints{{}};
    auto const whole = prompt(1, 40);
    it.dispatched(a, whole);
    it.dispatched(b, std::span{whole}.first(17));
    BOOST_TEST(depth(it, a, whole) == 40U);
    BOOST_TEST(depth(it, b, whole) == 16U);
    BOOST_TEST(it.warm_targets(whole).front().target == a);
    BOOST_TEST(it.warm_targets(prompt(2, 40)).empty());
}

BOOST_AUTO_TEST_CASE(apply_cache_events_of_tracked_blocks_only)
{
    auto it = prefix_hints{{}};
    auto const whole = prompt(1, 40);
    it.dispatched(a, whole);
    auto const events = std::vector<cache_event>{
        {false, whole[39]}, {false, whole[31]}, {true, 123456}};
    it.cache_events(a, events, false);
    BOOST_TEST(depth(it, a, whole) == 24U);
    it.cache_events(b, std::vector<cache_event>{{true, whole[15]}}, false);
    BOOST_TEST(depth(it, b, whole) == 16U);
    BOOST_TEST(it.size() == 5U);
}

BOOST_AUTO_TEST_CASE(are_discarded_after_a_gap_in_the_events)
{
    auto it = prefix_hints{{}};
    auto const whole = prompt(1, 40);
    it.dispatched(a, whole);
    it.dispatched(b, whole);
    it.cache_events(a, std::vector<cache_event>{{true, whole[7]}}, true);
    BOOST_TEST(depth(it, a, whole) == 8U);
    BOOST_TEST(depth(it, b, whole) == 40U);
}

BOOST_AUTO_TEST_CASE(are_not_inherited_from_a_removed_target)
{
    auto it = prefix_hints{{}};
    auto const whole = prompt(1, 40);
    it.dispatched(a, whole);
    it.remove_target(a);
    it.dispatched(b, std::span{whole}.first(8));
    BOOST_TEST(depth(it, a, whole) == 0U);
    BOOST_TEST(depth(it, b, whole) == 8U);
}

BOOST_AUTO_TEST_CASE(are_bounded)
{
    auto it = prefix_hints{{8, 100}};
    for (auto n = block_hash{0}; n < 1000; ++n)
    {
        it.dispatched(a, prompt(n, 40));
    }
    BOOST_TEST(it.size() == 100U);
}

BOOST_AUTO_TEST_CASE(agree_with_a_plain_map)
{
    BOOST_TEST(rc::check(
        "hints agree with a map of sets",
        [](std::vector<std::uint8_t> const& steps)
        {
            auto it = prefix_hints{{}};
            auto reference = std::map<target_id, std::set<block_hash>>{};
            auto known = std::set<block_hash>{};
            for (auto const step : steps)
            {
                auto const& target = step % 2 == 0 ? a : b;
                auto const blocks =
                    prompt(step % 5, std::size_t{8} * (1 + step % 3));
                auto const last = blocks.back();
                if (step < 150)
                {
                    it.dispatched(target, blocks);
                    for (auto n = 7U; n < blocks.size(); n += 8)
                    {
                        reference[target].insert(blocks[n]);
                        known.insert(blocks[n]);
                    }
                    continue;
                }
                auto const gap = step > 240;
                auto const stored = step % 7 < 3;
                it.cache_events(target,
                                std::vector<cache_event>{{stored, last}}, gap);
                if (gap)
                {
                    reference[target].clear();
                }
                reference[target].erase(last);
                if (stored && known.contains(last))
                {
                    reference[target].insert(last);
                }
            }
            for (auto const& target : {a, b})
            {
                for (auto n = block_hash{0}; n < 5; ++n)
                {
                    auto const blocks = prompt(n, 24);
                    auto deepest = 0U;
                    for (auto k = 8U; k <= 24; k += 8)
                    {
                        auto const held =
                            reference[target].contains(blocks[k - 1]);
                        deepest = held ? k : deepest;
                    }
                    RC_ASSERT(depth(it, target, blocks) == deepest);
                }
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()
