#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What the operators have declared for the gateway: routes, services,
/// organisations and limits of clients.
namespace primrosedeal::routes
{

/// Grows with every accepted change, in uneven steps.
using configuration_version =
    strong<struct configuration_version_tag, std::uint64_t>;

enum class request_kind
{
    /// May run any number of times.
    idempotent,
    /// May run once at most for each client attempt.
    non_idempotent,
    /// Answered by a stream of events; repeatable only where resumable.
    streaming,
};

auto to_string(request_kind it) -> std::string_view;

struct service_share
{
    service_id service;
    std::uint32_t weight = 0;
};

struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// A request is answered by then, whatever the client allows.
    duration timeout{};
    /// Time to the answer, or to a stream's first event, that is on time.
    duration objective{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Targets on which one request may run.
    std::uint32_t max_attempts = 1;
    /// No key is asked for.
    bool anonymous = false;
    /// A broken stream may go on at another target.
    bool resumable = false;
    /// Longest pause between two events that is on time; 0: none is stated.
    duration gap_objective{};
    std::vector<service_share> split;
};

/// Limits of a service whose targets are model engines.
struct engine_limits
{
    /// Requests that run side by side.
    std::uint32_t slots = 1;
    /// Tokens of prompts and output that fit into one target's memory.
    token_count memory;
    /// Running requests can be copied to a second target as they grow.
    bool keeps_backups = false;
    /// A running request can be copied to a second target when asked for.
    bool copies_runs = false;
    /// Time that such a copy is kept for.
    duration copy_lifetime{};
};

struct service
{
    service_id id;
    std::string health_path;
    /// Connections that a target takes from all hosts together.
    std::uint32_t max_connections = 0;
    std::optional<engine_limits> engine;
};

struct organisation
{
    organisation_id id;
    /// Goes before the route's priority.
    std::optional<int> priority;
    std::vector<std::string> keys;
};

struct client_limits
{
    std::size_t head_bytes = std::size_t{16} << 10U;
    std::size_t body_bytes = std::size_t{4} << 20U;
    duration head_timeout = 3s;
    duration idle_timeout = 15s;
};

struct configuration
{
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    client_limits limits;
};

} // namespace primrosedeal::routes
