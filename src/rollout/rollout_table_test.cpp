#include "rollout/rollout_table.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

// One host's rollouts: orders, statuses, and what the host writes.
namespace primrosedeal::rollout
{

namespace
{

auto const service = service_id{"s"};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};
auto const other = host_id{"other"};

auto at(duration since_start) -> time_point
{
    return time_point{100s + since_start};
}

auto order_of(int revision, software_version const& target = v2) -> order
{
    return {entry_revision{revision}, target, 16s};
}

struct one_table
{
    one_table()
    {
        fleet.may_write = true;
        fleet.all_heard = true;
        view.target_usable = true;
        view.others = {v1};
    }

    void update(duration now)
    {
        table.update(service, view, fleet, at(now));
    }

    /// Updates several times a second.
    void run(duration from, duration until)
    {
        for (auto now = from; now < until; now += 100ms)
        {
            update(now);
        }
    }

    auto writes(duration now) -> std::vector<status_write>
    {
        return table.next_writes(fleet, at(now));
    }

    auto permits(software_version const& version) -> bool
    {
        auto const it = table.permitted(service, {v1, v2});
        return it.preferred.contains(version) || it.otherwise.contains(version);
    }

    void observe_failures()
    {
        for (auto i = 0; i < 30; ++i)
        {
            table.observe(service, v1, {"r", false, false, 10ms, {}}, at(1s));
            table.observe(service, v2, {"r", false, true, 10ms, {}}, at(1s));
        }
    }

    rollout_table table{rollout_bounds{}};
    fleet_state fleet;
    service_view view;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_order)

BOOST_FIXTURE_TEST_CASE(is_in_progress_at_once, one_table)
{
    BOOST_TEST(table.apply(service, order_of(5), at(0s)));
    BOOST_TEST(!table.apply(service, order_of(5), at(0s)));
    view.target_usable = false;
    update(0s);
    auto const all = writes(0s);
    BOOST_REQUIRE(all.size() == 1U);
    BOOST_TEST((all.front().what == state::in_progress));
    BOOST_TEST(all.front().order.value() == 5);
    // It is repeated until the entry arrives.
    BOOST_TEST(writes(500ms).empty());
    BOOST_TEST(writes(1500ms).size() == 1U);
    table.apply(service, status{state::in_progress, v2, entry_revision{6}},
                at(2s));
    BOOST_TEST(writes(4s).empty());
}

BOOST_FIXTURE_TEST_CASE(is_written_later_by_hosts_that_others_precede,
                        one_table)
{
    table.apply(service, order_of(5), at(0s));
    fleet.hosts_ahead = 2;
    BOOST_TEST(writes(0s).empty());
    BOOST_TEST(writes(300ms).empty());
    BOOST_TEST(writes(400ms).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_rolled_back_by_its_evidence_until_a_newer_one,
                        one_table)
{
    table.apply(service, order_of(5), at(0s));
    update(0s);
    observe_failures();
    update(1s);
    BOOST_TEST(!permits(v2));
    BOOST_TEST(table.excludes(service, v2));
    auto const all = writes(1s);
    BOOST_REQUIRE(all.size() == 1U);
    BOOST_TEST((all.front().what == state::rolled_back));
    // A status of an earlier order, or of a write that took effect late.
    table.apply(service, status{state::in_progress, v2, entry_revision{6}},
                at(2s));
    BOOST_TEST(!permits(v2));
    // The same target again is a new order.
    BOOST_TEST(table.apply(service, order_of(9), at(3s)));
    update(3s);
    BOOST_TEST(permits(v2));
    auto const next = writes(3s);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST((next.front().what == state::in_progress));
}

BOOST_FIXTURE_TEST_CASE(stops_when_another_host_has_found_it_bad, one_table)
{
    table.apply(service, order_of(5), at(0s));
    update(0s);
    auto it = report{service, entry_revision{5}, 1s, true, false, {}};
    it.order = entry_revision{4};
    table.merge(other, {it}, at(1s));
    BOOST_TEST(permits(v2));
    it.order = entry_revision{5};
    table.merge(other, {it}, at(1s));
    BOOST_TEST(!permits(v2));
}

// The targets of both versions are listed for some seconds more.
BOOST_FIXTURE_TEST_CASE(of_another_version_brings_no_withdrawn_one_back,
                        one_table)
{
    auto const v3 = software_version{"v3"};
    table.apply(service, order_of(5), at(0s));
    table.apply(service, status{state::rolled_back, v2, entry_revision{6}},
                at(1s));
    table.apply(service, order_of(7, v3), at(2s));
    auto const it = table.permitted(service, {v1, v2, v3});
    BOOST_TEST((it.preferred == version_set{v1}));
    BOOST_TEST(it.otherwise.empty());
    // Nothing else could serve.
    BOOST_TEST(table.permitted(service, {v2, v3}).preferred.contains(v2));
}

// A host that the store does not answer learns of the end from others.
BOOST_FIXTURE_TEST_CASE(is_reported_for_a_while_after_its_end, one_table)
{
    table.apply(service, order_of(5), at(0s));
    table.apply(service, status{state::rolled_back, v2, entry_revision{6}},
                at(1s));
    BOOST_REQUIRE(table.reports(at(20s)).size() == 1U);
    BOOST_TEST(table.reports(at(20s)).front().bad);
    BOOST_TEST(table.reports(at(60s)).empty());
}

// A host that starts knows both entries before it serves.
BOOST_FIXTURE_TEST_CASE(starts_with_its_status, one_table)
{
    table.apply(service, status{state::rolled_back, v2, entry_revision{8}},
                at(0s));
    table.apply(service, order_of(5), at(0s));
    BOOST_TEST(!permits(v2));
    BOOST_TEST(writes(5s).empty());
}

BOOST_FIXTURE_TEST_CASE(takes_no_status_of_an_earlier_order, one_table)
{
    table.apply(service, status{state::rolled_back, v2, entry_revision{4}},
                at(0s));
    table.apply(service, order_of(5), at(0s));
    update(0s);
    BOOST_TEST(permits(v2));
}

BOOST_FIXTURE_TEST_CASE(keeps_the_final_status_that_is_stored, one_table)
{
    table.apply(service, order_of(5), at(0s));
    update(0s);
    observe_failures();
    update(1s);
    table.apply(service, status{state::completed, v2, entry_revision{7}},
                at(1s));
    BOOST_TEST(permits(v2));
    BOOST_TEST(!permits(v1));
    BOOST_TEST(table.excludes(service, v1));
    BOOST_TEST(writes(9s).empty());
}

// A store that is restored from a copy lists entries of before.
BOOST_FIXTURE_TEST_CASE(outlives_a_restored_store, one_table)
{
    table.apply(service, order_of(3, v1), at(0s));
    table.apply(service, order_of(5), at(0s));
    table.apply(service, status{state::rolled_back, v2, entry_revision{7}},
                at(1s));
    BOOST_TEST(!table.apply(service, order_of(3, v1), at(2s)));
    BOOST_TEST(!permits(v2));
    table.status_removed(service);
    BOOST_TEST(!permits(v2));
    BOOST_TEST(writes(3s).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(is_given_up_if_no_target_comes, one_table)
{
    view.target_usable = false;
    table.apply(service, order_of(5), at(0s));
    run(0s, 15s);
    BOOST_TEST((writes(15s).front().what == state::in_progress));
    run(15s, 17s);
    BOOST_TEST((writes(17s).front().what == state::rolled_back));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_order_of_a_good_version)

BOOST_FIXTURE_TEST_CASE(is_completed_once_other_versions_have_no_request,
                        one_table)
{
    table.apply(service, order_of(5), at(0s));
    view.outstanding_at_others = 1;
    run(0s, 12s);
    BOOST_TEST(!permits(v1));
    BOOST_TEST((writes(12s).front().what == state::in_progress));
    view.outstanding_at_others = 0;
    run(12s, 12s + 2 * least_quiet_time);
    BOOST_TEST((writes(14s).front().what == state::completed));
}

BOOST_FIXTURE_TEST_CASE(is_not_completed_before_all_hosts_have_moved, one_table)
{
    fleet.known_hosts = 2;
    fleet.heard = {other};
    table.apply(service, order_of(5), at(0s));
    run(0s, 14s);
    BOOST_TEST(!permits(v1));
    BOOST_TEST((writes(14s).front().what == state::in_progress));
    table.merge(other, {{service, entry_revision{5}, 14s, false, true, {}}},
                at(14s));
    run(14s, 15s);
    BOOST_TEST((writes(15s).front().what == state::completed));
}

BOOST_FIXTURE_TEST_CASE(is_not_completed_while_a_host_is_silent, one_table)
{
    table.apply(service, order_of(5), at(0s));
    fleet.all_heard = false;
    run(0s, 14s);
    BOOST_TEST((writes(14s).front().what == state::in_progress));
}

// A partitioned host goes on with the evidence it has, and raises nothing.
BOOST_FIXTURE_TEST_CASE(keeps_its_share_at_a_host_that_hears_few, one_table)
{
    fleet.known_hosts = 8;
    table.apply(service, order_of(5), at(0s));
    run(0s, 30s);
    BOOST_TEST(permits(v1));
    BOOST_TEST((writes(30s).front().what == state::in_progress));
}

// The phases of a host that starts halfway would take until the deadline.
BOOST_FIXTURE_TEST_CASE(moves_at_once_where_half_of_the_hosts_have, one_table)
{
    fleet.known_hosts = 2;
    fleet.heard = {other};
    table.apply(service, order_of(5), at(0s));
    table.merge(other, {{service, entry_revision{5}, 8s, false, true, {}}},
                at(0s));
    update(0s);
    BOOST_TEST(!permits(v1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::rollout
