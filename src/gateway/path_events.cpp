#include "gateway/path_events.hpp"

#include "gateway/log_text.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace primrosedeal::gateway
{

namespace
{

using reachability::connection_result;

void apply(host_state& host, reachability::path_lost const& it, time_point now)
{
    for (auto const& [target, domain] : it.evidence)
    {
        host.detector.withdraw_unreachable(target, domain, now);
        std::erase(host.newly_lost, target);
    }
    host.metrics.path_changed("lost");
    log::write(log::level::warning, "path_lost",
               {{"service", it.service.value()},
                {"targets", std::to_string(it.evidence.size())},
                {"span_ms", milliseconds(it.span)},
                {"open_requests", std::to_string(host.relays.size())}});
}

void apply(host_state& host, reachability::path_restored const& it,
           time_point /*now*/)
{
    host.metrics.path_changed("restored");
    log::write(
        log::level::warning, "path_restored",
        {{"service", it.service.value()}, {"lost_ms", milliseconds(it.span)}});
}

/// Other hosts with current digests as helpers for `service`.
auto helper_candidates(host_state const& host, service_id const& service,
                       std::span<host_id const> tried, time_point now)
    -> std::vector<reachability::helper_candidate>
{
    auto out = std::vector<reachability::helper_candidate>{};
    for (auto const& id : host.other_hosts.hosts_reaching(service))
    {
        auto const* const digest = host.other_hosts.latest(id);
        if (digest == nullptr || !host.tunnel_address(id))
        {
            continue;
        }
        auto const open = host.open_tunnels.find(id);
        auto it = reachability::helper_candidate{};
        it.id = id;
        it.domain = digest->domain;
        it.tunnels = open == host.open_tunnels.end() ? 0 : open->second;
        it.excluded = host.helpers.excluded(id, now);
        it.tried = std::find(tried.begin(), tried.end(), id) != tried.end();
        out.push_back(std::move(it));
    }
    return out;
}

void probe(host_state& host, service_id const& service, time_point now)
{
    auto const targets = host.targets.usable(service);
    if (targets.empty() || !host.paths.unreachable(service))
    {
        return;
    }
    auto const& target = targets[host.random.below(targets.size())];
    host.prober.probe(target.address,
                      [&host, target, now](bool alive)
                      {
                          on_direct_connection(
                              host, target,
                              alive ? connection_result::accepted
                                    : connection_result::timed_out,
                              now, net::event_loop::now());
                      });
}

/// Whether a host that reaches the service has found `target` unreachable too.
auto lost_for_others(host_state const& host,
                     directory::listed_target const& target, time_point now)
    -> bool
{
    auto const reporters = host.reported_losses.reporters(target.id, now);
    return std::any_of(reporters.begin(), reporters.end(),
                       [&](host_id const& id)
                       {
                           auto const* const it = host.other_hosts.latest(id);
                           return it != nullptr &&
                                  std::find(it->unreachable_services.begin(),
                                            it->unreachable_services.end(),
                                            target.service) ==
                                      it->unreachable_services.end();
                       });
}

} // namespace

void on_direct_connection(host_state& host,
                          directory::listed_target const& target,
                          connection_result result, time_point begun_at,
                          time_point now)
{
    if (result != connection_result::accepted &&
        lost_for_others(host, target, now))
    {
        return;
    }
    auto const change = host.paths.observe(
        target.service, target.id, target.domain, result, begun_at,
        host.targets.usable(target.service).size(),
        host.other_hosts.any_host_reaches(target.service), now);
    if (change)
    {
        std::visit([&](auto const& it) { apply(host, it, now); }, *change);
    }
}

auto path_explains_failure(host_state const& host,
                           directory::listed_target const& target,
                           time_point begun_at) -> bool
{
    return host.paths.explains_failure(target.service, begun_at);
}

auto choose_path(host_state& host, directory::listed_target const& target,
                 std::span<host_id const> tried, time_point now)
    -> std::optional<attempt_path>
{
    if (!host.paths.lost(target.service))
    {
        return attempt_path{};
    }
    auto const helper = reachability::choose_helper(
        helper_candidates(host, target.service, tried, now),
        host.settings.domain, host.random);
    if (!helper)
    {
        return std::nullopt;
    }
    return attempt_path{
        http1::tunnel_route{*host.tunnel_address(*helper), target.id}, helper};
}

void on_tunnel_begun(host_state& host, host_id const& helper)
{
    ++host.open_tunnels[helper];
}

void on_tunnel_ended(host_state& host, host_id const& helper)
{
    auto const it = host.open_tunnels.find(helper);
    if (it != host.open_tunnels.end() && --it->second == 0)
    {
        host.open_tunnels.erase(it);
    }
}

auto on_tunnel_refused(host_state& host, host_id const& helper,
                       http1::tunnel_refusal why, time_point now) -> bool
{
    auto const at_target = why == http1::tunnel_refusal::target_refused ||
                           why == http1::tunnel_refusal::target_timed_out;
    if (!at_target)
    {
        host.helpers.failed(helper, now);
    }
    return !at_target;
}

void probe_paths(host_state& host, time_point now)
{
    for (auto const& service : host.paths.unreachable_services())
    {
        if (host.paths.probe_due(service, now))
        {
            host.path_probes[service] = host.loop.after(
                reachability::probe_jitter(host.random), [&host, service]
                { probe(host, service, net::event_loop::now()); });
        }
    }
}

} // namespace primrosedeal::gateway
