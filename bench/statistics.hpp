#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace primrosedeal::bench
{

/// The value below which a share `p` of `values` lies; 0 without values.
inline auto quantile(std::vector<double> values, double p) -> double
{
    if (values.empty())
    {
        return 0;
    }
    std::ranges::sort(values);
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(p * last))];
}

} // namespace primrosedeal::bench
