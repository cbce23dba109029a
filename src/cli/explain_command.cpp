#include "cli/subcommands.hpp"

#include "explain/explain.hpp"

#include <iostream>

namespace primrosedeal::cli
{

auto explain(arguments const& words) -> exit_code
{
    if (words.size() != 1)
    {
        std::cerr << "explain: a request's id was expected\n";
        return exit_code::usage;
    }
    auto const lines =
        primrosedeal::explain::find_request_lines(std::cin, words.front());
    for (auto const& it : lines)
    {
        std::cout << primrosedeal::explain::to_string(it) << "\n";
    }
    std::cout << "cause: " << primrosedeal::explain::explain_outcome(lines)
              << "\n";
    return lines.empty() ? exit_code::failed : exit_code::success;
}

} // namespace primrosedeal::cli
