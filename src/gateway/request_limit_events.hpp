#pragma once

#include "gateway/host_state.hpp"

#include <optional>
#include <string_view>

/// Logs and counts changes of the limits that targets state.
namespace primrosedeal::gateway
{

/// `source`: "response" if this host observed it, else "peer".
void on_limit_changed(host_state& host, target_id const& target,
                      std::optional<request_limit::request_rate> limit,
                      std::string_view source);

/// The same of rejection limits.
void on_rejection_limit_changed(
    host_state& host, target_id const& target,
    std::optional<request_limit::request_rate> limit, std::string_view source);

} // namespace primrosedeal::gateway
