#pragma once

#include "core/random.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Seeded arrivals of about ten organisations, a few of them large, whose
/// prompts share prefixes: the service's, the organisation's, a document's.
namespace primrosedeal::bench
{

struct workload_settings
{
    std::uint64_t seed = 20261203;
    duration length = 120s;
    double requests_per_second = 60;
    std::uint32_t hosts = 8;
    /// Documents of each organisation.
    std::uint32_t documents = 100;
    /// Generations that run for minutes.
    double long_share = 0.07;
};

struct request
{
    time_point at{};
    std::uint64_t key = 0;
    std::uint32_t host = 0;
    std::uint32_t organisation = 0;
    int priority = 0;
    std::shared_ptr<std::vector<std::uint64_t> const> prompt;
    std::uint32_t length = 0;
};

/// Relative demand of each organisation.
auto organisation_weights() -> std::vector<double> const&;

auto organisation_name(std::uint32_t n) -> std::string;

/// Open-loop arrivals, in order of time.
auto make_workload(workload_settings const& settings) -> std::vector<request>;

} // namespace primrosedeal::bench
