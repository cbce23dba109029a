#pragma once

#include "declare/in_force.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Asks entry hosts' operators' ports, as the flags --operators and
/// --secret_file name them.
namespace primrosedeal::cli
{

struct status_answer
{
    std::string address;
    /// Nothing: no answer, or not one with our secret.
    std::optional<nlohmann::json> status;
};

/// Throws std::invalid_argument for a bad --operators or --secret_file.
void ask_all_hosts(net::event_loop& loop,
                   std::function<void(std::vector<status_answer>)> done);

/// What `declare` needs of an answer; an unreachable host is named by its
/// address.
auto to_host_status(status_answer const& it) -> declare::host_status;

} // namespace primrosedeal::cli
