#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

/// Decides at which software versions streams may begin, and which ones a
/// stream of unknown origin may have begun at, by a record in the store for
/// each service.
///
/// Load pattern: all hosts are lost while a rollout replaces the targets of a
/// service. The hosts that start find targets of the new version only, and
/// clients resume streams that the old one began. What a host has seen itself
/// does not tell it that there was another version.
///
/// A version is recorded before streams begin at it, unless no recorded one has
/// targets; it is removed `origin_lifetime` after its last target is listed, so
/// the record of a service that is gone for good ends empty. If
/// the first host does not write, the next one does. Two writers at once cost
/// calls, nothing else: each write names the revision that it replaces.
namespace primrosedeal::stream_origin
{

using version_set = std::set<software_version>;
using versions_by_service = std::map<service_id, version_set>;

auto encode(version_set const& it) -> std::string;
/// Returns nothing if `bytes` are not encoded versions.
auto decode_versions(std::string const& bytes) -> std::optional<version_set>;

/// Time that a host waits for each one ahead of it to write the record.
constexpr auto record_write_slot = duration{200ms};
constexpr auto max_record_write_delay = duration{2s};

/// Time after which a write that has not come back as an entry is repeated.
constexpr auto record_write_retry = duration{1s};

struct record_write
{
    service_id service;
    version_set versions;
};

class served_versions
{
public:
    /// The record of `service` was written; no value: it was removed or is
    /// unreadable.
    void apply(service_id const& service,
               std::optional<version_set> const& versions);

    /// Recorded versions; empty if there is no record.
    [[nodiscard]] auto recorded(service_id const& service) const
        -> version_set const&;

    /// Records of all services that have one.
    [[nodiscard]] auto all_recorded() const -> versions_by_service;

    /// Whether some service has several recorded versions.
    [[nodiscard]] auto several_recorded() const -> bool;

    /// The record that this host is to write, if any. `listed`: versions of all
    /// targets in the store. `hosts_ahead`: hosts that would write before this
    /// one. Call several times a second while the store answers this host.
    auto next_write(versions_by_service const& listed, std::size_t hosts_ahead,
                    time_point now) -> std::optional<record_write>;

    /// Whether each record has all versions that it should have.
    auto complete(versions_by_service const& listed, time_point now) -> bool;

    /// Changes may have been missed, so versions that are not listed may have
    /// been.
    void contact_lost();

    /// The store was restored from a copy, so records may lack versions that
    /// they had; those are written again.
    void store_restored();

private:
    struct record
    {
        std::optional<version_set> versions;
        /// Versions that were recorded before the store was restored.
        version_set before_restoration;
        /// Recorded versions without a listed target, and since when.
        std::map<software_version, time_point> unlisted_since;
        /// When the record was first found incomplete.
        std::optional<time_point> incomplete_since;
        time_point next_write_at{};
    };

    /// The versions that the record should have.
    static auto wanted(record& it, version_set const& listed, time_point now)
        -> version_set;

    /// `listed`, and services with a record that have no targets.
    [[nodiscard]] auto with_unlisted(versions_by_service listed) const
        -> versions_by_service;

    std::map<service_id, record> records_;
};

} // namespace primrosedeal::stream_origin
