#pragma once

#include "core/ids.hpp"
#include "directory/target_directory.hpp"

#include <optional>
#include <variant>
#include <vector>

/// Decides at which software version a stream may run.
namespace primrosedeal::stream_origin
{

/// The stream has no event yet.
struct any_version
{
};

struct only_version
{
    software_version version;
};

/// The stream cannot go on: no target of its version takes requests.
struct version_gone
{
    software_version version;
};

/// The stream has events, several versions serve or have served in its time,
/// and no record says which of them began it. Going on could mix two versions.
struct version_unknown
{
};

using version_choice =
    std::variant<any_version, only_version, version_gone, version_unknown>;

/// `begun`: the client has events of the stream. `origin`: the version that
/// began it, if known. `usable`: the targets of the service that take requests.
/// `one_version`: the service has had no other version for `origin_lifetime`.
auto choose_version(bool begun, std::optional<software_version> const& origin,
                    std::vector<directory::listed_target> const& usable,
                    bool one_version) -> version_choice;

} // namespace primrosedeal::stream_origin
