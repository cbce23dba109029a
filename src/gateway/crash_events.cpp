#include "gateway/crash_events.hpp"

#include "gateway/log_text.hpp"
#include "gateway/path_events.hpp"
#include "log/log.hpp"

#include <set>
#include <string>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Delay of the probe of a target after a run there has ended unanswered.
constexpr auto first_probe_delay = duration{250ms};

void accuse(host_state& host, directory::listed_target const& target,
            quarantine::accused_run const& run, time_point ended_at,
            time_point now)
{
    auto const crash = quarantine::to_crash_id(target.id, target.process_start);
    auto const domain_suspected =
        host.detector.domain_suspected(target.domain, now);
    host.quarantine.record_crash(crash, quarantine::to_run_id(run.request),
                                 run.suspects, now);
    auto const cause = host.quarantine.cause_of(crash, now);
    if (cause)
    {
        host.detector.discount_loss(target.id, target.domain, now);
    }
    auto const explained = host.quarantine.explains(crash, now);
    auto const kind = cause ? to_string(kind_of(*cause)) : "none";
    host.metrics.target_crashed(explained ? "quarantined_" + std::string{kind}
                                          : "unexplained");
    log::write(log::level::warning, "target_crashed",
               {{"request", run.request.value()},
                {"target", target.id.value()},
                {"domain", target.domain.value()},
                {"domain_in_doubt", domain_suspected ? "true" : "false"},
                {"identity", hexadecimal(run.suspects.back().value())},
                {"accused_parts", std::to_string(run.suspects.size() - 1)},
                {"sent_ms_ago", milliseconds(now - run.sent_at)},
                {"ended_ms_ago", milliseconds(now - ended_at)},
                {"explained", explained ? "true" : "false"},
                {"suspect_kind", std::string{kind}}});
}

} // namespace

void record_crash(host_state& host, directory::listed_target const& target,
                  quarantine::accused_run const& run, time_point ended_at,
                  time_point now)
{
    accuse(host, target, run, ended_at, now);
    on_target_ended(host, target.id, now);
}

auto on_failed_probe(host_state& host, directory::listed_target const& target,
                     time_point begun_at, time_point now) -> bool
{
    on_direct_connection(host, target,
                         reachability::connection_result::timed_out, begun_at,
                         now);
    return !host.own_link.down() && !host.paths.unreachable(target.service);
}

void keep_unresolved_run(host_state& host, quarantine::unresolved_run it,
                         std::string_view reason)
{
    auto const id = it.target.id;
    host.metrics.run_unresolved(reason);
    log::write(log::level::info, "run_unresolved",
               {{"request", it.run.request.value()},
                {"target", id.value()},
                {"identity", hexadecimal(it.run.suspects.back().value())},
                {"reason", std::string{reason}},
                {"sent_ms_ago", milliseconds(it.ended_at - it.run.sent_at)}});
    host.unresolved_runs.add(std::move(it));
    if (host.crash_probes.contains(id))
    {
        return;
    }
    host.crash_probes[id] = host.loop.after(
        first_probe_delay,
        [&host, id]
        {
            auto const done = host.crash_probes.extract(id);
            check_unresolved_runs(host, id, net::event_loop::now());
        });
}

void check_unresolved_runs(host_state& host, target_id const& id,
                           time_point now)
{
    auto const target = host.unresolved_runs.probe_due(id, now);
    if (!target)
    {
        return;
    }
    host.prober.probe(
        target->address,
        [&host, target = *target, begun_at = now](bool alive)
        {
            auto const probed_at = net::event_loop::now();
            if (!alive && on_failed_probe(host, target, begun_at, probed_at))
            {
                on_target_ended(host, target.id, probed_at);
            }
        });
}

void on_target_ended(host_state& host, target_id const& id, time_point now)
{
    for (auto const& it : host.unresolved_runs.take(id, now))
    {
        accuse(host, it.target, it.run, it.ended_at, now);
    }
}

void on_target_listed(host_state& host, directory::listed_target const& it,
                      time_point now)
{
    for (auto const& id : host.unresolved_runs.predecessors_of(it))
    {
        on_target_ended(host, id, now);
    }
}

void on_evidence(host_state& host, quarantine::report const& it, time_point now)
{
    if (host.unresolved_runs.size() > 0)
    {
        auto crashes = std::set<quarantine::crash_id>{};
        for (auto const& each : it.accusations)
        {
            crashes.insert(each.crash);
        }
        for (auto const& id : host.unresolved_runs.targets_of(crashes))
        {
            on_target_ended(host, id, now);
        }
    }
    host.quarantine.merge(it, now);
}

} // namespace primrosedeal::gateway
