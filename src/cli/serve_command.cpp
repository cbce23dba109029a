#include "cli/subcommands.hpp"

#include "log/log.hpp"
#include "serve/serve.hpp"
#include "settings/checked_yaml.hpp"
#include "settings/host_settings.hpp"

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "",
          "serve: the host's own settings file (YAML)");

namespace primrosedeal::cli
{

auto serve(arguments const& words) -> exit_code
{
    auto const file = absl::GetFlag(FLAGS_settings);
    if (file.empty() || !words.empty())
    {
        std::cerr << "serve: --settings=FILE was expected and nothing else\n";
        return exit_code::usage;
    }
    try
    {
        auto const settings = settings::load_host_settings(file);
        auto const logging = log::scope{};
        return static_cast<exit_code>(serve::run_host(settings));
    }
    catch (settings::settings_error const& e)
    {
        std::cerr << e.what() << "\n";
        return exit_code::usage;
    }
}

} // namespace primrosedeal::cli
