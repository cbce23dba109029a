#pragma once

#include "core/random.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/feasibility.hpp"
#include "dispatch/load_tracker.hpp"
#include "dispatch/shutdown.hpp"
#include "dispatch/time_estimates.hpp"
#include "fleet/fleet_view.hpp"
#include "gateway/connect_prober.hpp"
#include "gateway/errands.hpp"
#include "gateway/protocol.hpp"
#include "gateway/settings.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"
#include "routes/route_table.hpp"

#include <map>
#include <memory>

/// What all requests of one host share. Lives on the loop's thread.
namespace primrosedeal::gateway
{

class relay;

/// Hosts assumed until the store tells how many there are.
constexpr auto assumed_hosts = std::size_t{8};

/// Time of a stream assumed before one has ended here: several hundred
/// tokens at the engines' pace under load.
constexpr auto first_stream_time = duration{6s};

struct host_state
{
    host_state(net::event_loop& on, protocol const& names, host_settings its,
               std::uint64_t seed)
        : loop(on), wire(names), settings(std::move(its)), random(seed),
          prober(on)
    {
    }

    /// Whether one more attempt for `service` stays within the bound that all
    /// hosts share; counts it if so.
    auto take_attempt(service_id const& service, fleet::attempt_purpose purpose,
                      time_point now) -> bool
    {
        auto const allowance = fleet::attempt_allowance{
            settings.retry_ratio, settings.retry_slack, known_hosts};
        auto const allowed = fleet::may_attempt(
            allowance, purpose, counts.recent(service, now),
            others.recent(service, now), others.live_hosts());
        if (allowed)
        {
            counts.further_attempt(service, now);
        }
        return allowed;
    }

    net::event_loop& loop;
    protocol const& wire;
    host_settings settings;
    random_source random;
    std::shared_ptr<routes::route_table const> table;
    directory::target_directory targets;
    dispatch::failure_detector doubts;
    dispatch::load_tracker loads;
    fleet::fleet_view others;
    fleet::own_counts counts;
    std::size_t known_hosts = assumed_hosts;
    /// Found unreachable since the last digest.
    std::vector<target_id> just_lost;
    /// Found replaced since the last digest.
    std::vector<target_id> just_replaced;
    connect_prober prober;
    class errands errands;
    metrics::gateway_metrics metrics;
    std::map<relay*, std::shared_ptr<relay>> relays;
    dispatch::stream_time_estimate stream_time{first_stream_time};
    dispatch::prefill_estimate reading_time;
    dispatch::stream_estimate stream_shape;
    /// Set at SIGTERM.
    std::optional<time_point> leaving_since;
};

} // namespace primrosedeal::gateway
