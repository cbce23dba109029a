#pragma once

#include "gateway/digest_exchange.hpp"
#include "gateway/host_state.hpp"
#include "gateway/peer_exchange.hpp"

#include <functional>
#include <optional>
#include <set>

/// Tells all hosts what this one has running and has met, and takes what they
/// tell into `host_state`.
namespace primrosedeal::gateway
{

struct digest_task_events
{
    /// How long the store has answered this host; nothing if it does not.
    std::function<std::optional<duration>(time_point now)> store_contact;
    /// Another host was told that `id` has been replaced.
    std::function<void(target_id const& id, time_point now)> on_replaced;
};

class digest_task
{
public:
    digest_task(host_state& host, peer_exchange const& peers,
                digest_task_events events);

    /// Throws std::runtime_error if the address of the settings is taken.
    void start();

private:
    void on_digest(fleet::digest const& it, time_point now);
    void send(time_point now);
    auto own(time_point now) -> fleet::digest;
    [[nodiscard]] auto receivers() const -> std::set<net::endpoint>;

    host_state& host_;
    peer_exchange const& peers_;
    digest_task_events events_;
    digest_exchange exchange_;
    incarnation start_;
    std::uint64_t sequence_ = 0;
    std::uint64_t told_changes_ = 0;
    time_point told_at_{};
    net::timer timer_;
};

} // namespace primrosedeal::gateway
