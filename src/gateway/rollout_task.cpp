#include "gateway/rollout_task.hpp"

#include "gateway/log_text.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace primrosedeal::gateway
{

namespace
{

/// A known host that has been silent for 5 s is lost, and what it had
/// outstanding with it; its digests are current for the first part of them.
constexpr auto silence_of_lost_host = duration{5s} - fleet::host_timeout;

void log_unreadable(char const* what, service_id const& service,
                    std::string const& why)
{
    log::write(log::level::warning, "rollout_entry_unreadable",
               {{"what", what}, {"service", service.value()}, {"why", why}});
}

/// The line that tells of the change.
auto event_of(rollout::change const& it) -> std::string_view
{
    auto const was_limited = std::holds_alternative<rollout::limited>(it.from);
    if (std::holds_alternative<rollout::reverted>(it.to) ||
        (was_limited && std::holds_alternative<rollout::raised>(it.to)))
    {
        return "rollout_evaluated";
    }
    return "rollout_step";
}

auto share_of(rollout::phase const& it) -> std::string
{
    auto const* const raised = std::get_if<rollout::raised>(&it);
    return raised == nullptr ? "" : std::to_string(raised->share);
}

auto whole_number(double it) -> std::string
{
    return std::to_string(static_cast<std::uint64_t>(std::max(it, 0.0)));
}

} // namespace

rollout_task::rollout_task(host_state& host, peer_exchange const& peers,
                           external::key_value_service& store)
    : host_(host), peers_(peers), store_(store)
{
}

void rollout_task::apply(rollout_order_entry const& it,
                         store_position const& store, time_point now)
{
    if (!it.problem.empty())
    {
        log_unreadable("order", it.service, it.problem);
        return;
    }
    auto const at = store.written_at(host_.wire.rollout_order_key(it.service));
    auto const order = rollout::order{rollout::entry_revision{at.value()},
                                      it.version, it.length};
    if (!host_.rollouts.apply(it.service, order, now))
    {
        return;
    }
    host_.metrics.rollout_event("started");
    log::write(log::level::info, "rollout_started",
               {{"service", it.service.value()},
                {"version", it.version.value()},
                {"order", to_string(at)},
                {"duration_ms", milliseconds(it.length)}});
}

void rollout_task::apply(rollout_status_entry const& it,
                         store_position const& store, time_point now)
{
    if (!it.problem.empty())
    {
        log_unreadable("status", it.service, it.problem);
        return;
    }
    auto const at = store.written_at(host_.wire.rollout_status_key(it.service));
    host_.rollouts.apply(it.service,
                         rollout::status{it.what, it.version,
                                         rollout::entry_revision{at.value()}},
                         now);
    log_changes();
}

void rollout_task::apply(rollout_entry_removed const& it,
                         store_position const& /*store*/, time_point /*now*/)
{
    if (it.is_status)
    {
        host_.rollouts.status_removed(it.service);
        return;
    }
    // The order stays in force: a store that was restored from a copy may lack
    // it, and what is known of a bad version must not be lost.
    log::write(log::level::info, "rollout_order_missing",
               {{"service", it.service.value()}});
}

void rollout_task::tick(store_position const& store, time_point now)
{
    host_.rollouts.set_bounds(host_.settings.rollouts);
    auto const orders = host_.rollouts.orders();
    if (orders.empty())
    {
        return;
    }
    auto const fleet = view_fleet(store, now);
    for (auto const& [service, it] : orders)
    {
        host_.rollouts.update(service, view_service(service, it), fleet, now);
    }
    log_changes();
    if (!store.read)
    {
        return;
    }
    for (auto const& it : host_.rollouts.next_writes(fleet, now))
    {
        write(it, store);
    }
}

auto rollout_task::view_fleet(store_position const& store, time_point now)
    -> rollout::fleet_state
{
    auto out = rollout::fleet_state{};
    out.known_hosts = host_.known_host_count;
    out.heard = host_.other_hosts.host_ids();
    out.hosts_ahead =
        host_.other_hosts.hosts_in_contact_before(host_.settings.host);
    out.may_write = store.contact.has_value();
    out.all_heard = true;
    for (auto const& [id, at] : peers_.known_peers())
    {
        if (id == host_.settings.host)
        {
            continue;
        }
        out.rank += id < host_.settings.host ? 1 : 0;
        if (host_.other_hosts.latest(id) != nullptr)
        {
            heard_at_[id] = now;
            continue;
        }
        auto const heard_at = heard_at_.emplace(id, now).first->second;
        out.all_heard &= now - heard_at >= silence_of_lost_host;
    }
    return out;
}

auto rollout_task::view_service(service_id const& service,
                                rollout::order const& it) const
    -> rollout::service_view
{
    auto out = rollout::service_view{};
    auto const& usable = host_.targets.usable(service);
    out.target_usable = std::any_of(usable.begin(), usable.end(),
                                    [&](auto const& target)
                                    { return target.version == it.target; });
    auto const& listed = host_.targets.versions();
    if (auto const found = listed.find(service); found != listed.end())
    {
        out.others = found->second;
        out.others.erase(it.target);
    }
    out.outstanding_at_others = outstanding_elsewhere(service, it);
    return out;
}

auto rollout_task::outstanding_elsewhere(service_id const& service,
                                         rollout::order const& it) const
    -> std::uint64_t
{
    auto out = std::uint64_t{0};
    auto const add = [&](auto const& loads)
    {
        for (auto const& [id, load] : loads)
        {
            auto const* const target =
                load.requests == 0 ? nullptr : host_.targets.find(id);
            if (target != nullptr && target->service == service &&
                target->version != it.target)
            {
                out += load.requests;
            }
        }
    };
    add(host_.loads.all());
    for (auto const& id : host_.other_hosts.host_ids())
    {
        add(host_.other_hosts.latest(id)->loads);
    }
    return out;
}

void rollout_task::log_changes()
{
    for (auto const& it : host_.rollouts.take_changes())
    {
        auto const why = it.why.value_or(rollout::finding{});
        host_.metrics.rollout_event(rollout::to_string(it.to));
        log::write(
            log::level::info, event_of(it),
            {{"service", it.service.value()},
             {"version", it.it.target.value()},
             {"from", std::string{rollout::to_string(it.from)}},
             {"to", std::string{rollout::to_string(it.to)}},
             {"share", share_of(it.to)},
             {"why", it.why ? std::string{rollout::to_string(why.what)} : ""},
             {"route", why.route},
             {"bad", whole_number(why.bad)},
             {"of", whole_number(why.responses)},
             {"baseline", std::to_string(why.baseline)},
             {"reported_by", it.reported_by.value_or(host_id{}).value()},
             {"responses", whole_number(it.responses)},
             {"own_requests", std::to_string(it.own.all)},
             {"own_sent", std::to_string(it.own.at_target)},
             {"hosts_heard", std::to_string(host_.other_hosts.live_hosts())}});
    }
}

void rollout_task::write(rollout::status_write const& it,
                         store_position const& store)
{
    auto const order_key = host_.wire.rollout_order_key(it.service);
    auto const ordered_at = store.written_at(order_key);
    if (ordered_at.value() != it.order.value())
    {
        // The store has lost the order, or has a newer one that is unreadable.
        return;
    }
    auto const key = host_.wire.rollout_status_key(it.service);
    auto change = external::transaction{};
    change.conditions.emplace_back(
        external::unchanged_since{key, store.written_at(key)});
    change.conditions.emplace_back(
        external::unchanged_since{order_key, ordered_at});
    change.then.emplace_back(external::put{
        key,
        host_.wire.write_rollout_status({it.service, it.what, it.target, {}}),
        external::lease_id{0}});
    auto const service = it.service.value();
    auto const what = std::string{rollout::to_string(it.what)};
    store_.commit(
        external::call_purpose::version_write, change,
        [this, service,
         what](external::answer<external::transaction_result> const& result)
        {
            // The entry that arrives tells what is stored; until it does, the
            // write is repeated. If a condition failed, another host was first
            // or there is a newer order.
            auto const* const why =
                std::get_if<external::call_failure>(&result);
            auto const* const done =
                std::get_if<external::transaction_result>(&result);
            auto const stored = done != nullptr && done->succeeded;
            host_.metrics.rollout_event(stored ? "status_stored"
                                               : "status_not_stored");
            log::write(why == nullptr ? log::level::info : log::level::warning,
                       "rollout_status_written",
                       {{"service", service},
                        {"state", what},
                        {"stored", stored ? "true" : "false"},
                        {"why", why == nullptr ? "" : why->text}});
        });
}

} // namespace primrosedeal::gateway
