#pragma once

#include "cli/command.hpp"

/// One function for each subcommand. They print their results to standard
/// output and one line for each error to standard error.
namespace primrosedeal::cli
{

auto explain(arguments const& words) -> exit_code;
auto gateway(arguments const& words) -> exit_code;
auto serve(arguments const& words) -> exit_code;
auto check(arguments const& words) -> exit_code;
auto check_configuration(arguments const& words) -> exit_code;
auto defaults(arguments const& words) -> exit_code;
auto exceptions(arguments const& words) -> exit_code;
auto load(arguments const& words) -> exit_code;
auto status(arguments const& words) -> exit_code;
auto version(arguments const& words) -> exit_code;

} // namespace primrosedeal::cli
