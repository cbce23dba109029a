#include "routing/router.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace primrosedeal;
using namespace primrosedeal::routing;

namespace
{

auto const start = time_point{100s};

auto fleet(std::size_t n) -> std::vector<candidate>
{
    auto all = std::vector<candidate>{};
    for (auto k = std::size_t{0}; k < n; ++k)
    {
        auto it = candidate{};
        it.id = target_id{"t" + std::to_string(k)};
        it.domain = domain_id{k % 2 == 0 ? "near" : "far"};
        it.slots = 4;
        it.models = {{model_id{"fitting"}, model_version{"1"}, {}}};
        all.push_back(it);
    }
    return all;
}

auto fitting() -> routing_request
{
    auto it = routing_request{};
    it.model = model_id{"fitting"};
    it.version = model_version{"1"};
    it.own_domain = domain_id{"near"};
    return it;
}

auto chosen(outcome const& it) -> std::string
{
    auto const* success = std::get_if<choice>(&it);
    return success == nullptr ? std::string{to_string(std::get<reason>(it))}
                              : success->target.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_router)

BOOST_AUTO_TEST_SUITE(chooses_only_eligible_targets)

BOOST_AUTO_TEST_CASE(live_before_suspect_and_never_leaving_or_failed)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto targets = fleet(4);
    targets[0].state = target_state::leaving;
    targets[1].state = target_state::failed;
    targets[2].state = target_state::suspect;
    BOOST_TEST(chosen(it.choose(fitting(), targets, start, random)) == "t3");
    targets[3].state = target_state::leaving;
    BOOST_TEST(chosen(it.choose(fitting(), targets, start, random)) == "t2");
    targets[2].state = target_state::failed;
    BOOST_TEST(chosen(it.choose(fitting(), targets, start, random)) ==
               to_string(reason::no_target));
}

BOOST_AUTO_TEST_CASE(with_the_same_model_version_and_adapter)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto targets = fleet(3);
    targets[0].models[0].version = model_version{"2"};
    targets[1].models[0].adapters = {adapter_id{"shop"}};
    auto item = fitting();
    item.adapter = adapter_id{"shop"};
    BOOST_TEST(chosen(it.choose(item, targets, start, random)) == "t1");
    item.adapter = adapter_id{"other"};
    BOOST_TEST(chosen(it.choose(item, targets, start, random)) ==
               to_string(reason::no_target));
}

BOOST_AUTO_TEST_CASE(never_an_excluded_target)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto const targets = fleet(2);
    auto const tried = std::vector{target_id{"t0"}};
    auto item = fitting();
    item.excluded = tried;
    for (auto n = 0; n < 20; ++n)
    {
        BOOST_TEST(chosen(it.choose(item, targets, start, random)) == "t1");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keeps_prefixes_together)

BOOST_AUTO_TEST_CASE(on_the_same_target_from_every_host)
{
    auto settings = router_settings{};
    settings.local_copy_probability = 0;
    auto random = random_source{1};
    auto const targets = fleet(24);
    auto taken = std::set<std::string>{};
    for (auto key = block_hash{1}; key < 50; ++key)
    {
        auto const blocks = std::vector<block_hash>(200, key);
        auto item = fitting();
        item.blocks = blocks;
        auto a = router{settings};
        auto b = router{settings};
        auto const first = chosen(a.choose(item, targets, start, random));
        BOOST_TEST(first == chosen(b.choose(item, targets, start, random)));
        a.reported(target_id{first}, {4, 20, start});
        b.reported(target_id{first}, {4, 20, start});
        auto const next = chosen(a.choose(item, targets, start, random));
        BOOST_TEST(next == chosen(b.choose(item, targets, start, random)));
        taken.insert(first);
    }
    BOOST_TEST(taken.size() > 12U);
}

BOOST_AUTO_TEST_CASE(in_the_own_domain_where_crossing_saves_too_little)
{
    auto settings = router_settings{};
    settings.cross_domain_cost = 10s;
    auto const it = router{settings};
    auto random = random_source{1};
    auto const targets = fleet(24);
    for (auto key = block_hash{1}; key < 50; ++key)
    {
        auto const blocks = std::vector<block_hash>(200, key);
        auto item = fitting();
        item.blocks = blocks;
        auto const made = it.choose(item, targets, start, random);
        BOOST_TEST(!std::get<choice>(made).cross_domain);
    }
}

BOOST_AUTO_TEST_CASE(except_on_a_target_above_the_load_bound)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto const targets = fleet(24);
    auto const blocks = std::vector<block_hash>(200, 9);
    auto item = fitting();
    item.blocks = blocks;
    auto const first = chosen(it.choose(item, targets, start, random));
    it.reported(target_id{first}, {4, 20, start});
    BOOST_TEST(chosen(it.choose(item, targets, start, random)) != first);
}

BOOST_AUTO_TEST_CASE(on_the_preferred_target_while_it_is_live)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto targets = fleet(24);
    auto item = fitting();
    item.preferred = target_id{"t17"};
    BOOST_TEST(chosen(it.choose(item, targets, start, random)) == "t17");
    targets[17].state = target_state::leaving;
    BOOST_TEST(chosen(it.choose(item, targets, start, random)) != "t17");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_every_target_is_full)

BOOST_AUTO_TEST_CASE(
    refuses_lower_priorities_first_and_never_resumed_generations)
{
    auto settings = router_settings{};
    settings.max_queue_share = 0.25;
    auto it = router{settings};
    auto random = random_source{1};
    auto const targets = fleet(2);
    auto item = fitting();
    auto const refused_at = [&](std::uint32_t waiting, int priority)
    {
        it.reported(target_id{"t0"}, {4, waiting, start});
        it.reported(target_id{"t1"}, {4, waiting, start});
        item.priority = priority;
        return chosen(it.choose(item, targets, start, random)) == "overloaded";
    };
    BOOST_TEST(refused_at(0, -1));
    BOOST_TEST(!refused_at(0, 0));
    BOOST_TEST(refused_at(1, 0));
    BOOST_TEST(!refused_at(1, 1));
    BOOST_TEST(refused_at(2, 1));
    item.resume = true;
    BOOST_TEST(!refused_at(50, -1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_random)

BOOST_AUTO_TEST_CASE(chooses_an_eligible_target_or_returns_the_reason)
{
    BOOST_TEST(rc::check(
        "chosen targets are eligible",
        [](std::uint64_t seed, std::vector<std::uint8_t> const& kinds)
        {
            auto random = random_source{seed};
            auto it = router{{}};
            auto targets = fleet(kinds.size());
            auto blocks = std::vector<block_hash>{};
            for (auto n = std::size_t{0}; n < kinds.size(); ++n)
            {
                targets[n].state = static_cast<target_state>(kinds[n] % 4);
                targets[n].models[0].version =
                    model_version{kinds[n] % 3 == 0 ? "2" : "1"};
                it.reported(targets[n].id, {kinds[n] % 8U, 0, start});
                blocks.push_back(kinds[n]);
            }
            auto item = fitting();
            item.blocks = blocks;
            auto const count = [&](target_state state)
            {
                return std::ranges::count_if(
                    targets, [&](candidate const& each)
                    { return each.state == state && serves(each, item); });
            };
            auto const made = it.choose(item, targets, start, random);
            auto const usable = count(target_state::live) != 0
                                    ? target_state::live
                                    : target_state::suspect;
            if (count(usable) == 0)
            {
                RC_ASSERT(std::get<reason>(made) == reason::no_target);
            }
            else if (auto const* success = std::get_if<choice>(&made))
            {
                auto const found =
                    std::ranges::find(targets, success->target, &candidate::id);
                RC_ASSERT(found->state == usable);
                RC_ASSERT(serves(*found, item));
            }
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
