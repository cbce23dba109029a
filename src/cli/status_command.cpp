#include "cli/subcommands.hpp"

#include "cli/operators_client.hpp"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, format, "text", "output: text or json");

namespace primrosedeal::cli
{

namespace
{

using nlohmann::json;

void print_text(status_answer const& it)
{
    std::cout << it.address << ": ";
    if (!it.status)
    {
        std::cout << "no answer\n";
        return;
    }
    for (auto const& each : it.status->items())
    {
        std::cout << each.key() << "=" << each.value().dump() << " ";
    }
    std::cout << "\n";
}

void print_json(std::vector<status_answer> const& answers)
{
    auto all = json::object();
    for (auto const& it : answers)
    {
        all[it.address] = it.status.value_or(json(nullptr));
    }
    std::cout << all.dump(2) << "\n";
}

} // namespace

auto status(arguments const& words) -> exit_code
{
    if (!words.empty())
    {
        std::cerr << "status: no arguments were expected\n";
        return exit_code::usage;
    }
    auto loop = net::event_loop{};
    auto answers = std::vector<status_answer>{};
    ask_all_hosts(loop,
                  [&](std::vector<status_answer> it)
                  {
                      answers = std::move(it);
                      loop.stop();
                  });
    loop.run();
    auto result = exit_code::success;
    for (auto const& it : answers)
    {
        result = it.status ? result : exit_code::unreachable;
    }
    if (absl::GetFlag(FLAGS_format) == "json")
    {
        print_json(answers);
        return result;
    }
    for (auto const& it : answers)
    {
        print_text(it);
    }
    return result;
}

} // namespace primrosedeal::cli
