#pragma once

#include "external/etcd_client.hpp"
#include "membership/task.hpp"
#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "serve/claim_store.hpp"
#include "serve/configuration_watch.hpp"
#include "serve/messages.hpp"
#include "serve/operators_port.hpp"
#include "serve/target_watch.hpp"
#include "settings/host_settings.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// The task that talks to the platform, to other entry hosts and to
/// operators. The data plane goes on without it.
namespace primrosedeal::serve
{

class control_plane
{
public:
    /// `on_drained` runs when the data plane has finished after
    /// `start_drain`. Throws std::runtime_error if a port cannot be opened.
    control_plane(net::event_loop& loop,
                  settings::host_settings const& settings, incarnation start,
                  std::uint64_t seed, metrics::process_metrics& counters,
                  std::function<void(to_data)> send_to_data,
                  std::function<void()> on_drained);

    /// Runs on this task's loop.
    void on_message(to_control const& it);

    /// Readiness drops; the data plane finishes what is in flight.
    void start_drain();

    /// Nothing while this host serves; otherwise why not.
    [[nodiscard]] auto why_not_ready() const -> std::optional<std::string>;

    [[nodiscard]] auto targets_known() const -> bool
    {
        return targets_.has_list();
    }

    /// Where other entry hosts reach this one.
    [[nodiscard]] auto peers_at() const -> net::endpoint const&
    {
        return members_.self().address;
    }

    [[nodiscard]] auto leaving_targets() const -> std::size_t;

private:
    void take(target_seen const& it);
    void take(claim_wanted const& it);
    void take(usage_digest const& it);
    void take(drained const& it);

    void on_list(external::host_list const& it);
    [[nodiscard]] auto answer_peer(std::string_view name) const
        -> std::optional<std::string>;
    void on_member(membership::member const& it);
    void on_item(membership::record const& it, host_id const& from);
    void publish(membership::topic topic, std::string const& name,
                 std::uint64_t sequence, membership::urgency urgency,
                 std::string payload, std::chrono::seconds lifetime);
    [[nodiscard]] auto task_settings_of(std::uint64_t seed) const
        -> membership::task_settings;
    [[nodiscard]] auto domain_hosts() const -> std::vector<host_id>;
    [[nodiscard]] auto count_targets(target::target_state state) const
        -> std::size_t;
    [[nodiscard]] auto status() const -> std::string;
    void refresh_metrics();

    net::event_loop& loop_;
    settings::host_settings settings_;
    incarnation start_;
    metrics::process_metrics& counters_;
    std::function<void(to_data)> to_data_;
    std::function<void()> on_drained_;
    external::etcd_client store_;
    claim_store claims_;
    membership::membership_task members_;
    target_watch targets_;
    configuration_watch configuration_;
    operators_port operators_;
    std::uint64_t usage_sequence_ = 0;
    bool draining_ = false;
};

} // namespace primrosedeal::serve
