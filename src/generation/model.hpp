#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "core/verdict.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input events and output actions of `generation::state_machine`. Plain values
/// without access to sockets or clocks.
namespace primrosedeal::generation
{

/// The model that generates the output. An attempt may continue the output of
/// another only if both have an equal `model_selection`; outputs of different
/// models are never joined.
struct model_selection
{
    model_id model;
    model_version version;
    adapter_id adapter;

    friend auto operator==(model_selection const&, model_selection const&)
        -> bool = default;
};

/// A validated and admitted request for one generation.
struct spec
{
    request_id request;
    service_id service;
    organisation_id organisation;
    /// `selection.version` may be empty: then the version of the target that
    /// produces the first token is used for the whole generation.
    model_selection selection;
    std::vector<token_id> prompt;
    /// Tokens that the caller has already received from another entry host.
    std::vector<token_id> prior_tokens;
    /// Maximum length of the whole generation, including `prior_tokens`.
    token_count max_tokens{0};
    /// The generation ends after any of these tokens.
    std::vector<token_id> end_tokens;
    std::vector<std::string> stop;
    std::uint64_t seed = 0;
    double temperature = 0.0;
    int priority = 0;
    time_point deadline{};
};

/// How lost attempts are detected and replaced; configured per service.
struct resume_policy
{
    /// Lower and upper limit of the silence threshold.
    duration silence_floor = 250ms;
    duration silence_ceiling = 1s;
    /// The silence threshold is this multiple of the average gap between
    /// tokens.
    double silence_factor = 8.0;
    /// A target without a first token is probed on a new connection after this
    /// time; if it does not answer, its attempt is lost.
    duration first_token_probe_after = 500ms;
    /// If a target answers the probe but still has no first token, a parallel
    /// second attempt starts after this time, and the first attempt is
    /// abandoned after twice this time.
    duration first_token_ceiling = 1200ms;
    /// The same when resuming, where output must continue within 3 s.
    duration resume_first_token_ceiling = 700ms;
    /// Starts a second attempt in parallel to a silent one after this time; the
    /// attempt that delivers the next token first is kept. Empty: a second
    /// attempt starts only after the silent one was cancelled.
    std::optional<duration> early_second_attempt_after;
    /// Probe a silent target on a new connection before abandoning it.
    bool probe_before_abandoning = true;
    duration probe_timeout = 300ms;
    /// Consecutive target failures without progress after which the request
    /// fails.
    std::uint32_t max_engine_failures = 3;
    /// How long a generation that has output waits for an eligible target.
    duration resume_wait = 10s;
    duration choose_retry_interval = 100ms;
};

/// Why an attempt ended without its end event.
struct attempt_loss
{
    retry_reason cause = retry_reason::connection_reset;
    /// No byte of the request reached the target.
    bool unsent = false;
    /// The target refused the request; this is no evidence of a fault.
    bool refused = false;
};

namespace event
{

/// Successful result of `action::choose_target`.
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
/// the text of `tokens[i]` and may end in the middle of a character.
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

/// The time returned by `state_machine::wake_at` was reached.
struct timer
{
};

/// The caller reads too slowly; reading from the engine is paused.
struct caller_slow
{
};

struct caller_ready
{
};

struct caller_disconnected
{
};

} // namespace event

using any_event =
    std::variant<event::target_chosen, event::no_target, event::chunk,
                 event::attempt_finished, event::attempt_lost,
                 event::probe_result, event::timer, event::caller_slow,
                 event::caller_ready, event::caller_disconnected>;

namespace action
{

/// Requests a target from the router; the result is reported as
/// `event::target_chosen` or `event::no_target`.
struct choose_target
{
    std::vector<target_id> exclude;
    /// The target most likely to have the prefix cached.
    std::optional<target_id> prefer;
    /// Only this version may continue the generation; empty: any.
    model_version version;
    bool resuming = false;
    /// Set for every attempt after the first; retries count against the retry
    /// budget.
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

/// Sends tokens to the caller. `text` contains complete characters only.
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

/// The last action of a generation; omitted if the caller disconnected.
struct finish
{
    std::string finish_reason;
    token_count count{0};
    std::uint64_t digest = 0;
    /// Set when the generation is not complete.
    std::optional<failure> failed;
};

/// Reports a lost attempt as evidence for the failure detector in `target`.
struct target_evidence
{
    target_id target;
    attempt_loss loss;
};

/// Output continues after a loss.
struct resumed
{
    retry_reason cause = retry_reason::silence;
    /// From the loss (or the last token before silence) to the next token.
    duration latency{0};
    /// Tokens that the target had to prefill again.
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
