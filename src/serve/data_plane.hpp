#pragma once

#include "admission/admitter.hpp"
#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "serve/completions.hpp"
#include "serve/lookups.hpp"
#include "serve/messages.hpp"
#include "serve/orders.hpp"
#include "serve/placement.hpp"
#include "settings/host_settings.hpp"

#include <functional>
#include <memory>

/// The task that serves callers. It owns their connections and those to
/// targets, and never waits for the platform or for other hosts.
namespace primrosedeal::serve
{

class data_plane
{
public:
    /// `send_to_control` may be called from this task's loop at any time.
    data_plane(net::event_loop& loop, settings::host_settings const& settings,
               incarnation start, std::uint64_t seed,
               metrics::process_metrics& counters,
               std::function<void(to_control)> send_to_control);
    data_plane(data_plane const&) = delete;
    auto operator=(data_plane const&) -> data_plane& = delete;
    ~data_plane();

    /// Starts to listen; returns the port.
    auto listen() -> std::uint16_t;

    /// Runs on this task's loop.
    void on_message(to_data const& it);

private:
    void take(targets_changed const& it);
    void take(configuration_changed const& it);
    void take(load_reported const& it);
    void take(claim_answer const& it);
    void take(usage_heard const& it);
    void take(peers_changed const& it);
    void take(drain const& it);

    void on_request(net::server_request it,
                    std::shared_ptr<net::responder> const& answer);
    void route(net::server_request it,
               std::shared_ptr<net::responder> const& answer);
    void route_service(caller_request const& from);
    void route_peer(net::server_request const& it,
                    std::shared_ptr<net::responder> const& answer);
    void tick();
    void tell_usage();
    void check_drained();

    net::event_loop& loop_;
    settings::host_settings settings_;
    metrics::process_metrics& counters_;
    std::function<void(to_control)> to_control_;
    placement places_;
    admission::admitter admitter_;
    completions completions_;
    orders orders_;
    lookups lookups_;
    std::shared_ptr<configuration_view const> configuration_;
    net::http_server server_;
    net::timer tick_;
    net::timer usage_timer_;
    std::size_t hosts_ = 1;
    net::timer listen_until_;
    bool draining_ = false;
    bool stopped_listening_ = false;
    bool drained_ = false;
};

} // namespace primrosedeal::serve
