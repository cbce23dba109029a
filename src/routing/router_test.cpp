#include "routing/router.hpp"

#include <boost/test/unit_test.hpp>

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

auto fitting() -> work
{
    auto it = work{};
    it.model = model_id{"fitting"};
    it.version = model_version{"1"};
    it.own_domain = domain_id{"near"};
    return it;
}

auto chosen(outcome const& it) -> std::string
{
    auto const* yes = std::get_if<choice>(&it);
    return yes == nullptr ? std::string{to_string(std::get<reason>(it))}
                          : yes->target.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_router)

BOOST_AUTO_TEST_SUITE(takes_only_targets_that_may_do_the_work)

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

BOOST_AUTO_TEST_CASE(never_an_excluded_one)
{
    auto it = router{{}};
    auto random = random_source{1};
    auto const targets = fleet(2);
    auto const met = std::vector{target_id{"t0"}};
    auto item = fitting();
    item.excluded = met;
    for (auto n = 0; n < 20; ++n)
    {
        BOOST_TEST(chosen(it.choose(item, targets, start, random)) == "t1");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
