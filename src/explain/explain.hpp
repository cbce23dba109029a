#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

/// Finds in a host's log lines why one request ended as it did.
namespace primrosedeal::explain
{

/// One line about the request; its fields by name.
struct log_line
{
    std::int64_t time_ms = 0;
    std::string event;
    std::map<std::string, std::string> fields;
};

/// Lines of `in` that name `request`, by time. Lines may have a prefix before
/// their JSON object; what is no log line is skipped.
auto lines_of(std::istream& in, std::string const& request)
    -> std::vector<log_line>;

/// What a caller noticed and why, in a sentence.
auto cause_of(std::vector<log_line> const& lines) -> std::string;

/// `time_ms event field=value ...`
auto to_string(log_line const& it) -> std::string;

} // namespace primrosedeal::explain
