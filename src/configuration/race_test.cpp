#include "configuration/world_reference.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

// What must hold of edits and hosts whatever happens, in the world of
// world_reference.hpp.
namespace primrosedeal::configuration
{
namespace
{

/// Plans whose cells partly overlap, so that operators conflict, and that
/// touch head and parts.
auto plan_change(document const& current, unsigned n)
    -> std::vector<cell_change>
{
    auto next = current;
    if (next.services.empty())
    {
        next.services.push_back(
            {service_id{"fitting"}, service_kind::engine, false, {}});
    }
    switch (n % 4)
    {
    case 0:
        next.defaults.admission.priority = n % 10;
        break;
    case 1:
        next.organisations.push_back({organisation_id{"o" + std::to_string(n)},
                                      {hash_key(std::to_string(n))}});
        break;
    case 2:
        next.defaults.retry.burst = 100 + n;
        break;
    default:
        next.exceptions.push_back(
            {{{}, service_id{"fitting"}, {}},
             n % 8 == 3 ? "admission.priority" : "retry.burst",
             std::uint64_t{n % 10},
             "because " + std::to_string(n),
             "operator",
             {},
             false});
        break;
    }
    return difference(to_cells(current), to_cells(next));
}

auto times_accepted(control_world const& it, change_id const& id) -> long
{
    return std::ranges::count_if(
        it.store.log, [&](accepted_entry const& entry)
        { return entry.content.changes.back().id == id; });
}

/// Each accepted document is the one before it with one operator's changes.
void check_log(control_world const& it)
{
    auto before = cells{};
    auto number = std::uint64_t{0};
    for (auto const& entry : it.store.log)
    {
        auto const& made = entry.content.changes.back();
        auto const op =
            std::ranges::find(it.operators, made.id, &world_operator::id);
        RC_ASSERT(op != it.operators.end());
        RC_ASSERT(entry.content.number.value() == ++number);
        RC_ASSERT(made.made.value() == number);
        auto expected_cells = before.empty() ? to_cells(document{}) : before;
        for (auto const& change : op->changes)
        {
            if (change.after)
            {
                expected_cells[change.name] = *change.after;
            }
            else
            {
                expected_cells.erase(change.name);
            }
        }
        before = to_cells(entry.content);
        RC_ASSERT(before == expected_cells);
    }
}

void check_outcomes(control_world const& it)
{
    for (auto const& op : it.operators)
    {
        auto const times = times_accepted(it, op.id);
        RC_ASSERT(times <= 1);
        if (op.outcome() == nullptr ||
            op.outcome()->result == acceptance::unknown)
        {
            continue;
        }
        auto const& outcome = *op.outcome();
        if (outcome.result == acceptance::not_accepted)
        {
            RC_ASSERT(times == 0);
        }
        else if (times == 0)
        {
            // What others have accepted holds the change already.
            auto const& found =
                it.store.log.at(outcome.number.value() - 1).content;
            RC_ASSERT(merge(to_cells(found), op.changes).changed.empty());
        }
    }
}

void play(control_world& it, std::vector<std::uint32_t> const& events)
{
    for (auto const code : events)
    {
        it.now += 200ms;
        auto const op = (code >> 8U) % it.operators.size();
        auto const host = (code >> 8U) % it.hosts.size();
        auto const other = (code >> 16U) % it.hosts.size();
        auto const answers = ((code >> 24U) & 3U) != 0;
        switch (code % 16)
        {
        case 0:
            it.step_operator(op, fate::answer_lost);
            break;
        case 1:
            it.step_operator(op, fate::delayed);
            break;
        case 2:
            it.step_operator(op, fate::not_sent);
            break;
        case 3:
            it.deliver_delayed(code >> 8U);
            break;
        case 4:
            it.store.up = !it.store.up || answers;
            break;
        case 5:
            it.hosts[host].cut_from_store = !it.hosts[host].cut_from_store;
            break;
        case 6:
            it.hosts[host].cut_from_peers = !it.hosts[host].cut_from_peers;
            break;
        case 7:
            it.restart_host(host);
            break;
        case 8:
            it.store.prune();
            break;
        case 9:
        case 10:
            it.tick_host(host, answers);
            break;
        case 11:
            it.gossip(host, other, answers);
            break;
        default:
            it.step_operator(op, fate::answered);
        }
    }
}

void check_world(unsigned operators, unsigned hosts)
{
    auto const events = *rc::gen::resize(
        600, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::resize(
                 100, rc::gen::inRange<std::uint32_t>(0, ~0U))));
    auto it = control_world{operators, hosts, plan_change};
    play(it, events);
    check_log(it);
    check_outcomes(it);
    it.heal_and_settle();
    check_log(it);
    check_outcomes(it);
    for (auto const& op : it.operators)
    {
        RC_ASSERT(op.outcome() != nullptr);
        RC_ASSERT(op.outcome()->result != acceptance::unknown);
    }
    RC_ASSERT(it.faults.empty());
    for (auto const& host : it.hosts)
    {
        RC_ASSERT(host.machine.number().value() == it.store.log.size());
        RC_ASSERT(host.machine.not_ready().has_value() == it.store.log.empty());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(whatever_is_lost_paused_or_cut)

BOOST_AUTO_TEST_CASE(two_racing_operators_lose_no_accepted_edit)
{
    BOOST_TEST(rc::check("two operators", [] { check_world(2, 3); }));
}

BOOST_AUTO_TEST_CASE(ten_racing_operators_lose_no_accepted_edit)
{
    BOOST_TEST(rc::check("ten operators", [] { check_world(10, 4); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::configuration
