#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The operators' configuration of the gateway: routes, services, organisations
/// and client limits.
namespace primrosedeal::routes
{

/// Increases with every accepted change, not necessarily by 1.
using configuration_version =
    strong<struct configuration_version_tag, std::uint64_t>;

enum class request_kind
{
    /// May run any number of times.
    idempotent,
    /// Runs at most once per client attempt.
    non_idempotent,
    /// Answered by a stream of events; retryable only if resumable.
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
    /// Upper bound on the time to an answer, even if the client allows more.
    duration timeout{};
    /// Latency objective for the answer, or for the first event of a stream.
    duration objective{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Number of targets on which one request may run.
    std::uint32_t max_attempts = 1;
    /// Requests need no key.
    bool anonymous = false;
    /// A broken stream may resume at another target.
    bool resumable = false;
    /// Objective for the longest pause between two events; 0: none.
    duration gap_objective{};
    std::vector<service_share> split;
};

/// Limits of a service whose targets are model engines.
struct engine_limits
{
    /// Requests that a target runs concurrently.
    std::uint32_t slots = 1;
    /// Tokens of prompts and output that fit into one target's memory.
    token_count memory;
    /// A target can copy a running request to a second target continuously.
    bool supports_continuous_copy = false;
    /// A target can copy a running request to a second target on demand.
    bool supports_copy_on_demand = false;
    /// Time after which a copy made on demand expires.
    duration copy_lifetime{};
};

struct service
{
    service_id id;
    std::string health_path;
    /// Connections that a target accepts from all hosts together.
    std::uint32_t max_connections = 0;
    std::optional<engine_limits> engine;
};

struct organisation
{
    organisation_id id;
    /// Overrides the route's priority.
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
