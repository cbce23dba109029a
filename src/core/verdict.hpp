#pragma once

#include "core/units.hpp"

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

/// Information about a failed request that is returned to the caller.
namespace primrosedeal
{

/// Whether a request ran at a target. `not_run` guarantees that it did not.
enum class verdict
{
    not_run,
    may_have_run,
    ran,
};

auto to_string(verdict it) -> std::string_view;

/// Why a request was refused or failed. The text form is stable, since callers
/// and metrics depend on it.
enum class reason
{
    unauthenticated,
    not_found,
    malformed_request,
    unsupported_field,
    header_too_large,
    body_too_large,
    prompt_too_long,
    too_many_streams,
    organisation_concurrency,
    organisation_rate,
    overloaded,
    deadline_unreachable,
    deadline_expired,
    no_target,
    not_ready,
    shutting_down,
    retry_budget_exhausted,
    engines_failed,
    target_failed,
    caller_gone,
    platform_unavailable,
    claim_unresolved,
    claim_taken,
    ticket_unknown,
    ticket_expired,
    outcome_unknown,
    internal_error,
};

auto to_string(reason it) -> std::string_view;

/// HTTP status for `it`.
auto http_status(reason it) -> int;

/// Why a further attempt was made, at the same target or another one.
enum class retry_reason
{
    connection_refused,
    connection_reset,
    silence,
    target_error,
    target_leaving,
    stream_corrupt,
    early_second_attempt,
};

auto to_string(retry_reason it) -> std::string_view;

/// Result of a failed request, as returned to the caller.
struct failure
{
    reason code = reason::internal_error;
    verdict ran = verdict::may_have_run;
    std::string text;
    std::optional<duration> retry_after;
};

/// The exception form of `failure`.
class request_error : public std::runtime_error
{
public:
    explicit request_error(failure it)
        : std::runtime_error(it.text), failure_(std::move(it))
    {
    }

    [[nodiscard]] auto what_failed() const -> failure const&
    {
        return failure_;
    }

private:
    failure failure_;
};

/// Throws a request_error for a request that did not run.
[[noreturn]] void refuse(reason code, std::string text,
                         std::optional<duration> retry_after = std::nullopt);

} // namespace primrosedeal
