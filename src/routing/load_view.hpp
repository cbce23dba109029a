#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

/// The load a host expects at each target: late reports joined with the
/// host's own dispatches and completions that no report covers yet.
namespace primrosedeal::routing
{

/// What a target said about itself.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// When this host received it; the content is older by the report lag.
    time_point at{};
};

struct load_settings
{
    /// How old a report's content may be when it arrives.
    duration report_lag = 1s;
    /// A report older than this says nothing any more.
    duration report_expiry = 10s;
    /// Own events remembered for each target; older ones are dropped.
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

    /// Drops all that is known of a target that left.
    void forget(target_id const& target);

    /// Requests expected at `target` now, running and waiting. Never below
    /// the number this host itself has there.
    [[nodiscard]] auto expected(target_id const& target, time_point now) const
        -> double;

    /// Requests this host has at `target`.
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
