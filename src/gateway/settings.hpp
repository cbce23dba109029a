#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"
#include "rollout/plan.hpp"

#include <cstddef>
#include <stdexcept>
#include <vector>

/// Settings of one gateway process, independent of the settings file's format.
namespace primrosedeal::gateway
{

struct host_settings
{
    host_id host;
    domain_id domain;
    /// Listening address for clients.
    net::endpoint clients;
    /// Listening address for the load balancer's readiness checks.
    net::endpoint readiness;
    /// Listening address for other hosts, which fetch this host's copy of the
    /// store and follow its feed.
    net::endpoint peers;
    /// Address on which this host receives digests (UDP); the port is the same
    /// on all hosts.
    net::endpoint digests;
    /// Listening address for other hosts that reach targets through this one;
    /// the port is the same on all hosts.
    net::endpoint tunnels;
    net::endpoint metrics;
    net::endpoint store;
    /// Peers to contact before the store has answered; may be stale.
    std::vector<net::endpoint> seeds;
    /// Time from SIGTERM until the process is killed.
    duration shutdown_grace = 8s;
    /// Time in which a change in the store has to be in force on each host.
    duration change_bound = 2s;
    /// Retry budget of all hosts together, per `fleet::attempt_window`: further
    /// attempts as a fraction of the requests, plus a constant number.
    double retry_ratio = 0.8;
    double retry_slack = 150;
    rollout::rollout_bounds rollouts;
    /// Speed of this host's link in bytes a second; zero if unknown.
    double link_bytes_per_second = 0;
    /// Limit of open file descriptors.
    std::size_t max_descriptors = 4096;
    /// Limit of this process's memory in bytes; zero if unknown.
    std::size_t memory_limit = 0;

    friend auto operator==(host_settings const&, host_settings const&)
        -> bool = default;
};

/// An invalid settings file. `what()` is one line with file, key and reason.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace primrosedeal::gateway
