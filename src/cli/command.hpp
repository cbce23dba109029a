#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The subcommands of `primrosedeal`.
namespace primrosedeal::cli
{

/// Exit codes of every subcommand; docs/operations/command-line.md lists
/// them.
enum class exit_code
{
    success = 0,
    /// The command ran and what it was asked for does not hold.
    failed = 1,
    /// Bad flags, arguments or files; nothing was done.
    usage = 2,
    /// Something it needs could not be reached.
    unreachable = 3,
    /// `serve` ended with requests still open.
    not_drained = 4,
};

/// Words after the subcommand, without flags.
using arguments = std::vector<std::string>;

struct command
{
    std::string_view name;
    std::string_view summary;
    std::string_view example;
    std::function<exit_code(arguments const&)> run;
};

/// All subcommands, in the order of the help text.
auto commands() -> std::vector<command> const&;

/// Help for all of them, or for the one called `name`.
auto help_text(std::string_view name) -> std::string;

} // namespace primrosedeal::cli
