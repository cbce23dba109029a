#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

/// Explains the outcome of one request from the log lines of a host.
namespace primrosedeal::explain
{

/// One log line of the request, with its string fields by name.
struct log_line
{
    std::int64_t time_ms = 0;
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Returns the log lines of `in` whose `request` field is `request`, ordered by
/// time. A line may have a prefix before its JSON object; lines that are not
/// log lines are skipped.
auto find_request_lines(std::istream& in, std::string const& request)
    -> std::vector<log_line>;

/// Returns one sentence with the outcome that the client saw and its cause.
auto explain_outcome(std::vector<log_line> const& lines) -> std::string;

/// Formats a line as `time_ms event field=value ...`.
auto to_string(log_line const& it) -> std::string;

} // namespace primrosedeal::explain
