#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "rejection_limit/rejection_log.hpp"
#include "request_limit/host_share.hpp"
#include "request_limit/limit_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// Decides whether a request may be sent to a target that crashes if it has to
/// reject more than a few requests a second for want of room.
///
/// Load pattern: nothing waits at such a target, and hosts hear of each other's
/// requests 20 to 800 ms late. Hundreds of hosts that see the same free slot
/// use it at the same time, most of all after a crash, when many streams look
/// for another target at once. So:
///
/// - A margin of slots is kept for what others may have sent unheard. While
///   more are free, any host may send.
/// - Free slots beyond the margin are divided for attempts that come in bursts:
///   as many consecutive hosts of a ring as there are free slots may have one
///   request unheard each, or every host several if there are more slots than
///   hosts.
/// - Where the margin would take most of the slots, as with few slots and many
///   hosts, there is none, and all requests follow that rule.
/// - After rejections the target counts as full for a second.
///
/// Each target of a service begins at another place of the ring.
namespace primrosedeal::rejection_limit
{

/// Requests of a service at one target.
struct target_use
{
    std::uint32_t own = 0;
    /// Of the hosts whose digests are current.
    std::uint32_t others = 0;
};

/// The hosts, and the requests that they send, as one of them knows them.
struct fleet_demand
{
    request_limit::host_group hosts;
    /// Requests a second of all other hosts for the service; nothing if too few
    /// of them have been heard for a while.
    std::optional<request_limit::request_rate> others;
};

/// Time until a digest has reached all hosts.
auto digest_delay(std::size_t hosts) -> duration;

/// How attempts are spread over time and hosts.
enum class arrival
{
    /// First attempts of requests come independently.
    independent,
    /// Further attempts, and requests of clients that lost their host, come
    /// from many hosts at once.
    burst,
};

class gate
{
public:
    /// `uses` are those of `targets`, which are all of one service, ordered by
    /// id. Must be called before a target is chosen. Targets of a service
    /// become brittle together: those of which nothing is known yet have the
    /// least limit of the others.
    void update(request_limit::limit_table const& limits,
                rejection_log const& rejections,
                std::vector<directory::listed_target> const& targets,
                std::vector<target_use> const& uses, fleet_demand const& demand,
                time_point now);

    /// Whether a request may be sent to the target.
    [[nodiscard]] auto permits(target_id const& id, arrival how) const -> bool;

    [[nodiscard]] auto brittle(target_id const& id) const -> bool
    {
        return targets_.contains(id);
    }

    /// Whether the target has so much room that it may hold copies too.
    [[nodiscard]] auto has_ample_room(target_id const& id) const -> bool;

    /// A request is sent to the target.
    void sent(target_id const& id, time_point now);

    void remove_target(target_id const& id);

    /// No target states a limit any more.
    void clear();

private:
    struct target_state
    {
        /// Slots that are free as far as this host knows.
        double free = 0;
        /// Any host may send while more slots than `margin` are free, which
        /// others may have taken unheard. Else all free slots are divided.
        bool any_host = false;
        double margin = 0;
        /// Requests that this host may have unheard.
        std::size_t quota = 0;
        /// It has room for copies too.
        bool ample = false;
        /// It rejected requests within the last second.
        bool full = false;
        /// Requests that other hosts may not have heard of.
        std::deque<time_point> unheard;
    };

    std::map<target_id, target_state> targets_;
};

/// Time after which a request that `it` does not permit at `targets` now may be
/// sent again, spread so that refused callers do not return together; nothing
/// if `it` does not stand in its way.
auto retry_after(gate const& it,
                 std::vector<directory::listed_target> const& targets,
                 arrival how, random_source& random) -> std::optional<duration>;

} // namespace primrosedeal::rejection_limit
