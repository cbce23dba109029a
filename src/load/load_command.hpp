#pragma once

#include <string>
#include <vector>

/// `primrosedeal load`: a load run by the flags of load_command.cpp.
namespace primrosedeal::load
{

/// How the run ended.
enum class command_result
{
    /// Every promise held.
    kept,
    /// At least one did not.
    broken,
    /// Bad flags or files; nothing was sent.
    usage,
};

/// Runs, prints the report to standard output and writes the files asked
/// for. `words` has to be empty. One line to standard error on bad flags.
auto run_command(std::vector<std::string> const& words) -> command_result;

} // namespace primrosedeal::load
