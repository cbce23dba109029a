#pragma once

#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "order/order_coordinator.hpp"
#include "serve/caller.hpp"
#include "serve/placement.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Calls that may not be repeated: the `order::order_coordinator` joined with
/// callers, targets, the key-value service and other entry hosts.
namespace primrosedeal::serve
{

class orders
{
public:
    orders(net::event_loop& loop, order::process_id self,
           std::string peer_secret, std::uint64_t seed, placement& places,
           metrics::process_metrics& counters,
           std::function<void(claim_wanted)> to_platform);
    orders(orders const&) = delete;
    auto operator=(orders const&) -> orders& = delete;

    /// `POST /v1/services/SERVICE/tickets`. Throws request_error.
    void give_ticket(caller_request const& from);

    /// `POST /v1/services/SERVICE/calls/PATH`. Throws request_error.
    void call(caller_request const& from, service_id const& service,
              std::string const& path);

    /// `POST /peer/orders`: another entry host hands over an order whose
    /// ticket names this process. The caller has checked the peer's secret.
    void handed_over(net::server_request const& it,
                     std::shared_ptr<net::responder> const& answer);

    /// What the key-value service answered.
    void on_platform(order::event const& it);

    void set_peers(std::vector<peer_entry> peers);

    /// Orders and callers that still wait for an outcome.
    [[nodiscard]] auto open() const -> std::size_t
    {
        return asks_.size();
    }

private:
    struct open_ask
    {
        std::shared_ptr<net::responder> answer;
        bool from_peer = false;
    };

    void ask(order::order_requested it, open_ask const& from);
    void feed(order::event const& it);
    void perform(order::actions const& actions);
    void perform_one(order::write_claim const& it);
    void perform_one(order::read_claim const& it);
    void perform_one(order::mark_abandoned const& it);
    void perform_one(order::dispatch const& it);
    void perform_one(order::send_reply const& it);
    void perform_one(order::forward const& it);
    void send(order::dispatch const& it, target_entry const& target);
    void report(order::dispatch const& of, order::dispatch_result outcome);
    void arm_timer();
    [[nodiscard]] auto peer_address(host_id const& host) const
        -> net::endpoint const*;

    net::event_loop& loop_;
    order::process_id self_;
    std::string peer_secret_;
    placement& places_;
    metrics::process_metrics& counters_;
    std::function<void(claim_wanted)> to_platform_;
    order::order_coordinator book_;
    std::vector<peer_entry> peers_;
    std::uint64_t next_ask_ = 0;
    std::map<order::order_request_id, open_ask> asks_;
    std::map<order::idempotency_key, std::unique_ptr<net::http_call>> sent_;
    std::map<order::order_request_id, std::unique_ptr<net::http_call>>
        forwarded_;
    net::timer timer_;
};

} // namespace primrosedeal::serve
