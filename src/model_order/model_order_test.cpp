#include "model_order/reconciler.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace primrosedeal::model_order
{
namespace
{

auto const fitting = service_id{"fitting"};
auto const model = model_id{"fitting-large"};
auto const v1 = model_version{"1"};
auto const v2 = model_version{"2"};
auto const shop_notes = adapter_id{"shop-notes"};
constexpr auto start = time_point{1000s};

auto wanted(model_version const& version, std::uint32_t replica_floor = 0)
    -> desired_state
{
    return {
        {desired_model{model, fitting, version, {shop_notes}, replica_floor}},
        {fitting}};
}

auto serving(model_version const& version, std::set<adapter_id> adapters = {})
    -> observed_state
{
    return {incarnation{1},
            std::string{serving_role},
            {loaded_model{model, version, std::move(adapters)}},
            {}};
}

/// Whether the observed state differs from the desired one, by a direct
/// comparison as a reference for `next_command`.
auto differs(desired_state const& desired, observed_state const& observed)
    -> bool
{
    auto want = std::map<model_id, desired_model>{};
    for (auto const& each : desired.models)
    {
        if (each.service == fitting)
        {
            want.emplace(each.model, each);
        }
    }
    auto have = std::map<model_id, loaded_model>{};
    for (auto const& each : observed.models)
    {
        have.emplace(each.model, each);
    }
    auto different =
        observed.role != serving_role || want.size() != have.size();
    for (auto const& [name, each] : want)
    {
        auto const it = have.find(name);
        different = different || it == have.end() ||
                    it->second.version != each.version ||
                    !std::includes(it->second.adapters.begin(),
                                   it->second.adapters.end(),
                                   each.adapters.begin(), each.adapters.end());
    }
    return different;
}

/// Applies `command` to a target in state `it`.
void apply(model_command const& command, observed_state& it)
{
    if (auto const* const role = std::get_if<set_role>(&command))
    {
        it.role = role->role;
        return;
    }
    auto const name = *model_of(command);
    if (std::holds_alternative<unload_model>(command))
    {
        std::erase_if(it.models,
                      [&](auto const& each) { return each.model == name; });
        return;
    }
    if (find_loaded(it, name) == nullptr)
    {
        it.models.push_back({name, {}, {}});
    }
    auto const found =
        std::find_if(it.models.begin(), it.models.end(),
                     [&](auto const& each) { return each.model == name; });
    found->version = weights_for(command)->version;
    if (auto const* const with = std::get_if<load_adapter>(&command))
    {
        found->adapters.insert(with->adapter);
    }
}

/// The reconciler of one failure domain with a single target.
struct one_target
{
    reconciler_settings settings;
    reconciler it{settings};
    time_point now = start;
    target_id id{"engine-1"};

    explicit one_target(desired_state const& desired)
    {
        feed(desired_state_changed{desired, revision{1}});
        feed(targets_updated{{listed_target{id, fitting, false}}});
    }

    auto feed(event const& what) -> actions
    {
        return it.on_event(what, now);
    }

    /// Responds to `read` with `observed` and confirms the loaded models.
    void confirm(read_state const& read, observed_state const& observed)
    {
        auto const first = feed(state_read{id, read.serial, observed});
        auto const command = std::get<send_command>(first.at(0));
        BOOST_TEST(it.permit_send(id, command.serial, now));
        auto const then =
            feed(command_response{id, command.serial, command_result::done});
        feed(state_read{id, std::get<read_state>(then.at(0)).serial, observed});
    }

    auto acquire(std::uint64_t number = 5) -> actions
    {
        return feed(lease_acquired{fencing_number{number}, now + 30s});
    }
};

template <class Action>
auto expect_only(actions const& all) -> Action
{
    BOOST_REQUIRE_EQUAL(all.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<Action>(all[0]));
    return std::get<Action>(all[0]);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_next_command)

BOOST_AUTO_TEST_CASE(leads_step_by_step_to_the_desired_state)
{
    auto observed = observed_state{incarnation{1}, "standby", {}, {}};
    observed.models.push_back({model_id{"old"}, v1, {}});
    auto steps = 0;
    while (auto const command = next_command(wanted(v2), fitting, observed))
    {
        BOOST_REQUIRE(++steps <= 4);
        apply(*command, observed);
    }
    BOOST_TEST(steps == 4);
    BOOST_TEST(!differs(wanted(v2), observed));
}

BOOST_AUTO_TEST_CASE(agrees_with_a_direct_comparison)
{
    BOOST_TEST(rc::check(
        "order until equal",
        []
        {
            auto const names =
                rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
            auto desired = desired_state{};
            auto observed = observed_state{incarnation{1}, *names, {}, {}};
            observed.role = observed.role == "a" ? "standby" : "serving";
            for (auto const* const name : {"x", "y", "z"})
            {
                if (!*rc::gen::arbitrary<bool>())
                {
                    continue;
                }
                desired.models.push_back({model_id{name},
                                          fitting,
                                          model_version{*names},
                                          {adapter_id{*names}},
                                          0});
            }
            for (auto const* const name : {"x", "y", "w"})
            {
                if (!*rc::gen::arbitrary<bool>())
                {
                    continue;
                }
                observed.models.push_back({model_id{name},
                                           model_version{*names},
                                           {adapter_id{*names}}});
            }
            for (auto steps = 0; differs(desired, observed); ++steps)
            {
                RC_ASSERT(steps < 12);
                auto const command = next_command(desired, fitting, observed);
                RC_ASSERT(command.has_value());
                apply(*command, observed);
            }
            RC_ASSERT(!next_command(desired, fitting, observed).has_value());
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_lease_holder)

BOOST_AUTO_TEST_CASE(reads_confirms_requests_weights_and_sends_a_command)
{
    auto domain = one_target{wanted(v2)};
    auto const read = expect_only<read_state>(domain.acquire());
    auto const confirm = expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST((confirm.command == model_command{load_model{model, v1}}));
    BOOST_TEST(confirm.number.value() == 5U);
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    auto const again = expect_only<read_state>(domain.feed(
        command_response{domain.id, confirm.serial, command_result::done}));
    expect_only<request_weights>(
        domain.feed(state_read{domain.id, again.serial, serving(v1)}));
    auto const change = expect_only<send_command>(
        domain.feed(weights_response{domain.id, true, {}}));
    BOOST_TEST((change.command == model_command{set_version{model, v2}}));
}

BOOST_AUTO_TEST_CASE(waits_for_the_retry_time_of_the_weight_store)
{
    auto empty = serving(v1);
    empty.models.clear();
    auto domain = one_target{wanted(v2)};
    auto const read = expect_only<read_state>(domain.acquire());
    expect_only<request_weights>(
        domain.feed(state_read{domain.id, read.serial, empty}));
    domain.feed(weights_response{domain.id, false, 7s});
    domain.now += 6s;
    BOOST_TEST(domain.feed(timer_due{}).empty());
    domain.now += 1s;
    expect_only<request_weights>(domain.feed(timer_due{}));
}

BOOST_AUTO_TEST_CASE(sends_nothing_within_the_lease_margin)
{
    auto domain = one_target{wanted(v2)};
    auto const read = expect_only<read_state>(domain.acquire());
    auto const command = expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}));
    domain.now += 28s; // paused between the decision and the send
    BOOST_TEST(!domain.it.permit_send(domain.id, command.serial, domain.now));
    BOOST_TEST(domain.feed(timer_due{}).empty());
    // The last state is too old, so it is read again before a command.
    auto const later_read =
        expect_only<read_state>(domain.feed(lease_renewed{domain.now + 30s}));
    domain.now += 2s;
    expect_only<send_command>(
        domain.feed(state_read{domain.id, later_read.serial, serving(v1)}));
}

BOOST_AUTO_TEST_CASE(sends_nothing_while_the_key_value_service_is_down)
{
    auto domain = one_target{wanted(v2)};
    auto const read = expect_only<read_state>(domain.acquire());
    domain.feed(platform_down{});
    BOOST_TEST(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}).empty());
    expect_only<send_command>(domain.feed(platform_up{}));
}

BOOST_AUTO_TEST_CASE(sends_a_command_again_after_a_lost_response)
{
    auto domain = one_target{wanted(v1)};
    auto const read = expect_only<read_state>(domain.acquire());
    auto const first = expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, first.serial, domain.now));
    BOOST_TEST(!domain.it.permit_send(domain.id, first.serial, domain.now));
    BOOST_TEST(domain
                   .feed(command_response{domain.id, first.serial,
                                          command_result::no_response})
                   .empty());
    domain.now += domain.settings.poll_interval;
    auto const again = expect_only<send_command>(domain.feed(timer_due{}));
    BOOST_TEST((again.command == first.command));
}

BOOST_AUTO_TEST_CASE(releases_the_lease_after_a_stale_fencing_number)
{
    auto domain = one_target{wanted(v2)};
    auto const read = expect_only<read_state>(domain.acquire());
    auto const command = expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, command.serial, domain.now));
    expect_only<release_lease>(domain.feed(command_response{
        domain.id, command.serial, command_result::stale_fencing_number}));
    BOOST_TEST(!domain.it.holds_lease(domain.now));
}

BOOST_AUTO_TEST_CASE(waits_for_the_takeover_delay_where_fencing_is_ignored)
{
    auto ignoring = wanted(v2);
    ignoring.fencing_services.clear();
    auto domain = one_target{ignoring};
    BOOST_TEST(domain.acquire().empty());
    domain.now += domain.settings.takeover_delay - 1us;
    BOOST_TEST(domain.feed(timer_due{}).empty());
    domain.now += 1us;
    expect_only<read_state>(domain.feed(timer_due{}));
}

BOOST_AUTO_TEST_CASE(keeps_the_replica_floor)
{
    auto domain = one_target{wanted(v2, 1)};
    auto const read = expect_only<read_state>(domain.acquire());
    auto const confirm = expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    auto const again = expect_only<read_state>(domain.feed(
        command_response{domain.id, confirm.serial, command_result::done}));
    BOOST_TEST(
        domain.feed(state_read{domain.id, again.serial, serving(v1)}).empty());
    BOOST_TEST(domain.it.status().held_by_floor == 1U);
}

BOOST_AUTO_TEST_CASE(ignores_an_older_revision)
{
    auto domain = one_target{wanted(v2)};
    domain.feed(desired_state_changed{wanted(v1), revision{0}});
    auto read = expect_only<read_state>(domain.acquire());
    auto const confirm = expect_only<send_command>(domain.feed(
        state_read{domain.id, read.serial, serving(v2, {shop_notes})}));
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    read = expect_only<read_state>(domain.feed(
        command_response{domain.id, confirm.serial, command_result::done}));
    BOOST_TEST(
        domain
            .feed(state_read{domain.id, read.serial, serving(v2, {shop_notes})})
            .empty());
    BOOST_TEST(domain.it.status().converged == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_the_takeover_delay_when_the_desired_state_changes)
{
    auto ignoring = wanted(v1);
    ignoring.fencing_services.clear();
    auto domain = one_target{ignoring};
    domain.acquire();
    BOOST_TEST(
        domain.feed(desired_state_changed{ignoring, revision{2}}).empty());
    domain.now += domain.settings.takeover_delay;
    expect_only<read_state>(domain.feed(timer_due{}));
}

BOOST_AUTO_TEST_CASE(confirms_again_after_an_engine_restart)
{
    auto domain = one_target{wanted(v1)};
    auto read = expect_only<read_state>(domain.acquire());
    auto observed = serving(v1, {shop_notes});
    domain.confirm(read, observed);
    domain.now += domain.settings.reread_interval;
    read = expect_only<read_state>(domain.feed(timer_due{}));
    observed.started = incarnation{2};
    expect_only<send_command>(
        domain.feed(state_read{domain.id, read.serial, observed}));
}

BOOST_AUTO_TEST_SUITE(of_two_targets)

struct two_targets : one_target
{
    target_id second{"engine-2"};
    read_serial second_read;

    /// The first target is confirmed with an old version; the second is not
    /// confirmed.
    two_targets() : one_target(wanted(v2, 1))
    {
        feed(targets_updated{{listed_target{id, fitting, false},
                              listed_target{second, fitting, false}}});
        auto const reads = acquire();
        second_read = std::get<read_state>(reads.at(1)).serial;
        confirm(std::get<read_state>(reads.at(0)), serving(v1));
    }

    auto confirm_second() -> actions
    {
        auto const command = expect_only<send_command>(
            feed(state_read{second, second_read, serving(v2, {shop_notes})}));
        BOOST_TEST(it.permit_send(second, command.serial, now));
        auto const read = expect_only<read_state>(feed(
            command_response{second, command.serial, command_result::done}));
        second_read = read.serial;
        return feed(state_read{second, read.serial, serving(v2, {shop_notes})});
    }
};

BOOST_FIXTURE_TEST_CASE(only_a_confirmed_one_counts_for_the_replica_floor,
                        two_targets)
{
    BOOST_TEST(it.status().held_by_floor == 1U);
    expect_only<request_weights>(confirm_second());
}

BOOST_FIXTURE_TEST_CASE(the_replica_floor_is_checked_again_before_the_send,
                        two_targets)
{
    expect_only<request_weights>(confirm_second());
    auto const command =
        expect_only<send_command>(feed(weights_response{id, true, {}}));
    feed(targets_updated{{listed_target{id, fitting, false},
                          listed_target{second, fitting, true}}});
    BOOST_TEST(!it.permit_send(id, command.serial, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_leaving_target)
{
    auto domain = one_target{wanted(v2)};
    domain.feed(targets_updated{{listed_target{domain.id, fitting, true}}});
    BOOST_TEST(domain.acquire().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::model_order
