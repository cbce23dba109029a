#include "gateway/request_limit_events.hpp"

#include "log/log.hpp"

#include <string>

namespace primrosedeal::gateway
{

void on_limit_changed(host_state& host, target_id const& target,
                      std::optional<request_limit::request_rate> limit,
                      std::string_view source)
{
    host.metrics.request_limit_changed(source);
    log::write(log::level::info, "request_limit_changed",
               {{"target", target.value()},
                {"limit", limit ? std::to_string(limit->value()) : "none"},
                {"source", std::string{source}}});
}

void on_rejection_limit_changed(
    host_state& host, target_id const& target,
    std::optional<request_limit::request_rate> limit, std::string_view source)
{
    host.metrics.rejection_limit_changed(source);
    log::write(log::level::info, "rejection_limit_changed",
               {{"target", target.value()},
                {"limit", limit ? std::to_string(limit->value()) : "none"},
                {"source", std::string{source}}});
}

} // namespace primrosedeal::gateway
