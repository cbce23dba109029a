#include "cli/subcommands.hpp"

#include "cli/input_file.hpp"
#include "settings/checked_yaml.hpp"
#include "settings/host_settings.hpp"

#include <iostream>
#include <stdexcept>

// A host's own settings begin with the key `host`; everything else is taken
// for a configuration.
namespace primrosedeal::cli
{

namespace
{

/// Throws std::exception with the findings.
void check_one(std::string const& file)
{
    if (settings::load_file(file).has("host"))
    {
        settings::load_host_settings(file);
        return;
    }
    auto const checked = declare::check_file(read_file(file));
    if (checked.code != declare::exit_code::done)
    {
        // The lines end in a newline; the printer adds its own.
        auto lines = checked.errors;
        lines.pop_back();
        throw std::runtime_error{lines};
    }
}

} // namespace

auto check(arguments const& words) -> exit_code
{
    if (words.empty())
    {
        std::cerr << "check: at least one file was expected\n";
        return exit_code::usage;
    }
    auto result = exit_code::success;
    for (auto const& file : words)
    {
        try
        {
            check_one(file);
            std::cout << file << ": valid\n";
        }
        catch (std::exception const& e)
        {
            std::cerr << e.what() << "\n";
            result = exit_code::failed;
        }
    }
    return result;
}

} // namespace primrosedeal::cli
