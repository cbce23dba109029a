#include "load/load_command.hpp"

#include "load/driver.hpp"

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>
#include <stdexcept>

// Bearer keys come from a file, so that they do not show in process lists.

ABSL_FLAG(std::vector<std::string>, entry_hosts, {},
          "load: entry hosts as IP:PORT,IP:PORT");
ABSL_FLAG(std::string, keys_file, "",
          "load: file with one organisation's bearer key a line");
ABSL_FLAG(std::uint64_t, load_seed, 1, "load: seed of the arrivals");
ABSL_FLAG(std::uint64_t, generations, 50, "load: generations to ask for");
ABSL_FLAG(double, generations_per_second, 10, "load: their rate");
ABSL_FLAG(std::string, load_model, "fitting", "load: model to ask for");
ABSL_FLAG(std::string, load_version, "1", "load: version of the model");
ABSL_FLAG(std::string, load_adapter, "", "load: adapter of the model");
ABSL_FLAG(double, long_share, 0.07, "load: share of long generations");
ABSL_FLAG(std::uint64_t, orders, 0, "load: orders to send");
ABSL_FLAG(double, orders_per_second, 10, "load: their rate");
ABSL_FLAG(std::string, order_service, "order", "load: service for orders");
ABSL_FLAG(std::string, order_path, "orders", "load: path of an order");
ABSL_FLAG(std::uint64_t, lookups, 0, "load: look-ups to send");
ABSL_FLAG(double, lookups_per_second, 10, "load: their rate");
ABSL_FLAG(std::string, lookup_service, "stock", "load: service to look up");
ABSL_FLAG(std::vector<std::string>, execution_counters, {},
          "load: plain-service stand-ins that count executions, IP:PORT");
ABSL_FLAG(std::string, csv, "", "load: file for one line a call");
ABSL_FLAG(std::string, svg, "", "load: file for a plot of the latencies");

namespace primrosedeal::load
{

namespace
{

auto to_endpoints(std::vector<std::string> const& words, char const* flag)
    -> std::vector<net::endpoint>
{
    auto found = std::vector<net::endpoint>{};
    for (auto const& it : words)
    {
        auto const at = net::parse_endpoint(it);
        if (!at)
        {
            throw std::invalid_argument(std::string{"--"} + flag + ": " + it +
                                        ": IP:PORT was expected");
        }
        found.push_back(*at);
    }
    return found;
}

auto read_keys(std::string const& file) -> std::vector<std::string>
{
    auto in = std::ifstream{file};
    auto keys = std::vector<std::string>{};
    for (auto line = std::string{}; std::getline(in, line);)
    {
        if (!line.empty())
        {
            keys.push_back(line);
        }
    }
    if (keys.empty())
    {
        throw std::invalid_argument(
            "--keys_file: a readable file with a bearer key a line was "
            "expected");
    }
    return keys;
}

auto positive(double value, char const* flag) -> double
{
    if (!(value > 0))
    {
        throw std::invalid_argument(std::string{"--"} + flag +
                                    ": a rate above 0 was expected");
    }
    return value;
}

auto options_from_flags() -> load_options
{
    auto it = load_options{};
    it.seed = absl::GetFlag(FLAGS_load_seed);
    it.hosts = to_endpoints(absl::GetFlag(FLAGS_entry_hosts), "entry_hosts");
    it.keys = read_keys(absl::GetFlag(FLAGS_keys_file));
    it.generations = absl::GetFlag(FLAGS_generations);
    it.generations_per_second = positive(
        absl::GetFlag(FLAGS_generations_per_second), "generations_per_second");
    it.model = model_id{absl::GetFlag(FLAGS_load_model)};
    it.version = model_version{absl::GetFlag(FLAGS_load_version)};
    it.adapter = adapter_id{absl::GetFlag(FLAGS_load_adapter)};
    it.long_share = absl::GetFlag(FLAGS_long_share);
    it.orders = absl::GetFlag(FLAGS_orders);
    it.orders_per_second =
        positive(absl::GetFlag(FLAGS_orders_per_second), "orders_per_second");
    it.order_service = absl::GetFlag(FLAGS_order_service);
    it.order_path = absl::GetFlag(FLAGS_order_path);
    it.lookups = absl::GetFlag(FLAGS_lookups);
    it.lookups_per_second =
        positive(absl::GetFlag(FLAGS_lookups_per_second), "lookups_per_second");
    it.lookup_service = absl::GetFlag(FLAGS_lookup_service);
    it.execution_counters = to_endpoints(
        absl::GetFlag(FLAGS_execution_counters), "execution_counters");
    return it;
}

void write_file(std::string const& file, std::string const& text)
{
    if (file.empty())
    {
        return;
    }
    auto out = std::ofstream{file};
    out << text;
    if (!out.flush())
    {
        std::cerr << "load: cannot write " << file << "\n";
    }
}

} // namespace

auto run_command(std::vector<std::string> const& words) -> command_result
{
    try
    {
        if (!words.empty())
        {
            throw std::invalid_argument(words.front() +
                                        ": only flags were expected");
        }
        auto const it = run(options_from_flags());
        std::cout << to_text(it);
        write_file(absl::GetFlag(FLAGS_csv), to_csv(it));
        write_file(absl::GetFlag(FLAGS_svg), to_svg(it));
        return promises_kept(it) ? command_result::kept
                                 : command_result::broken;
    }
    catch (std::invalid_argument const& e)
    {
        std::cerr << "load: " << e.what() << "\n";
        return command_result::usage;
    }
}

} // namespace primrosedeal::load
