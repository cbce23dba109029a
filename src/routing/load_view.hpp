#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

/// Estimates the load of each target from its delayed reports, corrected by
/// this host's own dispatches and completions that no report includes yet.
namespace primrosedeal::routing
{

/// Load of a target as reported by the target.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// When this host received it; the content is up to `report_lag` older.
    time_point at{};
};

struct load_settings
{
    /// Maximum age of a report's content on arrival.
    duration report_lag = 1s;
    /// Older reports are ignored.
    duration report_expiry = 10s;
    /// Own events retained for each target; the oldest are dropped first.
    std::size_t max_events = 256;
};

/// Memory: one entry for each target, with at most `max_events` events.
class load_view
{
public:
    explicit load_view(load_settings settings) : settings_(settings) {}

    void reported(target_id const& target, load_report report);
    void dispatched(target_id const& target, time_point now);
    void finished(target_id const& target, time_point now);

    /// Deletes all state of a target that was removed.
    void remove_target(target_id const& target);

    /// Estimated number of requests at `target`, running and waiting. Never
    /// less than `in_flight(target)`.
    [[nodiscard]] auto expected(target_id const& target, time_point now) const
        -> double;

    /// Number of this host's unfinished requests at `target`.
    [[nodiscard]] auto in_flight(target_id const& target) const
        -> std::uint32_t;

private:
    struct event
    {
        time_point at;
        int change;
    };

    struct entry
    {
        std::optional<load_report> report;
        std::deque<event> events;
        std::uint32_t in_flight = 0;
    };

    void add(target_id const& target, time_point now, int change);

    load_settings settings_;
    std::unordered_map<target_id, entry> entries_;
};

} // namespace primrosedeal::routing
