#pragma once

#include <algorithm>
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
    return values[static_cast<std::size_t>(p * last + 0.5)];
}

} // namespace primrosedeal::bench
