#pragma once

#include "core/random.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/feasibility.hpp"
#include "dispatch/load_tracker.hpp"
#include "dispatch/own_link.hpp"
#include "dispatch/shutdown.hpp"
#include "dispatch/shutdown_admission.hpp"
#include "dispatch/target_pauses.hpp"
#include "dispatch/time_estimates.hpp"
#include "expected_cost/service_estimates.hpp"
#include "fleet/fleet_view.hpp"
#include "gateway/background_calls.hpp"
#include "gateway/connect_prober.hpp"
#include "gateway/protocol.hpp"
#include "gateway/settings.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"
#include "quarantine/part_quarantine.hpp"
#include "quarantine/trial_permission.hpp"
#include "quarantine/unresolved_runs.hpp"
#include "reachability/direct_path.hpp"
#include "reachability/helper_choice.hpp"
#include "reachability/reported_losses.hpp"
#include "rejection_limit/gate.hpp"
#include "request_limit/limit_table.hpp"
#include "request_limit/limiter.hpp"
#include "rollout/rollout_table.hpp"
#include "routes/route_table.hpp"
#include "stream_origin/origin_table.hpp"
#include "stream_origin/record_confirmation.hpp"
#include "stream_origin/record_reads.hpp"
#include "stream_origin/served_versions.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

/// State shared by all requests of one host. Used only on the event loop's
/// thread.
namespace primrosedeal::gateway
{

class relay;

/// Number of hosts assumed until the store's host list has been read.
constexpr auto assumed_host_count = std::size_t{8};

/// Targets state rejection limits in every response.
constexpr auto rejection_limit_report_period = duration{5s};

struct host_state
{
    host_state(net::event_loop& on, protocol const& adapter, host_settings its,
               std::uint64_t seed)
        : loop(on), wire(adapter), settings(std::move(its)), random(seed),
          prober(on)
    {
    }

    /// Counts one more attempt for `service` and returns true if that stays
    /// within the retry budget that all hosts share.
    auto try_reserve_attempt(service_id const& service,
                             fleet::attempt_purpose purpose, time_point now)
        -> bool
    {
        auto const allowance = fleet::attempt_allowance{
            settings.retry_ratio, settings.retry_slack, known_host_count};
        auto const allowed = fleet::may_attempt(
            allowance, purpose, request_counts.recent(service, now),
            other_hosts.recent(service, now), other_hosts.live_hosts());
        if (allowed)
        {
            request_counts.further_attempt(service, now);
        }
        return allowed;
    }

    /// Whether this host may admit quarantined requests as trials. Call about
    /// every second.
    auto may_admit_trials(time_point now) -> bool
    {
        auto const lowest = other_hosts.lowest_host();
        auto const heard = other_hosts.live_hosts() + 1;
        trials.observe(
            !lowest || settings.host<*lowest, 2 * heard> known_host_count, now);
        return trials.granted(now);
    }

    /// Brings what the limits of a service's targets permit this host up to
    /// date. Call before a target of `service` is chosen.
    void update_limits(service_id const& service, time_point now)
    {
        update_gate(service, now);
        if (limits.empty())
        {
            limiter.clear();
            return;
        }
        limiter.update(limits, targets.usable(service),
                       request_limit::group_of(settings.host,
                                               other_hosts.host_ids(),
                                               known_host_count),
                       now);
    }

    void update_gate(service_id const& service, time_point now)
    {
        if (rejection_limits.empty())
        {
            rejection_gate.clear();
            return;
        }
        auto const usable = targets.usable(service);
        auto uses = std::vector<rejection_limit::target_use>{};
        for (auto const& it : usable)
        {
            uses.push_back({loads.at_target(it.id).requests,
                            other_hosts.load_of(it.id).requests});
        }
        auto demand = rejection_limit::fleet_demand{};
        demand.hosts = request_limit::group_of(
            settings.host, other_hosts.host_ids(), known_host_count);
        if (auto const rate = other_hosts.request_rate(service, now))
        {
            demand.others = request_limit::request_rate{*rate};
        }
        rejection_gate.update(rejection_limits, rejections, usable, uses,
                              demand, now);
    }

    /// `id` is no longer listed.
    void remove_target(target_id const& id)
    {
        detector.remove_target(id);
        pauses.remove_target(id);
        limits.remove_target(id);
        limiter.remove_target(id);
        rejection_limits.remove_target(id);
        rejections.remove_target(id);
        rejection_gate.remove_target(id);
        for (auto& [service, costs] : expected_costs)
        {
            costs.speeds.remove(id);
            costs.work.remove(id);
        }
    }

    net::event_loop& loop;
    protocol const& wire;
    host_settings settings;
    random_source random;
    std::shared_ptr<routes::route_table const> table;
    directory::target_directory targets;
    dispatch::failure_detector detector;
    dispatch::own_link own_link;
    dispatch::load_tracker loads;
    dispatch::target_pauses pauses;
    request_limit::limit_table limits;
    request_limit::limiter limiter;
    request_limit::limit_table rejection_limits{rejection_limit_report_period};
    rejection_limit::rejection_log rejections;
    rejection_limit::gate rejection_gate;
    stream_origin::origin_table origins;
    /// The origins of streams that began before this host started have been
    /// fetched, or no other host knows them.
    bool origins_complete = false;
    stream_origin::served_versions served_versions;
    stream_origin::record_confirmation record_confirmation;
    /// Reads the record of a service from the store (`version_reader`).
    std::function<void(service_id const&, stream_origin::record_handler)>
        read_versions =
            [](service_id const&, stream_origin::record_handler const& done)
    {
        done({});
    };
    /// `targets` is what the store lists now (`fleet::list_is_current`).
    bool list_is_current = false;
    quarantine::part_quarantine quarantine;
    quarantine::trial_permission trials;
    quarantine::unresolved_runs unresolved_runs;
    fleet::fleet_view other_hosts;
    fleet::own_counts request_counts;
    std::size_t known_host_count = assumed_host_count;
    /// Targets found unreachable since the last digest was sent.
    std::vector<target_id> newly_lost;
    /// Targets found replaced since the last digest was sent.
    std::vector<target_id> newly_replaced;
    connect_prober prober;
    /// This host's own paths to the targets of each service.
    reachability::direct_path paths;
    reachability::helper_backoff helpers;
    reachability::reported_losses reported_losses;
    /// Tunnels of this host through others.
    std::map<host_id, std::uint32_t> open_tunnels;
    /// Where a host takes tunnels; nothing if its address is not known.
    std::function<std::optional<net::endpoint>(host_id const&)> tunnel_address =
        [](host_id const&)
    {
        return std::nullopt;
    };
    /// Probes that are about to be made.
    std::map<service_id, net::timer> path_probes;
    /// The same of targets with unresolved runs.
    std::map<target_id, net::timer> crash_probes;
    class background_calls background_calls;
    metrics::gateway_metrics metrics;
    std::map<relay*, std::shared_ptr<relay>> relays;
    dispatch::completion_time_table completion_times;
    /// Services with an engine or a stream that this host has asked for.
    std::map<service_id, dispatch::service_times> service_times;
    rollout::rollout_table rollouts{settings.rollouts};
    /// Services with an engine that this host has asked for.
    std::map<service_id, expected_cost::service_estimates> expected_costs;
    /// Time of SIGTERM; empty before it.
    std::optional<time_point> shutdown_started_at;
};

} // namespace primrosedeal::gateway
