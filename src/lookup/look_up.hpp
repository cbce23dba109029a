#pragma once

#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "retry/budget.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// An idempotent request to a plain service, with retries: each attempt goes to
/// a different target, within a deadline and a retry budget. Ends with a
/// target's answer or with a failure and its reason.
///
/// Use one `look_up` per request. Call `start` once, pass every event to
/// `on_event` and `timer_due` at `next_timer()`, and perform the returned
/// actions. `finish` is the last action.
namespace primrosedeal::lookup
{

struct look_up_settings
{
    /// Maximum attempts per request, including the first and a hedge.
    std::uint32_t max_attempts = 3;
    /// An attempt without an answer for this long is cancelled.
    duration attempt_timeout = 800ms;
    /// No attempt is started with less time than this left to the deadline.
    duration min_attempt_time = 20ms;
    /// Delay after which a second, concurrent attempt (hedge) is started. Empty
    /// disables hedging.
    std::optional<duration> hedge_after;
};

// ---- events -------------------------------------------------------------

/// A complete HTTP response was received from the target.
struct answered
{
    attempt_id attempt;
    int status = 0;
    std::string body;
};

struct failed
{
    attempt_id attempt;
    retry_reason cause = retry_reason::connection_reset;
    /// Part of the request may have been sent.
    bool may_have_sent = true;
};

/// The attempt was not sent: no target outside `send::tried` is available.
struct no_target
{
    attempt_id attempt;
};

struct timer_due
{
};

using event = std::variant<answered, failed, no_target, timer_due>;

// ---- actions ------------------------------------------------------------

/// Choose a target outside `tried`, send the request to it and report the
/// target with `note_target`.
struct send
{
    attempt_id attempt;
    std::vector<target_id> tried;
    /// Reason for a retry or hedge, to be counted in the metrics; empty for the
    /// first attempt.
    std::optional<retry_reason> cause;
};

/// Abort the attempt; its later events are ignored.
struct cancel
{
    attempt_id attempt;
};

/// The request ended with the target's answer or with a failure, to be counted
/// by its reason.
struct finish
{
    std::variant<answered, failure> result;
};

using action = std::variant<send, cancel, finish>;
using actions = std::vector<action>;

class look_up
{
public:
    /// `budget` is shared between look-ups and must outlive this one.
    look_up(look_up_settings settings, service_id service,
            organisation_id organisation, time_point deadline,
            retry::budget& budget)
        : settings_(settings), service_(std::move(service)),
          organisation_(std::move(organisation)), deadline_(deadline),
          budget_(budget)
    {
    }

    auto start(time_point now) -> actions;
    auto on_event(event const& it, time_point now) -> actions;

    /// Records the target of `attempt`, which later attempts exclude.
    void note_target(attempt_id attempt, target_id target);

    [[nodiscard]] auto next_timer() const -> std::optional<time_point>;

    [[nodiscard]] auto finished() const -> bool
    {
        return finished_;
    }

private:
    struct open_attempt
    {
        attempt_id id;
        time_point started_at;
    };

    void on(answered const& it);
    void on(failed const& it);
    void on(no_target const& it);
    void on(timer_due const& it);

    auto remove_open_attempt(attempt_id id) -> bool;
    void begin_attempt(std::optional<retry_reason> cause);
    auto may_begin_attempt() const -> bool;
    void retry_or_fail(retry_reason cause);
    void fail(reason failure_reason);
    void finish_with(std::variant<answered, failure> result);
    auto hedge_time() const -> std::optional<time_point>;

    look_up_settings settings_;
    service_id service_;
    organisation_id organisation_;
    time_point deadline_;
    retry::budget& budget_;
    std::uint32_t attempts_begun_ = 0;
    std::vector<open_attempt> open_attempts_;
    std::vector<target_id> tried_;
    std::optional<answered> target_error_;
    bool may_have_sent_ = false;
    bool hedged_ = false;
    bool finished_ = false;
    time_point now_;
    actions out_;
};

/// Returns whether a request that failed with this HTTP status is worth
/// retrying at another target.
auto is_target_error(int status) -> bool;

} // namespace primrosedeal::lookup
