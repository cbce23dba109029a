#include "gateway/admit.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

namespace
{

constexpr auto bad_request = 400;
constexpr auto unauthorised = 401;
constexpr auto not_found = 404;
constexpr auto unavailable = 503;

} // namespace

auto to_string(refusal_reason it) -> std::string_view
{
    switch (it)
    {
    case refusal_reason::no_configuration:
        return "no_configuration";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::no_id:
        return "no_id";
    case refusal_reason::no_key:
        return "no_key";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::service_gone:
        return "service_gone";
    case refusal_reason::service_unknown:
        return "service_unknown";
    case refusal_reason::version_gone:
        return "version_gone";
    case refusal_reason::version_unknown:
        return "version_unknown";
    case refusal_reason::targets_paused:
        return "targets_paused";
    case refusal_reason::target_limits:
        return "target_limits";
    case refusal_reason::rejection_limits:
        return "rejection_limits";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::retry_budget:
        return "retry_budget";
    case refusal_reason::attempts_used:
        return "attempts_used";
    case refusal_reason::own_link_down:
        return "own_link_down";
    case refusal_reason::no_path:
        return "no_path";
    case refusal_reason::hopeless:
        return "hopeless";
    case refusal_reason::client_gone:
        return "client_gone";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::target_crashes:
        return "target_crashes";
    }
    return "unknown";
}

auto admit(routes::route_table const* table, request_metadata const& client,
           std::string_view target, time_point now, random_source& random)
    -> admission_result
{
    if (table == nullptr)
    {
        return refusal{unavailable, refusal_reason::no_configuration,
                       retry_after_unready};
    }
    auto const* const route = table->match(client.host, target);
    if (route == nullptr)
    {
        return refusal{not_found, refusal_reason::no_route, {}};
    }
    if (client.id.value().empty())
    {
        return refusal{bad_request, refusal_reason::no_id, {}};
    }
    auto const* const holder =
        client.key ? table->find_organisation(*client.key) : nullptr;
    if (table->requires_keys() && !route->anonymous && holder == nullptr)
    {
        return refusal{unauthorised,
                       client.key ? refusal_reason::unknown_key
                                  : refusal_reason::no_key,
                       {}};
    }
    auto const* const chosen = routes::choose_service(*route, random);
    auto const* const service =
        chosen == nullptr ? nullptr : table->find(*chosen);
    if (service == nullptr)
    {
        return refusal{unavailable, refusal_reason::no_target,
                       retry_after_unready};
    }
    auto out = admitted{};
    out.route = route;
    out.service = service;
    out.priority = route->priority;
    if (holder != nullptr)
    {
        out.organisation = holder->id;
        out.priority = holder->priority.value_or(route->priority);
    }
    out.deadline_at =
        now + std::min(route->timeout,
                       client.client_timeout.value_or(route->timeout));
    out.objective_at = now + route->objective;
    return out;
}

} // namespace primrosedeal::gateway
