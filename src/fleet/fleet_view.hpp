#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "fleet/digest.hpp"
#include "fleet/store_source.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// Aggregates the load and the further attempts of the other hosts from their
/// digests.
///
/// Load pattern: hosts that place requests by their own load only send several
/// long prompts to one target while others idle. Hosts that split the retry
/// budget evenly exhaust their share when a failure domain is lost, although
/// most of the budget is unused.
namespace primrosedeal::fleet
{

/// A host is considered down after this time without a digest, which is several
/// times the longest digest period.
constexpr auto host_timeout = duration{2500ms};

/// Sliding window over which further attempts are limited.
constexpr auto attempt_window = duration{10s};

/// What a digest changed in the load of its host at one target.
struct load_change
{
    target_id at;
    dispatch::target_load before;
    dispatch::target_load after;
};

class fleet_view
{
public:
    /// Returns false for a digest that is not newer than the last one received,
    /// and for a partial one of a process of which no whole one was received.
    auto apply(digest const& it, time_point now) -> bool;

    /// Changes of pending prefill by the digest that was applied last.
    [[nodiscard]] auto prefill_changes() const
        -> std::vector<load_change> const&
    {
        return prefill_changes_;
    }

    /// Mean age of the other hosts' last digests; zero without any.
    [[nodiscard]] auto mean_age(time_point now) const -> duration;

    /// Removes and returns hosts that timed out. Call about every second.
    auto expire(time_point now) -> std::vector<host_id>;

    /// Load that all other hosts have outstanding at `id`.
    [[nodiscard]] auto load_of(target_id const& id) const
        -> dispatch::target_load;

    /// Requests and further attempts of all other hosts in `attempt_window`.
    [[nodiscard]] auto recent(service_id const& id, time_point now) const
        -> service_count;

    /// Requests a second of all other hosts in the last seconds; nothing if
    /// most of them have been known for less than a second.
    [[nodiscard]] auto request_rate(service_id const& id, time_point now) const
        -> std::optional<double>;

    /// Whether the store has answered another host continuously since `since`.
    [[nodiscard]] auto store_served_since(time_point since) const -> bool;

    /// Other hosts that the store answers, and those of them with an id below
    /// `id`.
    [[nodiscard]] auto hosts_in_contact() const -> std::size_t;
    [[nodiscard]] auto hosts_in_contact_before(host_id const& id) const
        -> std::size_t;

    /// Other hosts of `domain` whose digests are current.
    [[nodiscard]] auto peers_in(domain_id const& domain) const
        -> std::vector<domain_peer>;

    /// Other hosts that report a configuration.
    [[nodiscard]] auto configured_hosts() const -> std::vector<configured_host>;

    /// The last digest of another host; null if it has none that is current.
    [[nodiscard]] auto latest(host_id const& id) const -> digest const*;

    /// Other hosts whose digests are current.
    [[nodiscard]] auto host_ids() const -> std::vector<host_id>;

    /// Those of them that do not report `id` as unreachable for them.
    [[nodiscard]] auto hosts_reaching(service_id const& id) const
        -> std::vector<host_id>;
    [[nodiscard]] auto any_host_reaches(service_id const& id) const -> bool;

    /// Number of other hosts whose digests are current.
    [[nodiscard]] auto live_hosts() const -> std::size_t
    {
        return hosts_.size();
    }

    /// The smallest id of the other hosts whose digests are current.
    [[nodiscard]] auto lowest_host() const -> std::optional<host_id>;

private:
    struct sample
    {
        time_point at;
        std::map<service_id, service_count> counts;
    };

    struct peer
    {
        digest last;
        time_point received_at{};
        /// About one a second, oldest first. The first one is older than the
        /// window, if the host has been known for that long.
        std::deque<sample> samples;
    };

    using load_map = std::map<target_id, dispatch::target_load>;

    void remove_loads(load_map const& it);
    void add_loads(load_map const& it);
    void merge_partial(digest& last, digest const& it);
    void record_changes(load_map const& before, load_map const& after);

    std::map<host_id, peer> hosts_;
    load_map loads_;
    std::vector<load_change> prefill_changes_;
};

/// Requests and further attempts of this host over the same window.
class own_counts
{
public:
    void request(service_id const& id, time_point now);
    void further_attempt(service_id const& id, time_point now);
    /// Reverses the count of a further attempt that failed to connect.
    void refund_attempt(service_id const& id, time_point now);

    [[nodiscard]] auto recent(service_id const& id, time_point now) const
        -> service_count;

    /// Counts since the process started, for the digest.
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

    auto current_second(service_id const& id, time_point now) -> service_count&;

    std::map<service_id, service_count> totals_;
    std::map<service_id, std::deque<second>> seconds_;
};

/// Limit on attempts beyond each request's first, over all hosts.
struct attempt_allowance
{
    /// The limit is `ratio` times the requests in the window plus `slack`.
    double ratio = 0.8;
    double slack = 150;
    /// Hosts of the fleet, including this one.
    std::size_t hosts = 1;
};

/// Purpose of a further attempt, in ascending priority. Each may use a larger
/// fraction of the allowance than those before it.
enum class attempt_purpose
{
    /// For a request whose answer has not started.
    answer,
    /// For a stream that broke after some of its events were sent.
    continuation,
};

/// Whether this host may make one more attempt. `live_others`: number of other
/// hosts with current digests. An equal share of `slack` stays reserved for
/// each host without one.
auto may_attempt(attempt_allowance const& allowance, attempt_purpose purpose,
                 service_count const& own, service_count const& others,
                 std::size_t live_others) -> bool;

} // namespace primrosedeal::fleet
