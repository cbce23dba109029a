#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "fleet/digest.hpp"
#include "fleet/store_source.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

/// What the other hosts have running and have spent, from their digests.
///
/// Load pattern: hosts that place by their own load only send several long
/// prompts to one target while others idle. Hosts that split the retry budget
/// evenly exhaust their share when a failure domain is lost, although most of
/// the budget is unused.
namespace primrosedeal::fleet
{

/// A host is considered gone after this time without a digest: several periods
/// of the slowest rate.
constexpr auto silence_limit = duration{2500ms};

/// Span over which further attempts are bounded.
constexpr auto attempt_window = duration{10s};

class fleet_view
{
public:
    /// Returns false for a digest that is older than one seen before.
    auto take(digest const& it, time_point now) -> bool;

    /// Drops and returns hosts that fell silent. Call about every second.
    auto expire(time_point now) -> std::vector<host_id>;

    /// What all other hosts have running at `id`.
    [[nodiscard]] auto load_of(target_id const& id) const
        -> dispatch::target_load;

    /// Requests and further attempts of all others within `attempt_window`.
    [[nodiscard]] auto recent(service_id const& id, time_point now) const
        -> service_count;

    /// Whether the store has answered some other host all the time from `since`
    /// on.
    [[nodiscard]] auto store_served_since(time_point since) const -> bool;

    /// The other hosts of `domain` that are heard of.
    [[nodiscard]] auto peers_in(domain_id const& domain) const
        -> std::vector<domain_peer>;

    /// Other hosts that are heard of.
    [[nodiscard]] auto heard() const -> std::size_t
    {
        return hosts_.size();
    }

private:
    struct sample
    {
        time_point at;
        std::map<service_id, service_count> counts;
    };

    struct peer
    {
        digest last;
        time_point heard_at{};
        /// About one a second, oldest first; the first is out of the window.
        std::deque<sample> samples;
    };

    void remove_loads(digest const& it);
    void add_loads(digest const& it);

    std::map<host_id, peer> hosts_;
    std::map<target_id, dispatch::target_load> loads_;
};

/// Counts of this host over the same window.
class own_counts
{
public:
    void request(service_id const& id, time_point now);
    void further_attempt(service_id const& id, time_point now);
    /// A further attempt counted before made no connection.
    void attempt_did_not_arrive(service_id const& id, time_point now);

    [[nodiscard]] auto recent(service_id const& id, time_point now) const
        -> service_count;

    /// Since the start, for the digest.
    [[nodiscard]] auto totals() const
        -> std::map<service_id, service_count> const&
    {
        return totals_;
    }

private:
    struct second
    {
        std::int64_t at = 0;
        service_count count;
    };

    auto slot(service_id const& id, time_point now) -> service_count&;

    std::map<service_id, service_count> totals_;
    std::map<service_id, std::deque<second>> seconds_;
};

/// The bound on attempts beyond each request's first, over all hosts.
struct attempt_allowance
{
    /// Part of the requests in the window, and a number besides.
    double ratio = 0.8;
    double slack = 150;
    /// Hosts of the fleet, this one included.
    std::size_t hosts = 1;
};

/// What a further attempt is for, the most valuable last. Each may use a
/// larger part of the allowance than those before it.
enum class attempt_purpose
{
    /// A request that has had no answer.
    answer,
    /// A stream that has begun goes on.
    continuation,
};

/// Whether this host may make one more attempt. The even shares of hosts that
/// are not heard from stay reserved for them.
auto may_attempt(attempt_allowance const& allowance, attempt_purpose purpose,
                 service_count const& own, service_count const& others,
                 std::size_t heard) -> bool;

} // namespace primrosedeal::fleet
