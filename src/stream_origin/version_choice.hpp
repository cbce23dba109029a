#pragma once

#include "core/ids.hpp"
#include "directory/target_directory.hpp"
#include "stream_origin/served_versions.hpp"

#include <optional>
#include <variant>
#include <vector>

/// Decides at which software version a stream may run.
namespace primrosedeal::stream_origin
{

/// The stream may run at every target.
struct any_version
{
};

/// The stream has no event yet, and only these versions are recorded as served.
struct recorded_versions
{
    version_set versions;
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

/// The stream has events and this host knows of one version, but its record was
/// not confirmed since the store was restored from a copy.
struct record_unconfirmed
{
};

/// The stream has events and this host knows of one version, but its knowledge
/// may be older than the request: `service_versions::stored` decides.
struct record_needed
{
};

using version_choice =
    std::variant<any_version, recorded_versions, only_version, version_gone,
                 version_unknown, record_unconfirmed, record_needed>;

struct stream_view
{
    /// The client has events of the stream.
    bool begun = false;
    /// The version that began it, if known.
    std::optional<software_version> origin;
};

/// What a host knows of the versions of a service.
struct service_versions
{
    /// Targets that take requests.
    std::vector<directory::listed_target> const& usable;
    /// Versions that streams may have begun at; empty if there is no record.
    version_set const& recorded;
    /// No other version was listed here for `origin_lifetime`.
    bool one_listed = false;
    /// The list of targets is current.
    bool list_is_current = false;
    /// The record by a read that began after the request had arrived: empty if
    /// there was none or no answer; no value if it was not read.
    std::optional<version_set> stored = {};
    /// The record has every version that streams may have begun at
    /// (`record_confirmation`).
    bool record_is_complete = true;
};

auto choose_version(stream_view const& stream, service_versions const& service)
    -> version_choice;

} // namespace primrosedeal::stream_origin
