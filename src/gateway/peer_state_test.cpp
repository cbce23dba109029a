#include "gateway/peer_exchange.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace primrosedeal::gateway
{

namespace
{

auto revision(std::int64_t it) -> external::store_revision
{
    return external::store_revision{it};
}

/// Returns the entries after the first `changes` items of `history`. Values
/// divisible by 3 are removals.
auto entries_after(std::vector<std::uint8_t> const& history,
                   std::size_t changes) -> entry_map
{
    constexpr auto keys = 5;
    auto out = entry_map{};
    for (auto i = std::size_t{0}; i < changes; ++i)
    {
        auto const key = "k" + std::to_string(history[i] % keys);
        if (history[i] % 3 == 0)
        {
            out.erase(key);
        }
        else
        {
            out[key] = {std::to_string(i),
                        revision(static_cast<std::int64_t>(i) + 1)};
        }
    }
    return out;
}

auto same(entry_map const& a, entry_map const& b) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](auto const& x, auto const& y)
                      {
                          return x.first == y.first &&
                                 x.second.value == y.second.value &&
                                 x.second.mod_revision == y.second.mod_revision;
                      });
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_state_of_a_peer)

BOOST_AUTO_TEST_CASE(brings_an_older_copy_up_to_date)
{
    rc::check(
        [](std::vector<std::uint8_t> const& history, std::size_t cut)
        {
            auto const mine = history.empty() ? 0 : cut % history.size();
            auto const own = entries_after(history, mine);
            auto const peers = entries_after(history, history.size());
            auto const state = make_peer_state(
                revision(static_cast<std::int64_t>(mine)), peers,
                revision(static_cast<std::int64_t>(history.size())), true);
            auto const decoded = decode_peer_state(encode(state));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->fresh);
            auto const merged = merge(own, *decoded);
            if (mine == history.size())
            {
                RC_ASSERT(!merged);
                return;
            }
            RC_ASSERT(merged.has_value());
            RC_ASSERT(same(*merged, peers));
        });
}

BOOST_AUTO_TEST_CASE(sends_only_what_is_newer)
{
    auto peers = entry_map{};
    peers["large"] = {std::string(1000, 'x'), revision(3)};
    peers["small"] = {"y", revision(9)};
    auto const state = make_peer_state(revision(3), peers, revision(9), true);
    BOOST_TEST(state.newer.size() == 1U);
    BOOST_TEST(state.newer.contains("small"));
    BOOST_TEST(state.keys->size() == 2U);
}

// Revisions of a restored store are given out again, so a lower one may be
// newer.
BOOST_AUTO_TEST_CASE(is_whole_for_a_host_from_before_a_restoration)
{
    auto const in_era = [](std::int64_t it)
    {
        return external::store_revision{it, external::store_era{2}};
    };
    auto const entries =
        entry_map{{"a", {"1", in_era(1)}}, {"b", {"2", in_era(2)}}};
    auto const held = external::store_revision{9, external::store_era{1}};
    auto const it = decode_peer_state(
        encode(make_peer_state(held, entries, in_era(2), true)));
    BOOST_REQUIRE(it);
    BOOST_TEST(it->as_of == in_era(2));
    auto const merged = merge({{"c", {"lost", held}}}, *it);
    BOOST_REQUIRE(merged);
    BOOST_TEST(same(*merged, entries));
}

BOOST_AUTO_TEST_CASE(that_builds_on_an_unknown_entry_is_not_taken)
{
    auto peers = entry_map{};
    peers["k"] = {"x", revision(3)};
    auto const state = make_peer_state(revision(3), peers, revision(9), true);
    BOOST_TEST(!merge({}, state).has_value());
}

BOOST_AUTO_TEST_CASE(that_cannot_be_decoded_is_refused)
{
    rc::check(
        [](std::string const& bytes)
        {
            auto const it = decode_peer_state(bytes);
            RC_ASSERT(!it || !bytes.empty());
        });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
