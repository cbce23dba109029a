#pragma once

#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <functional>
#include <optional>
#include <string>

/// The operators' port: `/metrics`, `/healthz`, `/readyz` and `/status`.
///
/// The first three are open to whoever reaches the port, as scrapers and
/// balancers expect; `/status` asks for the operators' bearer secret.
namespace primrosedeal::serve
{

/// What the port shows beside the metrics.
struct operators_view
{
    /// Nothing while ready; otherwise why not.
    std::function<std::optional<std::string>()> why_not_ready;
    /// JSON for `/status`.
    std::function<std::string()> status;
    /// Runs before the metrics are read.
    std::function<void()> refresh_metrics;
};

class operators_port
{
public:
    /// Listens at once. Throws std::runtime_error if it cannot.
    operators_port(net::event_loop& loop, net::endpoint const& at,
                   std::string secret, metrics::process_metrics& counters,
                   operators_view view);

private:
    auto respond(net::server_request const& it) -> net::http_response;

    std::string secret_;
    metrics::process_metrics& counters_;
    operators_view view_;
    net::http_server server_;
};

/// Whether `it` carries `secret` as its bearer; takes the same time for
/// every wrong one of equal length.
auto proves_secret(net::server_request const& it, std::string const& secret)
    -> bool;

} // namespace primrosedeal::serve
