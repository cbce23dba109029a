#pragma once

#include "fleet/state_sender.hpp"
#include "gateway/digest_exchange.hpp"
#include "gateway/host_state.hpp"
#include "gateway/peer_exchange.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

/// Sends this host's load, counts, target failures and evidence to other hosts
/// as `fleet::state_sender` decides, and applies what is received from them to
/// `host_state`.
namespace primrosedeal::gateway
{

struct digest_task_events
{
    /// How long this host has been in contact with the store; empty if it is
    /// not in contact.
    std::function<std::optional<duration>(time_point now)> store_contact;
    /// The configuration that this host uses.
    std::function<std::optional<fleet::used_configuration>()> configuration;
    /// Another host reported that `id` has been replaced.
    std::function<void(target_id const& id, time_point now)> on_replaced;
};

class digest_task
{
public:
    digest_task(host_state& host, peer_exchange const& peers,
                digest_task_events events);

    /// Throws std::runtime_error if the configured address cannot be bound.
    void start();

    [[nodiscard]] auto traffic() const -> traffic_bytes const&
    {
        return exchange_.traffic();
    }

private:
    void on_digest(fleet::digest const& it, time_point now);
    void send(time_point now);
    [[nodiscard]] auto make_digest(time_point now) const -> fleet::digest;
    void update_receivers();

    host_state& host_;
    peer_exchange const& peers_;
    digest_task_events events_;
    digest_exchange exchange_;
    incarnation incarnation_;
    fleet::state_sender sender_;
    /// Derived from `peers_` as of `receivers_as_of_`.
    std::vector<host_id> receivers_;
    std::optional<std::uint64_t> receivers_as_of_;
    /// Whether the store answered at the last call of `send`, and how often
    /// that has changed.
    bool reported_contact_ = false;
    std::vector<service_id> reported_unreachable_;
    routes::configuration_version reported_configuration_;
    /// Changes of the three above.
    std::uint64_t state_changes_ = 0;
    net::timer timer_;
};

} // namespace primrosedeal::gateway
