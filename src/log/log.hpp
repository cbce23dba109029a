#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Structured log lines by log4cplus, one JSON object a line on standard
/// output: one for each decision on a request or change of belief, never one
/// a token. Safe from any thread.
///
/// Writing never blocks: a line over the bound of lines a second, or one that
/// the reader of standard output has no room for, is dropped and counted.
namespace primrosedeal::log
{

enum class level
{
    info,
    warning,
    error,
};

struct field
{
    std::string_view name;
    std::string value;
};

/// Lines written in one second; the first in a second go before later ones.
constexpr auto max_lines_per_second = std::uint64_t{500};

/// Keeps log4cplus alive; hold one in main. Lines go to descriptor `fd`.
class scope
{
public:
    explicit scope(level least = level::info, int fd = 1);
    scope(scope const&) = delete;
    auto operator=(scope const&) -> scope& = delete;
    ~scope();
};

/// Input cannot forge a line: values are escaped, and cut where a line would
/// be longer than a pipe takes at once.
void write(level how, std::string_view event,
           std::initializer_list<field> fields);

/// The JSON object that `write` prints, without its line end. `time_ms` is
/// Unix time.
auto format_line(level how, std::string_view event,
                 std::initializer_list<field> fields, std::int64_t time_ms)
    -> std::string;

/// Lines dropped since the start.
auto dropped_lines() -> std::uint64_t;

} // namespace primrosedeal::log
