#pragma once

#include "core/ids.hpp"
#include "core/verdict.hpp"
#include "retry/budget.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// One call of a plain service that may be repeated: tries distinct targets
/// within a deadline and the retry budget, then gives up with a reason.
///
/// How a task uses it: one `look_up` for each request. Call `start` once and
/// feed every later event to `on_event`; carry out the actions. After `finish`
/// there is nothing more to do. Feed `timer_due` at `next_timer()`.
namespace primrosedeal::lookup
{

struct look_up_settings
{
    /// Attempts of one request, the first one and a hedge included.
    std::uint32_t max_attempts = 3;
    /// Silence after which an attempt is given up.
    duration attempt_timeout = 800ms;
    /// No attempt begins with less time left before the deadline.
    duration shortest_attempt = 20ms;
    /// A second attempt begins beside the first after this long; off if empty.
    std::optional<duration> hedge_after;
};

// ---- events -------------------------------------------------------------

/// The target answered with a whole HTTP answer.
struct answered
{
    attempt_id attempt;
    int status = 0;
    std::string body;
};

struct failed
{
    attempt_id attempt;
    retry_reason why = retry_reason::connection_reset;
    /// A byte of the call may have left.
    bool may_have_sent = true;
};

/// The attempt was not begun: no target outside `send::tried` is left.
struct no_target
{
    attempt_id attempt;
};

struct timer_due
{
};

using event = std::variant<answered, failed, no_target, timer_due>;

// ---- actions ------------------------------------------------------------

/// Choose a target outside `tried` and send the call; tell the target chosen
/// by `note_target`.
struct send
{
    attempt_id attempt;
    std::vector<target_id> tried;
    /// Why it is a further attempt; empty for the first. Count it.
    std::optional<retry_reason> because;
};

/// Drop the attempt; its events are ignored from now on.
struct cancel
{
    attempt_id attempt;
};

/// The end: the target's answer, or a failure to count by its reason.
struct finish
{
    std::variant<answered, failure> result;
};

using action = std::variant<send, cancel, finish>;
using actions = std::vector<action>;

class look_up
{
public:
    /// `budget` outlives the look-up and is shared with others.
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

    /// The target that `attempt` went to; no later attempt goes there.
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
        time_point begun;
    };

    void on(answered const& it);
    void on(failed const& it);
    void on(no_target const& it);
    void on(timer_due const& it);

    auto close(attempt_id id) -> bool;
    void begin(std::optional<retry_reason> because);
    auto may_begin() const -> bool;
    void retry_or_give_up(retry_reason why);
    void give_up(reason why);
    void end(std::variant<answered, failure> result);
    auto hedge_time() const -> std::optional<time_point>;

    look_up_settings settings_;
    service_id service_;
    organisation_id organisation_;
    time_point deadline_;
    retry::budget& budget_;
    std::uint32_t begun_ = 0;
    std::vector<open_attempt> open_;
    std::vector<target_id> tried_;
    std::optional<answered> bad_answer_;
    bool may_have_sent_ = false;
    bool hedged_ = false;
    bool finished_ = false;
    time_point now_;
    actions out_;
};

/// Whether another target may do better than the one that gave this status.
auto is_target_error(int status) -> bool;

} // namespace primrosedeal::lookup
