#include "cli/subcommands.hpp"

#include <iostream>

namespace primrosedeal::cli
{

auto version(arguments const& /*words*/) -> exit_code
{
    std::cout << "primrosedeal " << PRIMROSEDEAL_VERSION << "\n";
    return exit_code::success;
}

} // namespace primrosedeal::cli
