#pragma once

#include "external/key_value.hpp"
#include "gateway/host_state.hpp"
#include "gateway/origin_task.hpp"
#include "gateway/peer_exchange.hpp"

#include <cstdint>
#include <functional>
#include <map>

/// Applies the decisions of `rollout` to one host: its table gets orders and
/// statuses from the store's entries and a view of targets and hosts several
/// times a second, and the statuses that the host is to write go to the store.
///
/// A write names the revisions of the status and of the order that it goes by.
/// So one that takes effect late changes nothing of a newer order, and a status
/// belongs to the order that it was written after.
namespace primrosedeal::gateway
{

class rollout_task
{
public:
    rollout_task(host_state& host, peer_exchange const& peers,
                 external::key_value_service& store);
    rollout_task(rollout_task const&) = delete;
    auto operator=(rollout_task const&) -> rollout_task& = delete;

    void apply(rollout_order_entry const& it, store_position const& store,
               time_point now);
    void apply(rollout_status_entry const& it, store_position const& store,
               time_point now);
    void apply(rollout_entry_removed const& it, store_position const& store,
               time_point now);

    /// Call several times a second.
    void tick(store_position const& store, time_point now);

private:
    [[nodiscard]] auto view_fleet(store_position const& store, time_point now)
        -> rollout::fleet_state;
    [[nodiscard]] auto view_service(service_id const& service,
                                    rollout::order const& it) const
        -> rollout::service_view;
    [[nodiscard]] auto outstanding_elsewhere(service_id const& service,
                                             rollout::order const& it) const
        -> std::uint64_t;
    void log_changes();
    void write(rollout::status_write const& it, store_position const& store);

    host_state& host_;
    peer_exchange const& peers_;
    external::key_value_service& store_;
    /// When each known host was last heard, or first known.
    std::map<host_id, time_point> heard_at_;
};

} // namespace primrosedeal::gateway
