#pragma once

#include "core/random.hpp"
#include "core/units.hpp"

#include <algorithm>

/// Waiting times between tries.
namespace primrosedeal::external
{

struct backoff_settings
{
    duration base = 100ms;
    duration cap = 10s;
};

/// Full jitter: uniform from 0 to `base` doubled for each earlier try, at
/// most `cap`. `earlier_tries` counts from 0.
inline auto full_jitter(backoff_settings const& settings,
                        unsigned earlier_tries, random_source& random)
    -> duration
{
    constexpr auto most_doublings = 30U;
    auto const doublings = std::min(earlier_tries, most_doublings);
    auto const longest =
        std::min(settings.cap, settings.base * (std::int64_t{1} << doublings));
    auto const choices = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration{static_cast<duration::rep>(random.below(choices))};
}

} // namespace primrosedeal::external
