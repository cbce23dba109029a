#include "cli/subcommands.hpp"

#include "load/load_command.hpp"

namespace primrosedeal::cli
{

auto load(arguments const& words) -> exit_code
{
    switch (load::run_command(words))
    {
    case load::command_result::kept:
        return exit_code::success;
    case load::command_result::broken:
        return exit_code::failed;
    case load::command_result::usage:
        return exit_code::usage;
    }
    return exit_code::failed;
}

} // namespace primrosedeal::cli
