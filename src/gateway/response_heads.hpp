#pragma once

#include "core/units.hpp"
#include "http1/message.hpp"

#include <optional>

/// Heads of the responses that clients get.
namespace primrosedeal::gateway
{

/// Retry-After if the client's next connection, which reaches another host, is
/// served at once.
constexpr auto retry_after_elsewhere = duration{10ms};

/// Status and end-to-end headers of a target's response.
auto forwarded(http1::response_head const& it) -> http1::response_head;

/// Head of an error response of this host.
auto make_error_head(int status, std::optional<duration> retry_after)
    -> http1::response_head;

} // namespace primrosedeal::gateway
