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

auto wanted(model_version const& version, std::uint32_t floor = 0)
    -> desired_state
{
    return {{desired_model{model, fitting, version, {shop_notes}, floor}},
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

/// The slow obvious form of `next_order`: whether anything differs.
auto differs(desired_state const& desired, observed_state const& seen) -> bool
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
    for (auto const& each : seen.models)
    {
        have.emplace(each.model, each);
    }
    auto different = seen.role != serving_role || want.size() != have.size();
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

/// What a target is after it has carried out `order`.
void apply(model_order const& order, observed_state& it)
{
    if (auto const* const role = std::get_if<set_role>(&order))
    {
        it.role = role->role;
        return;
    }
    auto const name = *model_of(order);
    if (std::holds_alternative<unload_model>(order))
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
    found->version = weights_for(order)->version;
    if (auto const* const with = std::get_if<load_adapter>(&order))
    {
        found->adapters.insert(with->adapter);
    }
}

/// One failure domain's orderer with a single target at hand.
struct one_target
{
    orderer_settings settings;
    orderer it{settings};
    time_point now = start;
    target_id id{"engine-1"};

    explicit one_target(desired_state const& desired)
    {
        tell(declared{desired, revision{1}});
        tell(targets_listed{{listed_target{id, fitting, false}}});
    }

    auto tell(event const& what) -> actions
    {
        return it.on_event(what, now);
    }

    /// Answers `read` with `seen` and confirms what it has.
    void confirm(read_state const& read, observed_state const& seen)
    {
        auto const first = tell(state_read{id, read.serial, seen});
        auto const order = std::get<send_order>(first.at(0));
        BOOST_TEST(it.permit_send(id, order.serial, now));
        auto const then =
            tell(order_answered{id, order.serial, order_result::done});
        tell(state_read{id, std::get<read_state>(then.at(0)).serial, seen});
    }

    auto acquire(std::uint64_t number = 5) -> actions
    {
        return tell(lease_acquired{fencing_number{number}, now + 30s});
    }
};

template <class Action>
auto only(actions const& all) -> Action
{
    BOOST_REQUIRE_EQUAL(all.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<Action>(all[0]));
    return std::get<Action>(all[0]);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_next_order)

BOOST_AUTO_TEST_CASE(leads_step_by_step_to_the_declared_state)
{
    auto seen = observed_state{incarnation{1}, "standby", {}, {}};
    seen.models.push_back({model_id{"old"}, v1, {}});
    auto steps = 0;
    while (auto const order = next_order(wanted(v2), fitting, seen))
    {
        BOOST_REQUIRE(++steps <= 4);
        apply(*order, seen);
    }
    BOOST_TEST(steps == 4);
    BOOST_TEST(!differs(wanted(v2), seen));
}

BOOST_AUTO_TEST_CASE(agrees_with_the_obvious_comparison)
{
    BOOST_TEST(rc::check(
        "order until equal",
        []
        {
            auto const names =
                rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"});
            auto desired = desired_state{};
            auto seen = observed_state{incarnation{1}, *names, {}, {}};
            seen.role = seen.role == "a" ? "standby" : "serving";
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
                seen.models.push_back({model_id{name},
                                       model_version{*names},
                                       {adapter_id{*names}}});
            }
            for (auto steps = 0; differs(desired, seen); ++steps)
            {
                RC_ASSERT(steps < 12);
                auto const order = next_order(desired, fitting, seen);
                RC_ASSERT(order.has_value());
                apply(*order, seen);
            }
            RC_ASSERT(!next_order(desired, fitting, seen).has_value());
        }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_holder)

BOOST_AUTO_TEST_CASE(reads_confirms_asks_the_store_and_orders)
{
    auto domain = one_target{wanted(v2)};
    auto const read = only<read_state>(domain.acquire());
    auto const confirm = only<send_order>(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST((confirm.order == model_order{load_model{model, v1}}));
    BOOST_TEST(confirm.number.value() == 5U);
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    auto const again = only<read_state>(domain.tell(
        order_answered{domain.id, confirm.serial, order_result::done}));
    only<ask_weights>(
        domain.tell(state_read{domain.id, again.serial, serving(v1)}));
    auto const change =
        only<send_order>(domain.tell(weights_answered{domain.id, true, {}}));
    BOOST_TEST((change.order == model_order{set_version{model, v2}}));
}

BOOST_AUTO_TEST_CASE(waits_as_long_as_the_weight_store_says)
{
    auto empty = serving(v1);
    empty.models.clear();
    auto domain = one_target{wanted(v2)};
    auto const read = only<read_state>(domain.acquire());
    only<ask_weights>(domain.tell(state_read{domain.id, read.serial, empty}));
    domain.tell(weights_answered{domain.id, false, 7s});
    domain.now += 6s;
    BOOST_TEST(domain.tell(timer_due{}).empty());
    domain.now += 1s;
    only<ask_weights>(domain.tell(timer_due{}));
}

BOOST_AUTO_TEST_CASE(orders_nothing_with_too_little_of_the_lease)
{
    auto domain = one_target{wanted(v2)};
    auto const read = only<read_state>(domain.acquire());
    auto const order = only<send_order>(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}));
    domain.now += 28s; // paused between the decision and the send
    BOOST_TEST(!domain.it.permit_send(domain.id, order.serial, domain.now));
    BOOST_TEST(domain.tell(timer_due{}).empty());
    // So long after the first look, it looks again before it orders.
    auto const look =
        only<read_state>(domain.tell(lease_renewed{domain.now + 30s}));
    domain.now += 2s;
    only<send_order>(
        domain.tell(state_read{domain.id, look.serial, serving(v1)}));
}

BOOST_AUTO_TEST_CASE(orders_nothing_while_the_service_is_out)
{
    auto domain = one_target{wanted(v2)};
    auto const read = only<read_state>(domain.acquire());
    domain.tell(platform_down{});
    BOOST_TEST(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}).empty());
    only<send_order>(domain.tell(platform_up{}));
}

BOOST_AUTO_TEST_CASE(sends_an_order_again_after_a_lost_answer)
{
    auto domain = one_target{wanted(v1)};
    auto const read = only<read_state>(domain.acquire());
    auto const first = only<send_order>(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, first.serial, domain.now));
    BOOST_TEST(!domain.it.permit_send(domain.id, first.serial, domain.now));
    BOOST_TEST(
        domain.tell(order_answered{domain.id, first.serial, order_result::lost})
            .empty());
    domain.now += domain.settings.poll;
    auto const again = only<send_order>(domain.tell(timer_due{}));
    BOOST_TEST((again.order == first.order));
}

BOOST_AUTO_TEST_CASE(gives_up_the_lease_when_a_later_holder_was_seen)
{
    auto domain = one_target{wanted(v2)};
    auto const read = only<read_state>(domain.acquire());
    auto const order = only<send_order>(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, order.serial, domain.now));
    only<release_lease>(domain.tell(order_answered{
        domain.id, order.serial, order_result::old_fencing_number}));
    BOOST_TEST(!domain.it.holds_lease(domain.now));
}

BOOST_AUTO_TEST_CASE(waits_out_the_guard_time_where_numbers_are_ignored)
{
    auto ignoring = wanted(v2);
    ignoring.checking_services.clear();
    auto domain = one_target{ignoring};
    BOOST_TEST(domain.acquire().empty());
    domain.now += domain.settings.guard_time - 1us;
    BOOST_TEST(domain.tell(timer_due{}).empty());
    domain.now += 1us;
    only<read_state>(domain.tell(timer_due{}));
}

BOOST_AUTO_TEST_CASE(keeps_the_floor)
{
    auto domain = one_target{wanted(v2, 1)};
    auto const read = only<read_state>(domain.acquire());
    auto const confirm = only<send_order>(
        domain.tell(state_read{domain.id, read.serial, serving(v1)}));
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    auto const again = only<read_state>(domain.tell(
        order_answered{domain.id, confirm.serial, order_result::done}));
    BOOST_TEST(
        domain.tell(state_read{domain.id, again.serial, serving(v1)}).empty());
    BOOST_TEST(domain.it.status().held_by_floor == 1U);
}

BOOST_AUTO_TEST_CASE(never_goes_back_to_an_older_revision)
{
    auto domain = one_target{wanted(v2)};
    domain.tell(declared{wanted(v1), revision{0}});
    auto read = only<read_state>(domain.acquire());
    auto const confirm = only<send_order>(domain.tell(
        state_read{domain.id, read.serial, serving(v2, {shop_notes})}));
    BOOST_TEST(domain.it.permit_send(domain.id, confirm.serial, domain.now));
    read = only<read_state>(domain.tell(
        order_answered{domain.id, confirm.serial, order_result::done}));
    BOOST_TEST(
        domain
            .tell(state_read{domain.id, read.serial, serving(v2, {shop_notes})})
            .empty());
    BOOST_TEST(domain.it.status().settled == 1U);
}

BOOST_AUTO_TEST_CASE(keeps_the_guard_time_when_the_declaration_changes)
{
    auto ignoring = wanted(v1);
    ignoring.checking_services.clear();
    auto domain = one_target{ignoring};
    domain.acquire();
    BOOST_TEST(domain.tell(declared{ignoring, revision{2}}).empty());
    domain.now += domain.settings.guard_time;
    only<read_state>(domain.tell(timer_due{}));
}

BOOST_AUTO_TEST_CASE(confirms_again_after_an_engine_was_restarted)
{
    auto domain = one_target{wanted(v1)};
    auto read = only<read_state>(domain.acquire());
    auto seen = serving(v1, {shop_notes});
    domain.confirm(read, seen);
    domain.now += domain.settings.reread;
    read = only<read_state>(domain.tell(timer_due{}));
    seen.started = incarnation{2};
    only<send_order>(domain.tell(state_read{domain.id, read.serial, seen}));
}

BOOST_AUTO_TEST_SUITE(of_two_targets)

struct two_targets : one_target
{
    target_id second{"engine-2"};
    read_serial second_read;

    /// The first target is confirmed with an old version, the second is not.
    two_targets() : one_target(wanted(v2, 1))
    {
        tell(targets_listed{{listed_target{id, fitting, false},
                             listed_target{second, fitting, false}}});
        auto const reads = acquire();
        second_read = std::get<read_state>(reads.at(1)).serial;
        confirm(std::get<read_state>(reads.at(0)), serving(v1));
    }

    auto confirm_second() -> actions
    {
        auto const order = only<send_order>(
            tell(state_read{second, second_read, serving(v2, {shop_notes})}));
        BOOST_TEST(it.permit_send(second, order.serial, now));
        auto const read = only<read_state>(
            tell(order_answered{second, order.serial, order_result::done}));
        second_read = read.serial;
        return tell(state_read{second, read.serial, serving(v2, {shop_notes})});
    }
};

BOOST_FIXTURE_TEST_CASE(only_a_confirmed_one_counts_for_the_floor, two_targets)
{
    BOOST_TEST(it.status().held_by_floor == 1U);
    only<ask_weights>(confirm_second());
}

BOOST_FIXTURE_TEST_CASE(the_floor_is_checked_again_before_the_send, two_targets)
{
    only<ask_weights>(confirm_second());
    auto const order = only<send_order>(tell(weights_answered{id, true, {}}));
    tell(targets_listed{{listed_target{id, fitting, false},
                         listed_target{second, fitting, true}}});
    BOOST_TEST(!it.permit_send(id, order.serial, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(tells_a_leaving_target_nothing)
{
    auto domain = one_target{wanted(v2)};
    domain.tell(targets_listed{{listed_target{domain.id, fitting, true}}});
    BOOST_TEST(domain.acquire().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::model_order
