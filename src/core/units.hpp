#pragma once

#include "core/strong.hpp"

#include <chrono>
#include <cstdint>

/// Types for time and quantities. Functions that make decisions take the
/// present time as an argument; only `net` reads a clock.
namespace primrosedeal
{

using duration = std::chrono::microseconds;

/// Clock type for the process's monotonic time. It has no `now()`, so that code
/// outside `net` cannot read it.
struct monotonic
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic, duration>;
    static constexpr bool is_steady = true;
};

/// Monotonic time, comparable only within one process.
using time_point = monotonic::time_point;

/// Wall-clock time in seconds since 1970, for times that hosts compare, such as
/// expiry times.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>;

using token_count = strong<struct token_count_tag, std::uint64_t>;
using byte_count = strong<struct byte_count_tag, std::uint64_t>;

constexpr auto operator+(token_count a, token_count b) -> token_count
{
    return token_count{a.value() + b.value()};
}

using namespace std::chrono_literals;

/// `it` in fractional seconds, for metrics and reports.
constexpr auto to_seconds(duration it) -> double
{
    return std::chrono::duration<double>(it).count();
}

} // namespace primrosedeal
