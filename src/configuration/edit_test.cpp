#include "configuration/world_reference.hpp"
#include "configuration/yaml.hpp"

#include <boost/test/unit_test.hpp>

using namespace primrosedeal;
using namespace primrosedeal::configuration;

namespace
{

auto with_priority(document it, std::uint64_t priority) -> document
{
    it.defaults.admission.priority = priority;
    return it;
}

auto changed(document const& it, revision number,
             std::vector<cell_change> const& by) -> document
{
    auto merged = merge(to_cells(it), by);
    auto record = change_record{};
    record.id = change_id{std::to_string(number.value())};
    record.made = number;
    record.cells = merged.changed;
    auto next = from_cells(merged.merged);
    next.number = number;
    next.changes = it.changes;
    next.changes.push_back(record);
    return next;
}

auto set_priority(std::uint64_t priority) -> edit_plan
{
    return [priority](document const& it)
    {
        return difference(to_cells(it), to_cells(with_priority(it, priority)));
    };
}

auto outcome_of(edit_step const& it) -> acceptance
{
    return std::get<edit_outcome>(it).result;
}

auto many_organisations(std::size_t count) -> document
{
    auto it = document{};
    it.number = revision{1};
    for (auto i = std::size_t{0}; i < count; ++i)
    {
        auto const name = "organisation-" + std::to_string(i);
        it.organisations.push_back({organisation_id{name}, {hash_key(name)}});
    }
    return it;
}

} // namespace

BOOST_AUTO_TEST_SUITE(an_edit)

BOOST_AUTO_TEST_CASE(is_written_under_the_revision_it_read_and_accepted)
{
    auto random = random_source{1};
    auto it = edit{{change_id{"x"}, "me", set_priority(7)}, {}};
    auto const step =
        it.on_document({{}, external::store_revision{5}}, {}, random);
    auto const& sent = std::get<write_document>(step);
    BOOST_TEST(sent.expected.value() == 5);
    BOOST_TEST(sent.content.number.value() == 1);
    auto const done = it.on_written();
    BOOST_TEST((outcome_of(done) == acceptance::accepted));
    BOOST_TEST(std::get<edit_outcome>(done).number.value() == 1);
}

BOOST_AUTO_TEST_CASE(shows_the_others_change_where_both_changed_the_same)
{
    auto random = random_source{1};
    auto it = edit{{change_id{"x"}, "me", set_priority(7)}, {}};
    auto const base = with_priority(document{}, 4);
    it.on_document({base, external::store_revision{5}}, {}, random);
    it.on_condition_failed();
    auto const theirs = changed(base, revision{1}, set_priority(2)(base));
    auto step =
        it.on_document({theirs, external::store_revision{6}}, {}, random);
    BOOST_TEST(std::holds_alternative<pause_step>(step));
    step = it.on_document({theirs, external::store_revision{6}}, {}, random);
    auto const& outcome = std::get<edit_outcome>(step);
    BOOST_TEST((outcome.result == acceptance::not_accepted));
    BOOST_REQUIRE(outcome.conflicts.size() == 1);
    BOOST_TEST(*outcome.conflicts.front().theirs == "2");
    BOOST_TEST(*outcome.conflicts.front().mine == "7");
}

BOOST_AUTO_TEST_CASE(repeated_after_its_lost_answer_finds_itself)
{
    auto random = random_source{1};
    auto accepted = changed({}, revision{1}, set_priority(7)({}));
    accepted.changes.front().id = change_id{"x"};
    // Meanwhile another operator has set it to 3.
    auto const later =
        changed(accepted, revision{2}, set_priority(3)(accepted));
    auto it = edit{{change_id{"x"}, "me", set_priority(7), true}, {}};
    auto const step =
        it.on_document({later, external::store_revision{9}}, {}, random);
    BOOST_TEST((outcome_of(step) == acceptance::accepted));
    BOOST_TEST(std::get<edit_outcome>(step).number.value() == 1);
}

BOOST_AUTO_TEST_CASE(that_reaches_nobody_is_not_accepted_unless_it_is_a_repeat)
{
    auto random = random_source{1};
    for (auto const repeated : {false, true})
    {
        auto const expected_outcome =
            repeated ? acceptance::unknown : acceptance::not_accepted;
        auto it = edit{{change_id{"x"}, "me", set_priority(7), repeated},
                       {2, 10, {}}};
        it.on_read_failure(random);
        BOOST_TEST(
            (outcome_of(it.on_read_failure(random)) == expected_outcome));

        auto sent = edit{{change_id{"x"}, "me", set_priority(7), repeated},
                         {1, 10, {}}};
        sent.on_document({}, {}, random);
        sent.on_write_failure(external::call_fault::not_sent, random);
        BOOST_TEST(
            (outcome_of(sent.on_read_failure(random)) == expected_outcome));
    }
}

BOOST_AUTO_TEST_CASE(whose_parts_never_stay_is_given_up)
{
    auto random = random_source{1};
    auto it = edit{{change_id{"x"}, "me", set_priority(7)}, {2, 10, {}}};
    auto step = it.on_document({}, {}, random);
    auto writes = 0;
    while (std::holds_alternative<write_document>(step) && writes < 10)
    {
        ++writes;
        it.on_condition_failed();
        step = it.on_document({}, {}, random);
    }
    BOOST_TEST(writes == 3);
    BOOST_TEST((outcome_of(step) == acceptance::not_accepted));
}

BOOST_AUTO_TEST_CASE(that_makes_no_sense_with_what_others_accepted_is_refused)
{
    auto random = random_source{1};
    auto plan = [](document const& it)
    {
        auto next = it;
        next.exceptions.push_back({{{}, service_id{"nowhere"}, {}},
                                   "admission.priority",
                                   std::uint64_t{1},
                                   "r",
                                   "a",
                                   {},
                                   false});
        return difference(to_cells(it), to_cells(next));
    };
    auto it = edit{{change_id{"x"}, "me", plan}, {}};
    auto const step = it.on_document({}, {}, random);
    BOOST_TEST((outcome_of(step) == acceptance::not_accepted));
    BOOST_TEST(std::get<edit_outcome>(step).reasons.front() ==
               "exceptions 1: scope.service: expected a declared service");
}

BOOST_AUTO_TEST_CASE(of_an_older_release_leaves_a_later_document_alone)
{
    auto random = random_source{1};
    auto it = edit{{change_id{"x"}, "me", set_priority(7)}, {}};
    auto const step = it.on_document({{}, {}, stored_format + 1}, {}, random);
    BOOST_TEST((outcome_of(step) == acceptance::not_accepted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_file_taken_from_an_older_revision)

BOOST_AUTO_TEST_CASE(changes_only_what_its_editor_changed)
{
    auto base = document{};
    base.number = revision{1};
    base.changes.push_back({change_id{"0"}, revision{1}, "a", {}, {}, false});
    auto const theirs = [](document const& it)
    {
        auto next = it;
        next.defaults.retry.burst = 77;
        return difference(to_cells(it), to_cells(next));
    };
    auto const current = changed(base, revision{2}, theirs(base));
    auto const mine = with_priority(base, 9);
    auto const by = changes_since(current, revision{1}, to_cells(mine));
    BOOST_REQUIRE(by);
    BOOST_REQUIRE(by->size() == 1);
    auto const merged = from_cells(merge(to_cells(current), *by).merged);
    BOOST_TEST(merged.defaults.retry.burst == 77);
    BOOST_TEST(merged.defaults.admission.priority == 9);
    BOOST_TEST(!changes_since(current, revision{3}, to_cells(mine)));
    BOOST_TEST(!changes_since(current, revision{0}, {}).has_value() ==
               (current.changes.front().made.value() > 1));
}

BOOST_AUTO_TEST_CASE(is_too_old_once_the_history_has_passed_it)
{
    auto current = document{};
    current.number = revision{9};
    current.changes.push_back(
        {change_id{"9"}, revision{9}, "a", {}, {}, false});
    BOOST_TEST(changes_since(current, revision{8}, {}).has_value());
    BOOST_TEST(!changes_since(current, revision{7}, {}).has_value());
    current.changes.back().wide = true;
    BOOST_TEST(!changes_since(current, revision{8}, {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_stored_form)

BOOST_AUTO_TEST_CASE(gives_back_what_was_encoded)
{
    auto it = many_organisations(2500);
    it.defaults.generation.journal_after = 30s;
    it.changes.push_back(
        {change_id{"x"}, revision{1}, "a", {}, {{4, 5}}, false});
    auto const encoded = encode(it);
    BOOST_TEST(encoded.parts.size() == 4);
    auto const back = decode(encoded.head, encoded.parts);
    BOOST_TEST((to_cells(back) == to_cells(it)));
    BOOST_TEST((back.changes == it.changes));
}

BOOST_AUTO_TEST_CASE(rewrites_one_part_for_one_organisation)
{
    auto it = many_organisations(2500);
    auto const before = encode(it);
    it.organisations[17].keys.push_back(hash_key("another"));
    auto const after = encode(it);
    auto const is_new = [&](auto const& part)
    {
        return !before.parts.contains(part.first);
    };
    BOOST_TEST(std::ranges::count_if(after.parts, is_new) == 1);
}

BOOST_AUTO_TEST_CASE(refuses_a_value_over_the_limit)
{
    auto it = document{};
    auto const reason = std::string(400, 'r');
    for (auto i = 0; i < 2500; ++i)
    {
        it.exceptions.push_back({{organisation_id{std::to_string(i)}, {}, {}},
                                 "admission.priority",
                                 std::uint64_t{1},
                                 reason,
                                 "a",
                                 {},
                                 false});
    }
    BOOST_CHECK_THROW(encode(it), stored_form_error);
}

BOOST_AUTO_TEST_CASE(that_is_damaged_is_refused)
{
    auto const encoded = encode(many_organisations(3));
    BOOST_CHECK_THROW(decode(encoded.head, {}), stored_form_error);
    BOOST_CHECK_THROW(decode("", {}), stored_form_error);
    BOOST_CHECK_THROW(read_head("\x01"), stored_form_error);
    for (auto n = std::size_t{0}; n < encoded.head.size(); n += 7)
    {
        BOOST_CHECK_THROW(decode(encoded.head.substr(0, n), encoded.parts),
                          stored_form_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host)

BOOST_AUTO_TEST_CASE(that_starts_during_an_outage_takes_it_from_a_peer)
{
    auto world = control_world{1, 3,
                               [](document const& it, unsigned)
                               {
                                   return set_priority(7)(it);
                               }};
    world.heal_and_settle();
    BOOST_REQUIRE(world.store.log.size() == 1);
    world.store.up = false;
    world.restart_host(1);
    BOOST_TEST(*world.hosts[1].machine.not_ready() ==
               "no revision yet: waiting for the key-value service or a peer");
    for (auto i = 0; i < 20; ++i)
    {
        world.now += 500ms;
        world.tick_host(1, true);
    }
    BOOST_TEST(world.hosts[1].machine.not_ready()->find("does not answer") !=
               std::string::npos);
    world.gossip(1, 0, true);
    BOOST_TEST(!world.hosts[1].machine.not_ready());
    BOOST_TEST(world.hosts[1].machine.number().value() == 1);
    BOOST_TEST(world.hosts[1].machine.counters().adopted_from_peers == 1);
}

BOOST_AUTO_TEST_CASE(never_goes_back_for_a_late_answer_of_a_peer)
{
    auto const first = changed({}, revision{1}, set_priority(7)({}));
    auto const second = changed(first, revision{2}, set_priority(3)(first));
    auto it = follower{host_id{"h"}, {}, {}, 1};
    auto const late = encode(first);
    auto const last = encode(second);
    BOOST_TEST(it.on_peer_answer({last.head, last.parts}, {}).size() == 1);
    BOOST_TEST(it.on_peer_answer({late.head, late.parts}, {}).empty());
    BOOST_TEST(it.on_watch_value(late.head, {}, {}).empty());
    BOOST_TEST(it.number().value() == 2);
    BOOST_TEST(it.counters().older_ignored == 2);
}

BOOST_AUTO_TEST_CASE(keeps_all_through_an_hour_without_the_service)
{
    auto world = control_world{1, 3,
                               [](document const& it, unsigned)
                               {
                                   return set_priority(7)(it);
                               }};
    world.heal_and_settle();
    world.store.up = false;
    for (auto i = 0; i < 3600; ++i)
    {
        world.now += 1s;
        for (auto n = 0U; n < 3; ++n)
        {
            world.tick_host(n, true);
            BOOST_REQUIRE(world.hosts[n].machine.number().value() == 1);
        }
    }
    auto const it = world.hosts[0].machine.current();
    BOOST_TEST(effective(*it, {}, {}, {}, {}).admission.priority == 7);
}

BOOST_AUTO_TEST_CASE(holds_the_watch_only_among_a_few_of_its_failure_domain)
{
    auto hosts = std::vector<host_id>{};
    for (auto n = 0; n < 32; ++n)
    {
        hosts.emplace_back("h" + std::to_string(n));
    }
    auto const holds = [&](host_id const& it)
    {
        return is_watch_holder(it, hosts, 2);
    };
    BOOST_TEST(std::ranges::count_if(hosts, holds) == 2);
    auto const gone = *std::ranges::find_if(hosts, holds);
    std::erase(hosts, gone);
    BOOST_TEST(std::ranges::count_if(hosts, holds) == 2);
}

BOOST_AUTO_TEST_CASE(puts_a_peers_message_together_from_pieces)
{
    auto const message = std::string(1000, 'x') + "end";
    auto joiner = message_joiner{byte_count{2000}};
    auto whole = std::optional<std::string>{};
    for (auto const& piece : split_message(message, byte_count{108}))
    {
        BOOST_TEST(piece.size() <= 108);
        BOOST_TEST(!whole);
        whole = joiner.add(piece);
    }
    BOOST_TEST((whole == message));
    auto const pieces = split_message(message, byte_count{108});
    BOOST_TEST(!joiner.add(pieces[0]));
    BOOST_TEST(!joiner.add(pieces[2]));
    BOOST_TEST(!joiner.add(pieces[1]));
    BOOST_TEST(!joiner.add("short"));
}

BOOST_AUTO_TEST_SUITE_END()
