#pragma once

#include "core/ids.hpp"
#include "core/strong.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

/// Tracks the request limits that targets state in their responses.
///
/// A limit holds for all hosts together, from the response that states it until
/// one that does not. Responses overtake each other, so one that permits more
/// than before counts only if its request was sent after the last response that
/// stated a limit was received. Hosts exchange what they observed in digests;
/// the newest observation of the newest process of a target is in force.
namespace primrosedeal::request_limit
{

/// Requests a second.
using request_rate = strong<struct request_rate_tag, double>;

/// A response of a target, as far as limits are concerned.
struct response
{
    target_id target;
    /// Start of the target's process, from its entry.
    incarnation process_start;
    /// Empty: the response states no limit.
    std::optional<request_rate> limit;
    /// When the request was sent.
    time_point sent_at{};
};

/// What is known of one target's limit.
struct limit_state
{
    incarnation process_start;
    /// Empty: the target takes any number of requests again.
    std::optional<request_rate> limit;
    /// When the response was received, or when its request was sent if it
    /// states no limit.
    time_point observed_at{};

    friend auto operator==(limit_state const&, limit_state const&)
        -> bool = default;
};

struct reported_limit
{
    target_id target;
    limit_state state;
    /// When the reporting host observed it, by its own clock.
    time_point recorded_at{};
};

/// Observations older than this are not reported to other hosts. The end of a
/// limit is known for this long after its last report, so that no older report
/// reverts it.
constexpr auto report_lifetime = duration{30s};

/// Bounds of a report and of the table.
constexpr auto max_reported_limits = std::size_t{32};
constexpr auto max_limits = std::size_t{1024};

class limit_table
{
public:
    /// An unchanged limit is recorded anew, and so reported in the next digest,
    /// only after `report_period`.
    explicit limit_table(duration report_period) : report_period_(report_period)
    {
    }

    limit_table() = default;

    /// Returns whether the limit in force has changed.
    auto observe(response const& it, time_point now) -> bool;

    /// Applies another host's observation. Returns whether the limit in force
    /// has changed.
    auto merge(reported_limit const& it, time_point now) -> bool;

    /// The limit of the target's process `process_start`, with the time of its
    /// last observation; nothing if there is none.
    [[nodiscard]] auto find(target_id const& id,
                            incarnation process_start) const
        -> std::optional<limit_state>;

    /// Whether the target's process `process_start` stated a limit before, and
    /// does not any more.
    [[nodiscard]] auto ended(target_id const& id,
                             incarnation process_start) const -> bool;

    /// This host's own observations, newest first, at most
    /// `max_reported_limits`.
    [[nodiscard]] auto report(time_point now) const
        -> std::vector<reported_limit>;

    void remove_target(target_id const& id);

    /// Removes ended limits that no report can revert any more. Call about
    /// every second.
    void expire(time_point now);

    [[nodiscard]] auto empty() const -> bool
    {
        return limits_.empty();
    }

private:
    struct entry
    {
        limit_state state;
        time_point recorded_at{};
        /// Observed by this host rather than reported by another one.
        bool own = false;
    };

    void put(target_id const& id, entry const& it);

    duration report_period_{};
    std::map<target_id, entry> limits_;
};

} // namespace primrosedeal::request_limit
