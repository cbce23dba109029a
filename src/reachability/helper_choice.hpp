#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

/// Chooses the host through which a host without a direct path to a target
/// connects to it.
///
/// Load pattern: half of a failure domain's hosts lose their paths together,
/// and each of them sends all its requests through others. Hosts of the same
/// domain are closest and go first. Of two drawn at random the one with fewer
/// of this host's own tunnels is taken, which spreads them without knowledge of
/// what others send there. A helper that refused or failed is left out for a
/// while, since it may have no capacity or be gone. If a whole domain is
/// partitioned, most of its hosts do not know it before their next request: a
/// domain is left after one helper of it has failed for a request, and the last
/// few hosts that do not report it are not asked by all others.
namespace primrosedeal::reachability
{

struct helper_candidate
{
    host_id id;
    domain_id domain;
    /// Open tunnels of this host through it.
    std::uint32_t tunnels = 0;
    /// It failed lately, leaves, or does not reach the service.
    bool excluded = false;
    /// It failed for this request.
    bool tried = false;
};

/// `candidates` are all other hosts with current digests, `own` the domain of
/// this host. Nothing if all candidates are excluded or tried.
auto choose_helper(std::span<helper_candidate const> candidates,
                   domain_id const& own, random_source& random)
    -> std::optional<host_id>;

/// First exclusion of a helper; doubles with each further failure in a row.
constexpr auto initial_helper_exclusion = duration{250ms};
constexpr auto max_helper_exclusion = duration{2s};

/// Helpers that refused a tunnel or could not be reached. One that reports that
/// its connection to the target failed is not among them: either may be at
/// fault, and a helper without a path says so in its digest.
class helper_backoff
{
public:
    void failed(host_id const& helper, time_point now);
    void succeeded(host_id const& helper);

    [[nodiscard]] auto excluded(host_id const& helper, time_point now) const
        -> bool;

private:
    struct record
    {
        duration length{};
        time_point until{};
    };

    std::map<host_id, record> records_;
};

} // namespace primrosedeal::reachability
