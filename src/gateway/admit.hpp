#pragma once

#include "core/random.hpp"
#include "core/units.hpp"
#include "gateway/protocol.hpp"
#include "routes/route_table.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <variant>

/// Whether a request is allowed at all, by the configuration in force.
namespace primrosedeal::gateway
{

/// Why a request ended without a target's answer. The text labels counters
/// and log lines.
enum class refusal_reason
{
    no_configuration,
    no_route,
    no_id,
    no_key,
    unknown_key,
    leaving,
    no_target,
    deadline,
    retry_budget,
    attempts_used,
    /// The answer could not be whole in the time that is left.
    hopeless,
    client_gone,
};

auto to_string(refusal_reason it) -> std::string_view;

struct refusal
{
    int status = 0;
    refusal_reason why = refusal_reason::no_route;
    std::optional<duration> retry_after;
};

struct admitted
{
    routes::route const* route = nullptr;
    routes::service const* service = nullptr;
    std::optional<organisation_id> organisation;
    /// 0 is the most urgent.
    int priority = 0;
    /// The client's deadline or the route's timeout, whichever is sooner.
    time_point give_up_at{};
    time_point objective_at{};
};

using admission_verdict = std::variant<admitted, refusal>;

/// How long a client waits before asking a host that knows nothing yet.
constexpr auto retry_after_start = duration{300ms};

/// `table` may be null: no configuration is known yet.
auto admit(routes::route_table const* table, client_facts const& client,
           std::string_view target, time_point now, random_source& random)
    -> admission_verdict;

} // namespace primrosedeal::gateway
