#include "gateway/cost_events.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

namespace
{

/// Interval at which the other hosts' demand is estimated again: it visits all
/// hosts.
constexpr auto demand_period = duration{250ms};

/// Digests are at least this old, and no older where anything changes.
constexpr auto least_age = duration{20ms};
constexpr auto most_age = duration{800ms};

} // namespace

void on_prompt(host_state& host, routes::service const& service,
               dispatch::work_size const& size, time_point now)
{
    if (!service.engine || size.prompt.value() == 0)
    {
        return;
    }
    auto& costs = host.expected_costs[service.id];
    costs.arrived(static_cast<double>(size.prompt.value()), now);
    if (now - costs.others_at < demand_period)
    {
        return;
    }
    costs.others_at = now;
    costs.others = {
        host.other_hosts.live_hosts(),
        host.other_hosts.request_rate(service.id, now),
        std::clamp(host.other_hosts.mean_age(now), least_age, most_age)};
    constexpr auto uneven = 0.75;
    host.metrics.uneven_targets(costs.speeds.uneven(uneven, now));
}

void on_prefill_changes(host_state& host, host_id const& from, time_point now)
{
    for (auto const& it : host.other_hosts.prefill_changes())
    {
        auto const* const target = host.targets.find(it.at);
        auto const costs = target == nullptr
                               ? host.expected_costs.end()
                               : host.expected_costs.find(target->service);
        if (costs == host.expected_costs.end())
        {
            continue;
        }
        costs->second.on_digest({from, *target,
                                 it.before.pending_prefill_tokens,
                                 it.after.pending_prefill_tokens,
                                 it.after.requests < it.before.requests},
                                pending_at(host, it.at), now);
    }
}

auto pending_at(host_state const& host, target_id const& id)
    -> expected_cost::pending_tokens
{
    return {host.loads.at_target(id).pending_prefill_tokens,
            host.other_hosts.load_of(id).pending_prefill_tokens};
}

} // namespace primrosedeal::gateway
