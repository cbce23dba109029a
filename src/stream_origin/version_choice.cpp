#include "stream_origin/version_choice.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrosedeal::stream_origin
{

namespace
{

auto serves(std::vector<directory::listed_target> const& usable,
            software_version const& version) -> bool
{
    return std::any_of(usable.begin(), usable.end(),
                       [&](auto const& it) { return it.version == version; });
}

/// The version of every stream of the service, if there is but one for all that
/// this host knows.
auto single_version(service_versions const& it)
    -> std::optional<software_version>
{
    auto const certain = it.one_listed && it.list_is_current &&
                         it.recorded.size() == 1 &&
                         it.usable.front().version == *it.recorded.begin();
    return certain ? std::optional{*it.recorded.begin()} : std::nullopt;
}

auto choose_for_unknown_origin(service_versions const& it) -> version_choice
{
    auto const one = single_version(it);
    if (!one)
    {
        return version_unknown{};
    }
    if (!it.record_is_complete)
    {
        return record_unconfirmed{};
    }
    if (!it.stored)
    {
        return record_needed{};
    }
    return *it.stored == it.recorded ? version_choice{only_version{*one}}
                                     : version_choice{version_unknown{}};
}

auto choose_first_version(service_versions const& it) -> version_choice
{
    auto out = recorded_versions{};
    std::copy_if(it.recorded.begin(), it.recorded.end(),
                 std::inserter(out.versions, out.versions.end()),
                 [&](auto const& version)
                 { return serves(it.usable, version); });
    return out.versions.empty() ? version_choice{any_version{}}
                                : version_choice{std::move(out)};
}

} // namespace

auto choose_version(stream_view const& stream, service_versions const& service)
    -> version_choice
{
    // Without targets there is nothing to mix; placement reports their lack.
    if (service.usable.empty())
    {
        return any_version{};
    }
    if (!stream.begun)
    {
        return choose_first_version(service);
    }
    if (!stream.origin)
    {
        return choose_for_unknown_origin(service);
    }
    return serves(service.usable, *stream.origin)
               ? version_choice{only_version{*stream.origin}}
               : version_choice{version_gone{*stream.origin}};
}

} // namespace primrosedeal::stream_origin
