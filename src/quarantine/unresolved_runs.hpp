#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "quarantine/part_quarantine.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <vector>

/// Runs of this host that ended without an answer while their targets might
/// still crash under them, and what becomes known of these targets.
///
/// Load pattern: a request crashes targets some time after it began to run
/// there. Its host has given the run up by then (timeout, deadline, its client
/// left), or cannot tell the crash from the loss of its own path: a request
/// that has crashed all targets of a small service looks like that. Crashes
/// that accuse only open runs on a sound path then accuse nobody.
namespace primrosedeal::quarantine
{

/// A run that the crash of its target accuses.
struct accused_run
{
    request_id request;
    std::vector<suspect_id> suspects;
    time_point sent_at{};
};

struct unresolved_run
{
    directory::listed_target target;
    accused_run run;
    time_point ended_at{};
};

struct unresolved_limits
{
    /// Age since its end at which a run is forgotten. A target that has crashed
    /// is replaced within it.
    duration lifetime = 10s;
    /// The oldest run is dropped for a new one.
    std::size_t max_runs = 512;
    /// Time between two probes of one target.
    duration probe_period = 250ms;
    /// An answer of the target this long after a run's end clears the run.
    duration survival = 1s;
};

class unresolved_runs
{
public:
    explicit unresolved_runs(unresolved_limits limits = {}) : limits_(limits) {}

    void add(unresolved_run it);

    /// Whether to probe the target `id` now; if so, not again for
    /// `probe_period`. Returns the target.
    auto probe_due(target_id const& id, time_point now)
        -> std::optional<directory::listed_target>;

    /// Targets of unresolved runs among `crashes`.
    [[nodiscard]] auto targets_of(std::set<crash_id> const& crashes) const
        -> std::set<target_id>;

    /// Targets of unresolved runs whose processes have ended, as `listed` is a
    /// later one at their address, or a later one with their id.
    [[nodiscard]] auto
    predecessors_of(directory::listed_target const& listed) const
        -> std::set<target_id>;

    /// The target's process has crashed. Removes and returns its runs.
    auto take(target_id const& id, time_point now)
        -> std::vector<unresolved_run>;

    /// The target leaves in order, so its end is no crash.
    void on_leaving(target_id const& id);

    /// The target sent an answer to a request with the suspect `identity`.
    /// Removes the runs that it clears: those of the same request, and earlier
    /// ones at the target.
    void on_answer(target_id const& from, suspect_id identity, time_point now);

    /// Deletes old runs. Call about every second.
    void expire(time_point now);

    [[nodiscard]] auto size() const -> std::size_t
    {
        return runs_.size();
    }

private:
    struct record
    {
        unresolved_run it;
        crash_id crash;
        std::optional<time_point> probed_at;
    };

    unresolved_limits limits_;
    /// Oldest first.
    std::deque<record> runs_;
};

} // namespace primrosedeal::quarantine
