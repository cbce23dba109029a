#pragma once

#include "core/units.hpp"

#include <string>

namespace primrosedeal::gateway
{

/// Formats `it` in whole milliseconds, the unit of durations in log lines.
inline auto milliseconds(duration it) -> std::string
{
    return std::to_string(it / std::chrono::milliseconds{1});
}

} // namespace primrosedeal::gateway
