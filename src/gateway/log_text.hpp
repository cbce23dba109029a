#pragma once

#include "core/units.hpp"

#include <string>

namespace primrosedeal::gateway
{

/// `it` in whole milliseconds, as log lines have it.
inline auto milliseconds(duration it) -> std::string
{
    return std::to_string(it / std::chrono::milliseconds{1});
}

} // namespace primrosedeal::gateway
