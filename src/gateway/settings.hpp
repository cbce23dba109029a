#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <stdexcept>
#include <vector>

/// Settings of one gateway process, whatever file they came from.
namespace primrosedeal::gateway
{

struct host_settings
{
    host_id host;
    domain_id domain;
    /// Where clients are served.
    net::endpoint clients;
    /// Where the balancer asks whether this host takes new connections.
    net::endpoint readiness;
    /// Where other hosts ask for the state this one holds.
    net::endpoint peers;
    /// Where this host and all others take digests, as datagrams.
    net::endpoint digests;
    net::endpoint metrics;
    net::endpoint store;
    /// Peers known before the store answers; they may be stale.
    std::vector<net::endpoint> seeds;
    /// Time from SIGTERM until the process is killed.
    duration shutdown_grace = 8s;
    /// Further attempts allowed in `fleet::attempt_window`, over all hosts:
    /// this part of the requests, and this many besides.
    double retry_ratio = 0.8;
    double retry_slack = 150;
    /// Descriptors that the process may hold.
    std::size_t max_descriptors = 4096;

    friend auto operator==(host_settings const&, host_settings const&)
        -> bool = default;
};

/// A settings file that cannot be used: file, key and reason in one line.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace primrosedeal::gateway
