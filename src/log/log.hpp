#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

/// Structured log lines by log4cplus: `event=NAME key=value ...`, one line
/// for each change of state, never one a token. Safe from any thread.
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

/// Keeps log4cplus alive; hold one in main. Lines go to standard error.
class scope
{
public:
    explicit scope(level least = level::info);
    scope(scope const&) = delete;
    auto operator=(scope const&) -> scope& = delete;
    ~scope();

private:
    struct state;
    state* state_;
};

/// Values with spaces, quotes or control characters are quoted and escaped,
/// so that input cannot forge a line.
void write(level how, std::string_view event,
           std::initializer_list<field> fields);

/// `event=NAME key=value ...` as `write` prints it.
auto format_line(std::string_view event, std::initializer_list<field> fields)
    -> std::string;

} // namespace primrosedeal::log
