#pragma once

#include "core/units.hpp"

namespace primrosedeal
{

/// Returns `whole` multiplied by `part`, rounded towards zero.
constexpr auto part_of(duration whole, double part) -> duration
{
    return duration{
        static_cast<duration::rep>(static_cast<double>(whole.count()) * part)};
}

} // namespace primrosedeal
