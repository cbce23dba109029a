#include "stream_origin/version_choice.hpp"

#include <algorithm>

namespace primrosedeal::stream_origin
{

auto choose_version(bool begun, std::optional<software_version> const& origin,
                    std::vector<directory::listed_target> const& usable,
                    bool one_version) -> version_choice
{
    // Without targets there is nothing to mix; placement reports their lack.
    if (!begun || usable.empty())
    {
        return any_version{};
    }
    if (!origin)
    {
        return one_version
                   ? version_choice{only_version{usable.front().version}}
                   : version_choice{version_unknown{}};
    }
    auto const serves =
        std::any_of(usable.begin(), usable.end(),
                    [&](auto const& it) { return it.version == *origin; });
    return serves ? version_choice{only_version{*origin}}
                  : version_choice{version_gone{*origin}};
}

} // namespace primrosedeal::stream_origin
