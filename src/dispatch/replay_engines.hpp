#pragma once

#include "directory/target_directory.hpp"
#include "rejection_limit/gate.hpp"
#include "request_limit/limiter.hpp"

#include <cstddef>
#include <string>
#include <vector>

/// Simulated engines for the replay tests.
namespace primrosedeal::dispatch
{

constexpr auto replay_domains = std::size_t{4};
constexpr auto replay_targets = std::size_t{36};

inline auto const no_limits = request_limit::limiter{};
inline auto const no_gate = rejection_limit::gate{};

/// Identical engines `t0`, `t1`, ... assigned to the domains `d0` to `d3`
/// round-robin.
inline auto replay_engines() -> std::vector<directory::listed_target>
{
    constexpr auto slots = 64;
    auto out = std::vector<directory::listed_target>{};
    for (auto i = std::size_t{0}; i < replay_targets; ++i)
    {
        auto it = directory::listed_target{};
        it.id = target_id{"t" + std::to_string(i)};
        it.domain = domain_id{"d" + std::to_string(i % replay_domains)};
        it.slots = slots;
        out.push_back(it);
    }
    return out;
}

} // namespace primrosedeal::dispatch
