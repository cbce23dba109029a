#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <variant>

/// Detects a lost target by the silence of a running stream.
///
/// Load pattern: a domain's engines become unreachable for a second, without a
/// connection reset, while their clients accept pauses of some hundred
/// milliseconds. Events arrive every few tens of milliseconds; prefill of
/// another request on the same engine makes the gap several times longer. A
/// short silence therefore triggers a connection probe, whose failure is
/// conclusive. A longer silence ends the attempt without a probe, since
/// resuming from the copy is cheap even if the target was only slow.
///
/// Sound targets may also fall silent for a second and go on, several of them
/// within one stream. Leaving each of them uses up the runs that the route
/// permits, and then the answer is cut. So each silence of a stream has to last
/// twice as long as the one before, and the last run is left only after a
/// silence that no sound target shows.
///
/// A target may also accept connections and never answer. Prefill at another
/// one repeats the work of a target that is only slow, so the timeout for the
/// first event doubles with each attempt too.
///
/// A target whose process stands still accepts connections, but learns that an
/// attempt has ended only when it wakes up, and may go on with the run beside
/// the next attempt. So where targets answer queries, an attempt at one that is
/// reachable ends only after a recent answer, or after that long silence.
namespace primrosedeal::dispatch
{

struct stream_facts
{
    time_point sent_at{};
    /// Time at which the connection was made, if it is known.
    std::optional<time_point> connected_at;
    /// Time of the last event in this attempt, if there was one.
    std::optional<time_point> last_event;
    /// Time of the last connection probe.
    std::optional<time_point> probed_at;
    /// Longest pause within the objective; 0: the route states none.
    duration gap_objective{};
    /// Latest time for the first event within the objective.
    time_point first_event_due{};
    /// The target has a copy of the run, so no prefill is needed.
    bool warm = false;
    /// Expected time to the first event for a prompt of this size.
    duration expected_first{};
    /// Earlier attempts that timed out during prefill.
    std::uint32_t prefill_timeouts = 0;
    /// Earlier attempts that ended for a silence after an event.
    std::uint32_t silent_attempts = 0;
    /// The request may not run again after this attempt.
    bool last_run = false;
    /// Since when probes have failed; empty: the last one was answered, or
    /// there was none.
    std::optional<time_point> unreachable_since;
    /// Probes carry a query that a live target answers at once.
    bool answers_queries = false;
    /// Time of the last answer to a query.
    std::optional<time_point> answered_at;
};

struct keep_waiting
{
    time_point until{};
};

/// Probe the target with a new connection.
struct probe_target
{
};

/// The silence has lasted long enough to end the attempt, but the target may
/// stand still: place nothing else there, and keep waiting.
struct await_answer
{
    /// Probe the target first.
    bool probe = false;
    time_point until{};
};

/// End the attempt and continue at another target.
struct end_attempt
{
};

using watch_step =
    std::variant<keep_waiting, probe_target, await_answer, end_attempt>;

struct watch_limits
{
    /// Gap objective for routes that state none.
    duration default_gap = 700ms;
    /// Silence after an event that triggers a probe, and that ends the attempt,
    /// as fractions of the gap objective.
    double probe_fraction = 0.26;
    double end_fraction = 0.58;
    /// Time before the first probe, and between probes, while no event has
    /// arrived.
    duration first_event_probe_after = 500ms;
    duration first_event_probe_period = 300ms;
    /// Timeout for the first event as a multiple of its expected time, for a
    /// target that accepts connections. If a prefill at another target could
    /// not meet the objective after this time, the timeout is
    /// `first_event_due` instead.
    double first_event_timeout_factor = 2.2;
    /// Shortest such timeout after the first one or after `first_event_due`;
    /// doubles with each one.
    duration min_late_first_event_timeout = 1500ms;
    /// Time allowed for a prefill at another target, as a multiple of the
    /// expected time to the first event.
    double prefill_time_factor = 1.3;
    /// Timeout for the first event of a stream that resumes from a copy.
    duration warm_first_event_timeout = 450ms;
    /// Silence, or time without an answered probe, that ends the last run, and
    /// an attempt at a target that answers no query.
    duration last_run_silence = 3s;
    /// Time between queries of a target that may stand still.
    duration query_period = 300ms;
    /// Time after an answer in which the target is taken to read a close.
    duration answer_validity = 100ms;
};

auto check_stream(watch_limits const& limits, stream_facts const& it,
                  time_point now) -> watch_step;

} // namespace primrosedeal::dispatch
