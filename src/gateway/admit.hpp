#pragma once

#include "core/random.hpp"
#include "core/units.hpp"
#include "gateway/protocol.hpp"
#include "routes/route_table.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

/// Admission of a request: matches its route, API key and service in the
/// configuration in force.
namespace primrosedeal::gateway
{

/// Why a request ended without a target's response. `to_string` gives the label
/// in metrics and log lines.
enum class refusal_reason
{
    no_configuration,
    no_route,
    no_id,
    no_key,
    unknown_key,
    leaving,
    no_target,
    /// The route no longer allows the service that began the stream.
    service_gone,
    /// It is not known which of several services began the stream.
    service_unknown,
    /// No target of the version that began the stream takes requests.
    version_gone,
    /// It is not known which of several versions began the stream.
    version_unknown,
    /// All targets want no requests from this host for a while.
    targets_paused,
    /// The targets with room take no more requests from this host now.
    target_limits,
    /// Targets that survive few rejections may have no room.
    rejection_limits,
    deadline,
    retry_budget,
    attempts_used,
    /// This host reaches no target.
    own_link_down,
    /// The direct path to the targets is lost and no host can help.
    no_path,
    /// The response cannot be completed before the deadline.
    hopeless,
    client_gone,
    /// The request or a part of its prompt is quarantined.
    quarantined,
    /// Targets crashed under the request.
    target_crashes,
};

auto to_string(refusal_reason it) -> std::string_view;

struct refusal
{
    int status = 0;
    refusal_reason reason = refusal_reason::no_route;
    std::optional<duration> retry_after;
};

struct admitted
{
    routes::route const* route = nullptr;
    routes::service const* service = nullptr;
    std::optional<organisation_id> organisation;
    /// 0 is the highest priority.
    int priority = 0;
    /// The earlier of the client's deadline and the route's timeout.
    time_point deadline_at{};
    /// Arrival plus the route's latency objective.
    time_point objective_at{};
};

using admission_result = std::variant<admitted, refusal>;

/// Retry-After of a host that has no configuration, or no service for the
/// route, yet.
constexpr auto retry_after_unready = duration{300ms};

/// `table` is null before the first configuration has been read.
auto admit(routes::route_table const* table, request_metadata const& client,
           std::string_view target, time_point now, random_source& random)
    -> admission_result;

} // namespace primrosedeal::gateway
