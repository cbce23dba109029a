#pragma once

#include "core/units.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace primrosedeal::gateway
{

/// Formats `it` in whole milliseconds, the unit of durations in log lines.
inline auto milliseconds(duration it) -> std::string
{
    return std::to_string(it / std::chrono::milliseconds{1});
}

/// Formats a hash.
inline auto hexadecimal(std::uint64_t it) -> std::string
{
    constexpr auto digits = 16;
    auto buf = std::array<char, digits>{};
    auto const end =
        std::to_chars(buf.data(), buf.data() + buf.size(), it, digits).ptr;
    return {buf.data(), end};
}

} // namespace primrosedeal::gateway
