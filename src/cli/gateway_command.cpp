#include "cli/subcommands.hpp"

#include "gateway/gateway.hpp"
#include "log/crash_report.hpp"
#include "log/log.hpp"
#include "net/connect.hpp"
#include "platform/protocol.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"

#include <absl/flags/flag.h>

#include <csignal>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, source_address, "",
          "gateway: local IPv4 address of the connections that it opens to "
          "targets, hosts and the store; empty: the system chooses");

namespace primrosedeal::cli
{

auto gateway(arguments const& words) -> exit_code
{
    // A reload may be asked for before this process has read its settings.
    std::signal(SIGHUP, SIG_IGN);
    if (words.size() > 1)
    {
        std::cerr << "gateway: one settings file at most was expected\n";
        return exit_code::usage;
    }
    auto const source = absl::GetFlag(FLAGS_source_address);
    if (!source.empty() && !net::parse_endpoint(source + ":1"))
    {
        std::cerr << "gateway: --source_address: IPV4 was expected\n";
        return exit_code::usage;
    }
    net::set_source_address(source);
    try
    {
        auto const file =
            words.empty() ? platform::settings_path() : words.front();
        auto const settings = platform::load_settings(file);
        auto const logging = log::scope{};
        log::install_crash_report();
        auto loop = net::event_loop{};
        auto const wire = platform::wire_protocol{};
        auto store = platform::store_client{
            loop, platform::make_store_settings(settings)};
        auto const drained = gateway::run_gateway(
            loop, settings, [file] { return platform::load_settings(file); },
            wire, store);
        return drained ? exit_code::success : exit_code::not_drained;
    }
    catch (gateway::settings_error const& e)
    {
        std::cerr << e.what() << "\n";
        return exit_code::usage;
    }
}

} // namespace primrosedeal::cli
