#include "standins/key_value_store.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace primrosedeal::standins
{

namespace
{

constexpr auto start = time_point{10s};

auto create(std::string const& key, std::string const& value)
    -> store_transaction
{
    return {{{key, compare_target::created, compare_result::equal, 0, ""}},
            {put_operation{key, value, {}}},
            {range_operation{{key, ""}, false}}};
}

/// A store without leases in the most obvious way: every past state whole.
struct naive_store
{
    struct value
    {
        std::string text;
        std::int64_t modified = 0;
    };

    std::vector<std::map<std::string, value>> states{{}, {}};

    auto swap(std::string const& key, std::int64_t expected,
              std::string const& text) -> bool
    {
        auto next = states.back();
        if (next[key].modified != expected)
        {
            return false;
        }
        next[key] = {text, static_cast<std::int64_t>(states.size())};
        states.push_back(next);
        return true;
    }

    auto modified(std::string const& key) -> std::int64_t
    {
        auto copy = states.back();
        return copy[key].modified;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_stand_in_key_value_store)

BOOST_AUTO_TEST_CASE(creates_a_key_only_once)
{
    auto it = key_value_store{};
    BOOST_TEST(it.commit(create("a", "1"), start)->succeeded);
    auto const second = it.commit(create("a", "2"), start);
    BOOST_TEST(!second->succeeded);
    auto const& values = std::get<range_outcome>(second->outcomes.at(0)).values;
    BOOST_TEST(values.at(0).value == "1");
    BOOST_TEST(it.revision().value() == 2);
}

BOOST_AUTO_TEST_CASE(swaps_as_a_naive_store_does)
{
    auto const ok = rc::check(
        "compare and swap",
        [](std::uint64_t seed)
        {
            auto random = random_source{seed};
            auto it = key_value_store{};
            auto naive = naive_store{};
            for (auto n = 0; n < 40; ++n)
            {
                auto const key = std::string(1, "abc"[random.below(3)]);
                auto const fresh = random.below(2) == 0;
                auto const expected =
                    fresh ? naive.modified(key)
                          : static_cast<std::int64_t>(random.below(20));
                auto const text = std::to_string(n);
                auto const outcome =
                    it.commit({{{key, compare_target::modified,
                                 compare_result::equal, expected, ""}},
                               {put_operation{key, text, {}}},
                               {}},
                              start);
                RC_ASSERT(outcome->succeeded ==
                          naive.swap(key, expected, text));
            }
            auto const all = it.range({{"a", "d"}, false}, start);
            for (auto const& each : all)
            {
                RC_ASSERT(each.modified.value() == naive.modified(each.key));
                RC_ASSERT(each.value == naive.states.back()[each.key].text);
            }
            RC_ASSERT(it.revision().value() + 1 ==
                      static_cast<std::int64_t>(naive.states.size()));
        });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE(its_leases)

BOOST_AUTO_TEST_CASE(take_their_keys_along_when_they_end)
{
    auto it = key_value_store{};
    auto id = lease_id{7};
    BOOST_TEST(it.grant(id, 5s, start));
    BOOST_TEST(!it.grant(id, 5s, start));
    BOOST_TEST(it.put({"k", "v", id}, start));
    BOOST_TEST((it.keep_alive(id, start + 4s) == 5s));
    BOOST_TEST(it.range({{"k", ""}, false}, start + 8s).size() == 1U);
    BOOST_TEST((it.next_expiry() == start + 9s));
    BOOST_TEST(it.range({{"k", ""}, false}, start + 9s).empty());
    BOOST_TEST((it.keep_alive(id, start + 9s) == 0s));
    auto const events = it.events({"k", ""}, store_revision{1});
    BOOST_REQUIRE(events->size() == 2U);
    BOOST_TEST(events->back().deleted);
    BOOST_TEST((events->back().value.modified == it.revision()));
}

BOOST_AUTO_TEST_CASE(must_exist_for_a_put_or_nothing_is_done)
{
    auto it = key_value_store{};
    auto const done = it.commit(
        {{},
         {put_operation{"a", "1", {}}, put_operation{"b", "2", lease_id{9}}},
         {}},
        start);
    BOOST_TEST(!done.has_value());
    BOOST_TEST(it.range({{"a", ""}, false}, start).empty());
}

BOOST_AUTO_TEST_CASE(let_go_of_a_key_that_is_written_without_them)
{
    auto it = key_value_store{};
    auto id = lease_id{};
    it.grant(id, 1s, start);
    it.put({"k", "v", id}, start);
    it.put({"k", "w", {}}, start);
    BOOST_TEST(it.range({{"k", ""}, false}, start + 2s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(its_events)

BOOST_AUTO_TEST_CASE(come_by_range_from_a_revision_on)
{
    auto it = key_value_store{};
    it.put({"a1", "1", {}}, start);
    it.put({"b1", "2", {}}, start);
    it.put({"a2", "3", {}}, start);
    BOOST_TEST(it.remove({{"a", "b"}}, start) == 2);
    auto const events = it.events({"a", "b"}, store_revision{3});
    BOOST_REQUIRE(events->size() == 3U);
    BOOST_TEST(events->at(0).value.key == "a2");
    BOOST_TEST(events->at(1).deleted);
    BOOST_TEST(events->at(2).value.modified.value() == 5);
    BOOST_TEST(it.range({{"a", std::string(1, '\0')}, true}, start).size() ==
               1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::standins
