#pragma once

#include "core/units.hpp"

#include <optional>
#include <variant>

/// When the silence of a running stream means that its target is lost.
///
/// Load pattern: a domain's engines go dark for a second, without a reset,
/// under streams whose clients accept pauses of some hundred milliseconds.
/// Events come every few tens of milliseconds; prefill of another request on
/// the same engine stretches the gap several times. So a short silence triggers
/// a connection probe, whose failure is conclusive, and a longer silence is
/// sufficient by itself: resuming from the copy is cheap even if the target was
/// merely slow.
namespace primrosedeal::dispatch
{

struct stream_facts
{
    time_point sent_at{};
    /// Last event, if any came in this attempt.
    std::optional<time_point> last_event;
    /// Last time that a connection attempt to the target was made.
    std::optional<time_point> probed_at;
    /// Longest pause that is on time; 0: not stated.
    duration gap_objective{};
    /// When the first event would be late; for streams with none so far.
    time_point first_event_due{};
    /// The prompt needs no reading: its copy is at the target.
    bool warm = false;
    /// Usual time to the first event of such a prompt.
    duration expected_first{};
    /// Another target has been left already while it read the prompt.
    bool moved_before = false;
};

struct keep_waiting
{
    time_point until{};
};

/// Try a fresh connection to the target.
struct probe_target
{
};

/// Give the target up and go on elsewhere.
struct leave_target
{
};

using watch_step = std::variant<keep_waiting, probe_target, leave_target>;

struct watch_limits
{
    /// Assumed where the route states no pause.
    duration default_gap = 700ms;
    /// Parts of the gap objective.
    double probe_after = 0.26;
    double leave_after = 0.58;
    /// Silence before the first event that is probed, and how often.
    duration first_probe_after = 500ms;
    duration first_probe_period = 300ms;
    /// Silence before the first event, in expected times to it, after which
    /// a target that takes connections is left, once in a request. Where a
    /// prompt read elsewhere could not be in time any more, the target is
    /// left when the event is due.
    double first_patience = 2.2;
    /// Expected times that reading elsewhere is allowed.
    double time_to_read = 1.3;
    /// Silence before the first event of a stream that goes on at a copy.
    duration warm_patience = 450ms;
};

auto check_stream(watch_limits const& limits, stream_facts const& it,
                  time_point now) -> watch_step;

} // namespace primrosedeal::dispatch
