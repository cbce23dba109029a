#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "dispatch/load_tracker.hpp"
#include "quarantine/part_quarantine.hpp"
#include "rejection_limit/rejection_log.hpp"
#include "request_limit/limit_table.hpp"
#include "rollout/evidence.hpp"
#include "routes/configuration.hpp"
#include "stream_origin/origin_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// State that each host sends to all other hosts several times a second.
///
/// Digests carry absolute values rather than deltas, so the next digest repairs
/// the effect of a lost or late one. Partial ones leave out loads that have not
/// changed; whole ones repair them.
namespace primrosedeal::fleet
{

/// Requests and further attempts for one service since the host started.
struct service_count
{
    std::uint64_t requests = 0;
    /// Attempts that reached no target are subtracted later, so the count over
    /// a window may be negative.
    std::int64_t further_attempts = 0;
};

/// The configuration that a host uses.
struct used_configuration
{
    routes::configuration_version version;
    /// Local, not transmitted.
    time_point adopted_at{};
};

/// Another host and the configuration that it reports.
struct configured_host
{
    host_id id;
    domain_id domain;
    routes::configuration_version version;
};

struct digest
{
    host_id host;
    domain_id domain;
    /// Start of the process; counts restart at zero with it.
    incarnation process_start;
    /// Increases with every digest of a process.
    std::uint64_t sequence = 0;
    /// `loads` has only what has changed since a digest before; a target
    /// without load is listed with zeros. Hosts of earlier versions reject such
    /// digests.
    bool partial = false;
    /// Load that the host has outstanding at each target; absent: none.
    std::map<target_id, dispatch::target_load> loads;
    std::map<service_id, service_count> counts;
    /// Targets found unreachable or silent since the previous digest.
    std::vector<target_id> lost;
    /// Targets that no longer exist, since another target answered at their
    /// address.
    std::vector<target_id> replaced;
    /// How long the store has answered the host without a failed call; nothing
    /// while the store does not answer or the host does not watch it.
    std::optional<duration> store_contact;
    /// Evidence against parts of prompts, for hosts that read it in digests
    /// only. Absent in digests of hosts of earlier versions, which ignore it.
    quarantine::report evidence;
    /// The host reads datagrams with evidence (`decode_evidence`) and partial
    /// digests.
    bool reads_all_forms = false;
    /// Speed of the host's link; zero if unknown, as of hosts of earlier
    /// versions.
    double link_bytes_per_second = 0;
    /// Request limits of targets that the host observed itself; partial digests
    /// have only those that it observed since a digest before. Absent in
    /// digests of hosts of earlier versions.
    std::vector<request_limit::reported_limit> limits;
    /// Versions at which the host's own recent streams run; the same as above
    /// applies.
    std::vector<stream_origin::reported_origin> origins;
    /// Services whose targets do not accept connections of the host
    /// (`reachability::direct_path`). Partial digests have all of them. Absent
    /// in digests of hosts of earlier versions.
    std::vector<service_id> unreachable_services;
    /// Rejection limits of targets, like request limits; and the requests that
    /// targets rejected within the last second. Absent in digests of hosts of
    /// earlier versions.
    std::vector<request_limit::reported_limit> rejection_limits;
    std::vector<rejection_limit::reported_rejections> rejections;
    /// Partial digests have it only if it is recent. Absent before the host has
    /// one, and in digests of hosts of earlier versions.
    std::optional<used_configuration> configuration;
    /// Evidence of the host on versions that are rolled out. Partial digests
    /// have all of it. Absent in digests of hosts of earlier versions.
    std::vector<rollout::report> rollouts;
};

/// Largest digest in bytes, sent as one datagram. Entries that do not fit are
/// omitted, the smallest loads first.
constexpr auto max_digest_bytes = std::size_t{8} << 10U;

/// Evidence, limits and origins travel with their ages at `now`.
auto encode(digest const& it, time_point now,
            std::size_t max_bytes = max_digest_bytes) -> std::string;

/// Returns nothing if `bytes` is not a valid digest.
auto decode_digest(std::string const& bytes, time_point now)
    -> std::optional<digest>;

} // namespace primrosedeal::fleet
