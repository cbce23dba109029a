#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages of the `generation` slice: what goes into `generation::machine`
/// and what it asks for. Plain values; no socket, no clock.
namespace primrosedeal::generation
{

/// What is generated. Two attempts with an equal `variant` continue one
/// another; attempts of different variants are never spliced.
struct variant
{
    model_id model;
    model_version version;
    adapter_id adapter;

    friend auto operator==(variant const&, variant const&) -> bool = default;
};

/// A request for one generation, after it was checked and admitted.
struct spec
{
    request_id request;
    service_id service;
    organisation_id organisation;
    /// `what.version` may be empty: then the first attempt's target fixes it.
    variant what;
    std::vector<token_id> prompt;
    /// Tokens that the caller already has from an earlier entry host.
    std::vector<token_id> already;
    /// Counts the whole generation, `already` included.
    token_count max_tokens{0};
    /// A relayed token of these ends the generation.
    std::vector<token_id> end_tokens;
    std::vector<std::string> stop;
    std::uint64_t seed = 0;
    double temperature = 0.0;
    int priority = 0;
    time_point deadline{};
};

/// How losses are met; one per service.
struct resume_policy
{
    /// Silence is judged between these two.
    duration silence_floor = 250ms;
    duration silence_ceiling = 1s;
    /// A gap of this many usual gaps is suspicious.
    double silence_factor = 8.0;
    /// A target that has not begun is asked by a fresh connection after this
    /// time; one that does not answer is left.
    duration first_token_probe_after = 500ms;
    /// A target that answers but has not begun gets a second attempt beside
    /// it after this time, and is left after twice as long.
    duration first_token_ceiling = 1200ms;
    /// The same when resuming, where the output must go on within 3 s.
    duration resume_first_token_ceiling = 700ms;
    /// A second attempt beside the silent one after this time; the first
    /// token wins. Nothing: the silent one is given up first.
    std::optional<duration> early_second_attempt_after;
    /// Ask a silent target by a fresh connection before leaving it.
    bool probe_before_leaving = true;
    duration probe_timeout = 300ms;
    /// Targets that may fail under one request before it is refused.
    std::uint32_t max_engine_failures = 3;
    /// Time a generation that has output waits for a usable target.
    duration resume_wait = 10s;
    duration choose_again_after = 100ms;
};

/// Why an attempt ended without its end event.
struct attempt_loss
{
    retry_reason cause = retry_reason::connection_reset;
    /// No byte of the request reached the target.
    bool unsent = false;
    /// The target answered that it will not serve; it is not broken.
    bool refused = false;
};

namespace event
{

/// The router's answer to `action::choose_target`.
struct target_chosen
{
    target_id target;
    model_version version;
};

struct no_target
{
    reason code = reason::no_target;
    std::optional<duration> retry_after;
};

/// Tokens `[offset, offset + tokens.size())` from one attempt. `bytes[i]` is
/// the text of `tokens[i]` and may end inside a character.
struct chunk
{
    attempt_id attempt;
    std::uint64_t offset = 0;
    std::vector<token_id> tokens;
    std::vector<std::string> bytes;
};

struct attempt_finished
{
    attempt_id attempt;
    std::uint64_t offset = 0;
    std::string finish_reason;
};

struct attempt_lost
{
    attempt_id attempt;
    attempt_loss loss;
};

struct probe_result
{
    target_id target;
    bool answered = false;
};

/// `machine::wake_at` has come.
struct timer
{
};

/// The caller does not take its output; nothing is read from the engine.
struct caller_slow
{
};

struct caller_ready
{
};

struct caller_gone
{
};

} // namespace event

using any_event =
    std::variant<event::target_chosen, event::no_target, event::chunk,
                 event::attempt_finished, event::attempt_lost,
                 event::probe_result, event::timer, event::caller_slow,
                 event::caller_ready, event::caller_gone>;

namespace action
{

/// Ask the router; answer with `target_chosen` or `no_target`.
struct choose_target
{
    std::vector<target_id> exclude;
    /// Most likely to hold the prefix in its cache.
    std::optional<target_id> prefer;
    /// Only this version may continue the generation; empty: any.
    model_version version;
    bool resuming = false;
    /// Set for every attempt after the first; retries have a budget.
    std::optional<retry_reason> retry;
};

struct start_attempt
{
    attempt_id attempt;
    target_id target;
    model_version version;
    /// Tokens generated so far; the target continues after them.
    std::vector<token_id> prefix;
};

struct cancel_attempt
{
    attempt_id attempt;
};

/// Hand these to the caller. `text` is whole characters only.
struct relay
{
    std::uint64_t offset = 0;
    std::vector<token_id> tokens;
    std::string text;
};

struct probe
{
    target_id target;
};

/// The last action of a machine, if the caller is still there.
struct finish
{
    std::string finish_reason;
    token_count count{0};
    std::uint64_t digest = 0;
    /// Set when the generation is not complete.
    std::optional<failure> failed;
};

/// Evidence about a target for the `target` slice.
struct target_evidence
{
    target_id target;
    attempt_loss loss;
};

/// Output goes on after a loss.
struct resumed
{
    retry_reason cause = retry_reason::silence;
    /// From the loss (or the last token before silence) to the next token.
    duration latency{0};
    /// Tokens that the new target had to prefill again.
    token_count recomputed{0};
    bool same_target = false;
};

/// A chunk was not relayed.
struct chunk_dropped
{
    bool stale_attempt = false;
    bool duplicate = false;
};

} // namespace action

using any_action =
    std::variant<action::choose_target, action::start_attempt,
                 action::cancel_attempt, action::relay, action::probe,
                 action::finish, action::target_evidence, action::resumed,
                 action::chunk_dropped>;

} // namespace primrosedeal::generation
