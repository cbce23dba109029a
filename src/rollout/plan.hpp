#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <variant>

/// Decides which part of the new requests of a service with an order goes to
/// the target version, and to which versions one request may go.
///
/// Load pattern: demand goes on while the traffic moves; a version that is bad
/// must have few requests until that is known, and streams on the other
/// versions must end before the deadline.
///
/// Shares are kept by counts: a request goes to the target version while that
/// has less than its share of the host's requests since the order.
namespace primrosedeal::rollout
{

using version_set = std::set<software_version>;

/// The version has no usable target yet, as far as is known, or the service no
/// other version.
struct waiting
{
    friend auto operator==(waiting const&, waiting const&) -> bool = default;
};

/// The version has not been evaluated.
struct limited
{
    friend auto operator==(limited const&, limited const&) -> bool = default;
};

/// The version has been found good so far and gets `share` of the requests.
struct raised
{
    double share = 0;

    friend auto operator==(raised const&, raised const&) -> bool = default;
};

/// All new requests go to the version; others still end elsewhere.
struct whole
{
    friend auto operator==(whole const&, whole const&) -> bool = default;
};

struct finished
{
    friend auto operator==(finished const&, finished const&) -> bool = default;
};

/// The version is bad; this is final for the order.
struct reverted
{
    friend auto operator==(reverted const&, reverted const&) -> bool = default;
};

using phase = std::variant<waiting, limited, raised, whole, finished, reverted>;

auto to_string(phase const& it) -> std::string_view;

/// Whether the order is carried out or given up.
auto has_ended(phase const& it) -> bool;

struct exposure_bounds
{
    /// Part of all requests of the service that may go to a version that has
    /// not been evaluated, plus `slack` requests, over all hosts.
    double share = 0.1;
    double slack = 50;

    friend auto operator==(exposure_bounds const&, exposure_bounds const&)
        -> bool = default;
};

struct rollout_bounds
{
    exposure_bounds exposure;
    /// Time from the 50th bad response to the last request at a bad version.
    duration rollback = 5s;

    friend auto operator==(rollout_bounds const&, rollout_bounds const&)
        -> bool = default;
};

/// Counts of this host since the order.
struct own_requests
{
    /// Requests that reached the service, further attempts excepted.
    std::uint64_t all = 0;
    /// Attempts at targets of the version.
    std::uint64_t at_target = 0;
};

/// Where one request may go. Empty: no restriction.
struct permitted_versions
{
    /// Tried first.
    version_set preferred;
    /// Used where no target of `preferred` has room.
    version_set otherwise;
};

/// Stands for no version: no target may have it, since its name is not valid.
auto no_version() -> software_version const&;

struct plan_input
{
    software_version target;
    /// All other versions that are listed. If there are none, requests may go
    /// to the target version: nothing else could serve them.
    version_set others;
    exposure_bounds bounds;
    /// The version has a usable target.
    bool target_usable = true;
    std::size_t hosts = 1;
    /// Known hosts before this one in the order of ids.
    std::size_t rank = 0;
    own_requests requests;
};

/// Whether the host may send one more request to a version that has not been
/// evaluated. Half of the slack is left for hosts that start and count anew, or
/// know other hosts than the rest. The other half is divided in whole requests:
/// where hosts are many and have few requests each, parts of a request would
/// bring no evidence before the version is evaluated.
auto within_exposure(plan_input const& it) -> bool;

auto plan(phase const& at, plan_input const& it) -> permitted_versions;

/// What decides the step of a rollout.
struct progress
{
    /// Time since the version's targets were there, and from then to the
    /// deadline.
    duration elapsed{};
    duration length{};
    /// Time since the phase began.
    duration in_phase{};
    double responses = 0;
    /// Enough hosts are heard for the evidence to be that of the fleet.
    bool others_heard = false;
};

/// The phase after `now_at`, for a version without evidence against it.
auto next_phase(phase const& now_at, progress const& it) -> phase;

} // namespace primrosedeal::rollout
