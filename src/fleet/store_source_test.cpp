#include "fleet/feed_message.hpp"
#include "fleet/store_source.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

namespace primrosedeal::fleet
{

namespace
{

auto peer(std::string id, bool watches, bool failed = false) -> domain_peer
{
    return {host_id{std::move(id)},
            watches ? std::optional{duration{1s}} : std::nullopt, failed};
}

auto choose(std::string const& self, bool watches,
            std::vector<domain_peer> const& peers) -> store_source
{
    return choose_source({host_id{self},
                          watches ? std::optional{duration{1s}} : std::nullopt,
                          discovery_time, true, peers});
}

auto followed(store_source const& it) -> std::string
{
    auto const* const peer = std::get_if<follow_peer>(&it);
    return peer == nullptr ? "" : peer->id.value();
}

/// Calls to the store for `changes` successive changes, each of which ends the
/// watch of every host that has one.
auto store_calls(std::size_t hosts, int changes, bool use_feeds) -> std::size_t
{
    auto watching = std::vector<bool>(hosts, true);
    auto const name = [](std::size_t i)
    {
        return "h" + std::to_string(100 + i);
    };
    auto calls = std::size_t{0};
    for (auto change = 0; change < changes; ++change)
    {
        auto const before = watching;
        for (auto i = std::size_t{0}; i < hosts; ++i)
        {
            calls += before[i] ? 1 : 0;
            auto peers = std::vector<domain_peer>{};
            for (auto other = std::size_t{0}; other < hosts; ++other)
            {
                if (other != i)
                {
                    peers.push_back(peer(name(other), before[other]));
                }
            }
            watching[i] = !use_feeds ||
                          followed(choose(name(i), before[i], peers)).empty();
        }
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host)

BOOST_AUTO_TEST_CASE(watches_the_store_if_nobody_else_does)
{
    BOOST_TEST(followed(choose("b", false, {})).empty());
    BOOST_TEST(followed(choose("b", false, {peer("a", false)})).empty());
    BOOST_TEST(followed(choose("b", true, {peer("a", false)})).empty());
}

BOOST_AUTO_TEST_CASE(follows_the_first_watching_host_of_its_domain)
{
    BOOST_TEST(followed(choose("c", true,
                               {peer("b", true), peer("a", false)})) == "b");
    BOOST_TEST(followed(choose("a", false,
                               {peer("c", true), peer("b", true)})) == "b");
    BOOST_TEST(followed(choose("a", true, {peer("c", true)})).empty());
}

BOOST_AUTO_TEST_CASE(follows_one_that_has_watched_for_long_at_any_id)
{
    auto const settled_peer =
        domain_peer{host_id{"d"}, std::optional{settled_contact}, false};
    BOOST_TEST(followed(choose("c", true, {peer("a", true), settled_peer})) ==
               "d");
    // It has just started, and so has the other one.
    auto const peers = std::vector<domain_peer>{peer("a", true)};
    auto it = source_view{host_id{"c"}, duration{500ms}, duration{500ms}, true,
                          peers};
    BOOST_TEST(followed(choose_source(it)).empty());
    BOOST_TEST((std::get<watch_store>(choose_source(it)).pause == start_pause));
    it.others_registered = false;
    BOOST_TEST((std::get<watch_store>(choose_source(it)).pause == 0s));
    it.age = discovery_time;
    BOOST_TEST(followed(choose_source(it)) == "a");
}

BOOST_AUTO_TEST_CASE(and_its_source_do_not_follow_each_other)
{
    auto const holds = rc::check(
        [](bool first_settled, bool second_settled, bool seen_late)
        {
            auto const young = std::optional{duration{1s}};
            auto const old = std::optional{settled_contact};
            auto const actual = std::vector{first_settled ? old : young,
                                            second_settled ? old : young};
            // Reports lag behind.
            auto const a =
                domain_peer{host_id{"a"}, seen_late ? young : actual[0], false};
            auto const b =
                domain_peer{host_id{"b"}, seen_late ? young : actual[1], false};
            auto const by_a = choose_source(
                {a.id, actual[0], discovery_time, true, std::vector{b}});
            auto const by_b = choose_source(
                {b.id, actual[1], discovery_time, true, std::vector{a}});
            RC_ASSERT(followed(by_a).empty() || followed(by_b).empty());
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(does_not_follow_a_host_whose_feed_failed)
{
    BOOST_TEST(followed(choose("c", false,
                               {peer("a", true, true), peer("b", true)})) ==
               "b");
    BOOST_TEST(followed(choose("c", false, {peer("a", true, true)})).empty());
}

BOOST_AUTO_TEST_CASE(retries_less_often_the_more_hosts_precede_it)
{
    auto const it = choose("c", false,
                           {peer("a", false), peer("b", false),
                            peer("d", false), peer("e", false)});
    BOOST_TEST(std::get<watch_store>(it).hosts_ahead == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_domain_whose_engines_register_again)

BOOST_AUTO_TEST_CASE(costs_one_store_call_per_change_instead_of_one_per_host)
{
    constexpr auto hosts = std::size_t{21};
    constexpr auto changes = 100;
    BOOST_TEST(store_calls(hosts, changes, false) == hosts * changes);
    BOOST_TEST(store_calls(hosts, changes, true) == hosts + changes - 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_message_of_the_feed)

BOOST_AUTO_TEST_CASE(is_unchanged_by_encoding_and_decoding)
{
    auto const holds = rc::check(
        [](std::string const& key, std::string const& bytes, bool has_value,
           bool too_large, std::int64_t at)
        {
            auto const value = has_value ? std::optional{bytes} : std::nullopt;
            auto it = feed_message{};
            it.in_contact = too_large;
            it.at = external::store_revision{at};
            it.entries.push_back(
                {key, value, too_large, external::store_revision{at}});
            auto const out = decode_feed_message(encode(it));
            RC_ASSERT(out.has_value());
            RC_ASSERT(out->in_contact == too_large);
            RC_ASSERT(out->at.value() == at);
            RC_ASSERT(out->entries.size() == 1U);
            RC_ASSERT(out->entries[0].key == key);
            RC_ASSERT(out->entries[0].value == value);
            RC_ASSERT(out->entries[0].too_large == too_large);
            RC_ASSERT(out->entries[0].at.value() == at);
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_rejected)
{
    auto const holds = rc::check(
        [](std::string const& bytes)
        {
            auto const it = decode_feed_message(bytes);
            RC_ASSERT(!it || !bytes.empty());
        });
    BOOST_TEST(holds);
    BOOST_TEST(!decode_feed_message("").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_list_of_targets)

BOOST_AUTO_TEST_CASE(is_current_in_contact_and_by_a_recent_copy_of_a_peer)
{
    auto it = copy_view{};
    it.answers_others = true;
    it.hosts_heard = 7;
    it.hosts_known = 8;
    BOOST_TEST(!list_is_current(it));
    it.peer_copy_age = peer_copy_lifetime;
    BOOST_TEST(list_is_current(it));
    it.peer_copy_age = peer_copy_lifetime + 1us;
    BOOST_TEST(!list_is_current(it));
    it.in_contact = true;
    BOOST_TEST(list_is_current(it));
}

BOOST_AUTO_TEST_CASE(is_current_while_the_store_answers_nobody)
{
    auto it = copy_view{};
    it.hosts_heard = 4;
    it.hosts_known = 8;
    BOOST_TEST(list_is_current(it));
    // Those that are not heard may have been answered.
    it.hosts_heard = 3;
    BOOST_TEST(!list_is_current(it));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
