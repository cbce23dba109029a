#pragma once

#include "load/options.hpp"
#include "standins/token_model.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The arrivals of a load run, planned before it starts from the seed alone,
/// so that a slow system cannot slow them down.
namespace primrosedeal::load
{

struct planned_generation
{
    standins::generation_request request;
    bool is_long = false;
};

struct planned_order
{
    std::string body;
};

struct planned_lookup
{
    std::string path;
};

struct planned_call
{
    /// Intended time of sending, from the start of the run.
    duration at{};
    std::uint64_t index = 0;
    std::string key;
    std::variant<planned_generation, planned_order, planned_lookup> what;
};

/// All calls in order of time. Throws std::invalid_argument if there is no
/// host or no key.
auto plan_workload(load_options const& options) -> std::vector<planned_call>;

} // namespace primrosedeal::load
