#pragma once

#include "core/units.hpp"
#include "routes/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

/// What follows a failed attempt.
///
/// Load pattern: a domain's targets fail together while clients wait with
/// deadlines, and every further attempt draws on a budget that all hosts
/// share. A request is repeated only where that may not run it twice, can
/// still be in time, and is allowed by its route; anything else is answered
/// at once.
namespace primrosedeal::dispatch
{

/// How an attempt ended without a usable answer.
enum class attempt_failure
{
    /// Nothing of the request left this host.
    not_connected,
    /// The target says that it did not run the request.
    not_executed,
    /// Another target has the address; the request did not run.
    misdirected,
    /// The connection ended before a whole answer or event stream.
    broken,
    /// No sign of the target for longer than usual work takes.
    silent,
    /// The target's own error answer.
    target_error,
    /// An answer that is not this request's or not whole.
    damaged,
};

auto to_string(attempt_failure it) -> std::string_view;

/// Whether the request may have run in an attempt that ended so.
auto may_have_run(attempt_failure it) -> bool;

struct request_state
{
    routes::request_kind kind = routes::request_kind::non_idempotent;
    bool resumable = false;
    /// Events of the answer have gone to the client.
    bool answer_begun = false;
    /// Some attempt may have run.
    bool may_have_run = false;
    /// Targets on which the request may have run.
    std::uint32_t runs = 0;
    std::uint32_t max_runs = 1;
    /// Attempts that provably did not run.
    std::uint32_t refusals = 0;
    /// The client's own deadline or the route's timeout.
    time_point give_up_at{};
};

/// Send it to a target again, if the budget allows.
struct try_again
{
};

/// No attempt may follow: end the request with this status. 503: not run.
struct give_up
{
    int status = 0;
};

using next_step = std::variant<try_again, give_up>;

/// Attempts that may be refused or find no connection before giving up.
constexpr auto max_refusals = std::uint32_t{6};

/// A request this close to its end is not sent again.
constexpr auto least_time_for_attempt = duration{15ms};

auto after_failure(request_state const& it, time_point now) -> next_step;

/// The status that ends a request now: 503 is a promise that it did not run.
auto final_status(request_state const& it, time_point now) -> int;

} // namespace primrosedeal::dispatch
