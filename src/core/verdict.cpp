#include "core/verdict.hpp"

#include <utility>

namespace primrosedeal
{

auto to_string(verdict it) -> std::string_view
{
    switch (it)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

namespace
{

struct reason_row
{
    std::string_view text;
    int status;
};

constexpr auto row_of(reason it) -> reason_row
{
    switch (it)
    {
    case reason::unauthenticated:
        return {"unauthenticated", 401};
    case reason::not_found:
        return {"not_found", 404};
    case reason::malformed_request:
        return {"malformed_request", 400};
    case reason::unsupported_field:
        return {"unsupported_field", 400};
    case reason::header_too_large:
        return {"header_too_large", 431};
    case reason::body_too_large:
        return {"body_too_large", 413};
    case reason::prompt_too_long:
        return {"prompt_too_long", 413};
    case reason::too_many_streams:
        return {"too_many_streams", 503};
    case reason::organisation_concurrency:
        return {"organisation_concurrency", 429};
    case reason::organisation_rate:
        return {"organisation_rate", 429};
    case reason::overloaded:
        return {"overloaded", 503};
    case reason::deadline_unreachable:
        return {"deadline_unreachable", 503};
    case reason::deadline_expired:
        return {"deadline_expired", 504};
    case reason::no_target:
        return {"no_target", 503};
    case reason::not_ready:
        return {"not_ready", 503};
    case reason::shutting_down:
        return {"shutting_down", 503};
    case reason::retry_budget_exhausted:
        return {"retry_budget_exhausted", 503};
    case reason::engines_failed:
        return {"engines_failed", 502};
    case reason::target_failed:
        return {"target_failed", 502};
    case reason::caller_gone:
        return {"caller_gone", 499};
    case reason::platform_unavailable:
        return {"platform_unavailable", 503};
    case reason::claim_unresolved:
        return {"claim_unresolved", 503};
    case reason::claim_taken:
        return {"claim_taken", 409};
    case reason::ticket_unknown:
        return {"ticket_unknown", 409};
    case reason::ticket_expired:
        return {"ticket_expired", 409};
    case reason::outcome_unknown:
        return {"outcome_unknown", 502};
    case reason::internal_error:
        return {"internal_error", 500};
    }
    return {"internal_error", 500};
}

} // namespace

auto to_string(reason it) -> std::string_view
{
    return row_of(it).text;
}

auto http_status(reason it) -> int
{
    return row_of(it).status;
}

void refuse(reason code, std::string text, std::optional<duration> retry_after)
{
    throw request_error{{code, verdict::not_run, std::move(text), retry_after}};
}

auto to_string(retry_reason it) -> std::string_view
{
    switch (it)
    {
    case retry_reason::connection_refused:
        return "connection_refused";
    case retry_reason::connection_reset:
        return "connection_reset";
    case retry_reason::silence:
        return "silence";
    case retry_reason::target_error:
        return "target_error";
    case retry_reason::target_leaving:
        return "target_leaving";
    case retry_reason::stream_corrupt:
        return "stream_corrupt";
    case retry_reason::early_second_attempt:
        return "early_second_attempt";
    }
    return "target_error";
}

} // namespace primrosedeal
