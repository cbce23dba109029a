#include "stream_origin/version_choice.hpp"

#include <algorithm>

namespace primrosedeal::stream_origin
{

auto choose_version(bool begun, std::optional<software_version> const& origin,
                    std::vector<directory::listed_target> const& usable)
    -> version_choice
{
    // Without targets there is nothing to mix; placement reports their lack.
    if (!begun || usable.empty())
    {
        return any_version{};
    }
    auto const& version = origin ? *origin : usable.front().version;
    auto const of_version =
        std::count_if(usable.begin(), usable.end(),
                      [&](auto const& it) { return it.version == version; });
    if (origin)
    {
        return of_version > 0 ? version_choice{only_version{version}}
                              : version_choice{version_gone{version}};
    }
    return static_cast<std::size_t>(of_version) == usable.size()
               ? version_choice{only_version{version}}
               : version_choice{version_unknown{}};
}

} // namespace primrosedeal::stream_origin
