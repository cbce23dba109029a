#include "cli/command.hpp"
#include "net/event_loop.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace primrosedeal;

auto run_command(std::vector<std::string> const& words) -> cli::exit_code
{
    if (words.empty())
    {
        std::cerr << cli::help_text("");
        return cli::exit_code::usage;
    }
    auto const& all = cli::commands();
    auto const it = std::find_if(all.begin(), all.end(),
                                 [&](cli::command const& c)
                                 { return c.name == words.front(); });
    if (it == all.end())
    {
        std::cerr << "primrosedeal: no such command: " << words.front() << "\n"
                  << cli::help_text("");
        return cli::exit_code::usage;
    }
    return it->run({words.begin() + 1, words.end()});
}

/// Ends the process without the static destructors, of which log4cplus's
/// waits for the threads of its pool.
[[noreturn]] void end_process(int code)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(code);
}

/// `--help` shows our flags, which live in src/cli.
void configure_help()
{
    auto config = absl::FlagsUsageConfig{};
    config.contains_helpshort_flags = [](absl::string_view file)
    {
        return file.find("src/cli/") != absl::string_view::npos;
    };
    config.contains_help_flags = config.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(config);
    absl::SetProgramUsageMessage(cli::help_text(""));
}

/// Names of flags may be written with dashes, which absl does not know.
auto with_underscores(std::string word) -> std::string
{
    constexpr auto marks = std::size_t{2};
    if (word.size() > marks && word.starts_with("--"))
    {
        auto const end = std::min(word.find('='), word.size());
        std::replace(word.begin() + marks,
                     word.begin() + static_cast<std::ptrdiff_t>(end), '-', '_');
    }
    return word;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try
    {
        configure_help();
        auto words_as_given = std::vector<std::string>{};
        auto pointers = std::vector<char*>{};
        for (auto i = 0; i < argc; ++i)
        {
            words_as_given.push_back(with_underscores(argv[i]));
        }
        for (auto& it : words_as_given)
        {
            pointers.push_back(it.data());
        }
        auto const parsed = absl::ParseCommandLine(argc, pointers.data());
        net::initialise_process();
        auto const words =
            std::vector<std::string>{parsed.begin() + 1, parsed.end()};
        end_process(static_cast<int>(run_command(words)));
    }
    catch (std::exception const& e)
    {
        std::cerr << "primrosedeal: " << e.what() << "\n";
        end_process(static_cast<int>(cli::exit_code::usage));
    }
}
