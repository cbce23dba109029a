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

/// The stream has events, several versions serve, and no record says which of
/// them began it. Going on at one of them could mix two versions.
struct version_unknown
{
};

using version_choice =
    std::variant<any_version, only_version, version_gone, version_unknown>;

/// `begun`: the client has events of the stream. `origin`: the version that
/// began it, if known. `usable`: the targets of the service that take requests.
auto choose_version(bool begun, std::optional<software_version> const& origin,
                    std::vector<directory::listed_target> const& usable)
    -> version_choice;

} // namespace primrosedeal::stream_origin
