#pragma once

#include "core/units.hpp"
#include "routes/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

/// Decides whether a failed attempt is retried or the request ends.
///
/// Load pattern: a domain's targets fail together while clients wait with
/// deadlines, and all hosts share one retry budget. A request is retried only
/// if it cannot run more often than its route permits and can still meet its
/// deadline. Otherwise it ends immediately. A client that has received part of
/// a stream cannot be told to use another host, so such a stream waits for a
/// target and for the budget until its deadline.
namespace primrosedeal::dispatch
{

/// How an attempt ended without a usable response.
enum class attempt_failure
{
    /// No byte of the request left this host.
    not_connected,
    /// The target reported that it did not run the request.
    not_executed,
    /// The address now belongs to another target; the request did not run.
    misdirected,
    /// The connection closed before the response or event stream was complete.
    broken,
    /// The target timed out.
    silent,
    /// The target returned an error response.
    target_error,
    /// The response is malformed, altered or belongs to another request.
    damaged,
};

auto to_string(attempt_failure it) -> std::string_view;

/// Whether the target may have run the request despite this failure.
auto may_have_run(attempt_failure it) -> bool;

struct request_state
{
    routes::request_kind kind = routes::request_kind::non_idempotent;
    bool resumable = false;
    /// Some events of the answer have been sent to the client.
    bool answer_started = false;
    /// The request may have run in some attempt.
    bool may_have_run = false;
    /// Targets on which the request may have run.
    std::uint32_t runs = 0;
    std::uint32_t max_runs = 1;
    /// Attempts in which the request is known not to have run.
    std::uint32_t refusals = 0;
    /// Retries in a row without a run: refused, not connected, or not sent for
    /// lack of a target or of budget.
    std::uint32_t fruitless_retries = 0;
    /// Connections in a row that were not made.
    std::uint32_t connect_failures = 0;
    /// Targets that crashed as they began the answer.
    std::uint32_t crashes = 0;
    /// The client's own deadline or the route's timeout.
    time_point deadline_at{};
};

/// Send the request to a target again after this delay, if the retry budget
/// allows it then.
struct try_again
{
    duration after{};
};

/// End the request with this HTTP status. 503 states that it did not run.
struct end_request
{
    int status = 0;
};

using next_step = std::variant<try_again, end_request>;

/// Attempts that may be refused or fail to connect before the request ends,
/// unless its answer has begun.
constexpr auto max_refusals = std::uint32_t{6};

/// Targets that one request may crash as they begin its answer. Whatever is in
/// the request may be the reason, so it is not sent to target after target.
constexpr auto max_crashes = std::uint32_t{3};

/// A request with less time than this left is not retried.
constexpr auto min_time_for_attempt = duration{15ms};

/// Fruitless retries of a begun stream that are made without a delay, so that
/// it leaves a lost domain quickly.
constexpr auto immediate_retries = std::uint32_t{2};

/// First delay after them; doubles with each further one.
constexpr auto initial_retry_delay = duration{50ms};
constexpr auto max_retry_delay = duration{500ms};

/// Bounds of the connect timeout, which is half of the latency objective.
constexpr auto min_connect_timeout = duration{80ms};
constexpr auto max_connect_timeout = duration{250ms};

/// Bound for a begun stream, whose timeout doubles with each connection that
/// was not made: on a slow path no timeout for a new request would suffice.
constexpr auto max_continuation_connect_timeout = duration{1500ms};

auto connect_timeout(request_state const& it, duration objective,
                     time_point now) -> duration;

/// An attempt failed.
auto after_failure(request_state const& it, time_point now) -> next_step;

/// A retry was permitted, but there is no target or no budget for it.
auto after_denial(request_state const& it, time_point now) -> next_step;

/// HTTP status for a request that ends now. 503 guarantees that it did not run.
auto final_status(request_state const& it, time_point now) -> int;

} // namespace primrosedeal::dispatch
