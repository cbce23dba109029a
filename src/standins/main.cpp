#include "configuration/stored_form.hpp"
#include "configuration/yaml.hpp"
#include "net/event_loop.hpp"
#include "standins/engine_standin.hpp"
#include "standins/faulty_server.hpp"
#include "standins/key_value_standin.hpp"
#include "standins/small_services.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <vector>

// Many stand-ins in one process, one loop. Ports are printed one a line, as
// `engine 0 127.0.0.1:9001`, so that scripts can read them; then `ready`.

ABSL_FLAG(int, engines, 1, "number of stand-in engines");
ABSL_FLAG(int, base_port, 0, "first port; 0 lets the system choose each");
ABSL_FLAG(std::string, address, "127.0.0.1", "address to listen on");
ABSL_FLAG(std::string, model, "fitting", "model the engines have loaded");
ABSL_FLAG(std::string, version, "1", "version of the model");
ABSL_FLAG(int, token_gap_us, 20000, "microseconds between two steps");
ABSL_FLAG(int, tokens_per_step, 1, "tokens of a stream in one step");
ABSL_FLAG(int, prefill_ms_per_1000, 100,
          "milliseconds to compute 1000 tokens that are not cached");
ABSL_FLAG(int, slots, 16, "streams that an engine computes at once");
ABSL_FLAG(int, max_waiting, 64, "streams that may wait at an engine");
ABSL_FLAG(int, cache_blocks, 4096, "blocks in an engine's prefix cache");
ABSL_FLAG(int, load_lag_ms, 500, "age of an engine's load report");
ABSL_FLAG(bool, checks_fencing, true,
          "whether engines refuse orders with an old fencing number");

ABSL_FLAG(std::vector<std::string>, domains, {"luzon-a"},
          "failure domains; engines and services are dealt out in turn");
ABSL_FLAG(std::vector<std::string>, services, {},
          "plain services, as order=2 for two replicas");
ABSL_FLAG(std::vector<std::string>, entry_hosts, {},
          "entry hosts for the host list, as ID=IP:PORT@DOMAIN");
ABSL_FLAG(bool, key_value, false, "run a key-value service");
ABSL_FLAG(std::string, configuration, "",
          "YAML file that the key-value service holds as accepted");
ABSL_FLAG(bool, host_list, false, "run a host list of what runs here");
ABSL_FLAG(int, host_list_lag_ms, 1000, "lag of the host list");
ABSL_FLAG(double, weight_store_rate, 0,
          "run a weight store of so many loads a second; 0 runs none");

namespace
{

using namespace primrosedeal;

auto engine_settings_from_flags() -> standins::engine_settings
{
    auto it = standins::engine_settings{};
    it.token_gap = duration{absl::GetFlag(FLAGS_token_gap_us)};
    it.tokens_per_step =
        static_cast<std::uint32_t>(absl::GetFlag(FLAGS_tokens_per_step));
    it.prefill_per_1000 =
        std::chrono::milliseconds{absl::GetFlag(FLAGS_prefill_ms_per_1000)};
    it.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
    it.max_waiting = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_waiting));
    it.cache_blocks =
        static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks));
    it.load_lag = std::chrono::milliseconds{absl::GetFlag(FLAGS_load_lag_ms)};
    it.checks_fencing = absl::GetFlag(FLAGS_checks_fencing);
    it.models = {{model_id{absl::GetFlag(FLAGS_model)},
                  model_version{absl::GetFlag(FLAGS_version)},
                  {},
                  {}}};
    return it;
}

/// Hands out the ports from `base_port` on.
class ports
{
public:
    auto next() -> net::endpoint
    {
        auto const base = absl::GetFlag(FLAGS_base_port);
        auto const port = base == 0 ? 0 : base + used_++;
        return {absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(port)};
    }

private:
    int used_ = 0;
};

void print_port(std::string_view kind, int index, std::uint16_t port)
{
    std::cout << kind << ' ' << index << ' ' << absl::GetFlag(FLAGS_address)
              << ':' << port << '\n';
}

/// All stand-ins of this process.
class collection
{
public:
    explicit collection(net::event_loop& loop) : loop_(loop) {}

    void add_engines()
    {
        auto const settings = engine_settings_from_flags();
        for (auto i = 0; i < absl::GetFlag(FLAGS_engines); ++i)
        {
            auto const at = ports_.next();
            auto it =
                std::make_unique<standins::engine_standin>(loop_, settings);
            auto const port = it->listen(at);
            print_port("engine", i, port);
            auto row = target_row(absl::GetFlag(FLAGS_model), i, port);
            row["model"] = absl::GetFlag(FLAGS_model);
            row["version"] = absl::GetFlag(FLAGS_version);
            row["slots"] = settings.slots;
            targets_.push_back(std::move(row));
            engines_.push_back(std::move(it));
        }
    }

    void add_services()
    {
        for (auto const& flag : absl::GetFlag(FLAGS_services))
        {
            auto const parts =
                std::pair<std::string, std::string>{absl::StrSplit(flag, '=')};
            for (auto i = 0; i < std::stoi(parts.second); ++i)
            {
                add_service(parts.first, i);
            }
        }
    }

    void add_platform()
    {
        if (absl::GetFlag(FLAGS_key_value))
        {
            key_value_ = std::make_unique<standins::key_value_standin>(loop_);
            print_port("key_value", 0, key_value_->listen(ports_.next()));
            accept_configuration(absl::GetFlag(FLAGS_configuration));
        }
        if (absl::GetFlag(FLAGS_weight_store_rate) > 0)
        {
            auto const state = std::make_shared<standins::weight_store>(
                absl::GetFlag(FLAGS_weight_store_rate));
            add_server("weight_store", 0,
                       [state](net::server_request const& it)
                       { return state->answer(it, net::event_loop::now()); });
        }
        if (absl::GetFlag(FLAGS_host_list))
        {
            auto const state = std::make_shared<standins::host_list>(
                std::chrono::milliseconds{
                    absl::GetFlag(FLAGS_host_list_lag_ms)},
                hosts_text());
            add_server("host_list", 0,
                       [state](net::server_request const& it)
                       { return state->answer(it, net::event_loop::now()); });
        }
    }

private:
    using simple_handler =
        std::function<net::http_response(net::server_request const&)>;

    auto add_server(std::string const& kind, int index,
                    simple_handler const& handle) -> std::uint16_t
    {
        auto it = std::make_unique<standins::faulty_server>(
            loop_, [handle](net::server_request const& request,
                            std::shared_ptr<net::responder> const&)
            { return std::optional{handle(request)}; });
        auto const port = it->listen(ports_.next());
        print_port(kind, index, port);
        servers_.push_back(std::move(it));
        return port;
    }

    void accept_configuration(std::string const& file)
    {
        if (file.empty())
        {
            return;
        }
        auto in = std::ifstream{file};
        auto text = std::stringstream{};
        text << in.rdbuf();
        auto document = configuration::read_yaml(text.str(), file);
        document.number = revision{1};
        auto const stored = configuration::encode(document);
        for (auto const& [name, part] : stored.parts)
        {
            key_value_->put(configuration::part_key(name), part);
        }
        key_value_->put(configuration::head_key, stored.head);
    }

    void add_service(std::string const& name, int index)
    {
        auto const state = std::make_shared<standins::plain_service>();
        auto const port = add_server(name, index,
                                     [state](net::server_request const& it)
                                     { return state->answer(it); });
        targets_.push_back(target_row(name, index, port));
    }

    static auto target_row(std::string const& service, int index,
                           std::uint16_t port) -> nlohmann::json
    {
        auto const domains = absl::GetFlag(FLAGS_domains);
        auto const place = static_cast<std::size_t>(index) % domains.size();
        return {{"id", service + "-" + std::to_string(index)},
                {"service", service},
                {"address",
                 absl::GetFlag(FLAGS_address) + ":" + std::to_string(port)},
                {"domain", domains[place]},
                {"state", "live"},
                {"incarnation", 1},
                {"adapters", nlohmann::json::array()}};
    }

    auto hosts_text() const -> std::string
    {
        auto hosts = nlohmann::json::array();
        for (auto const& flag : absl::GetFlag(FLAGS_entry_hosts))
        {
            auto const id_rest =
                std::pair<std::string, std::string>{absl::StrSplit(flag, '=')};
            auto const place = std::pair<std::string, std::string>{
                absl::StrSplit(id_rest.second, '@')};
            hosts.push_back({{"id", id_rest.first},
                             {"address", place.first},
                             {"domain", place.second}});
        }
        return nlohmann::json{
            {"version", 1}, {"targets", targets_}, {"entry_hosts", hosts}}
            .dump();
    }

    net::event_loop& loop_;
    ports ports_;
    nlohmann::json targets_ = nlohmann::json::array();
    std::vector<std::unique_ptr<standins::engine_standin>> engines_;
    std::vector<std::unique_ptr<standins::faulty_server>> servers_;
    std::unique_ptr<standins::key_value_standin> key_value_;
};

void run()
{
    net::initialise_process();
    auto loop = net::event_loop{};
    auto all = collection{loop};
    all.add_engines();
    all.add_services();
    all.add_platform();
    std::cout << "ready" << std::endl;
    auto const on_term = net::signal_watch{loop, SIGTERM,
                                           [&]
                                           {
                                               loop.stop();
                                           }};
    auto const on_int = net::signal_watch{loop, SIGINT,
                                          [&]
                                          {
                                              loop.stop();
                                          }};
    loop.run();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage(
        "runs stand-ins for tests and demonstrations, for example\n"
        "  primrosedeal_standins --engines 4 --base_port 9001");
    absl::ParseCommandLine(argc, argv);
    try
    {
        run();
    }
    catch (std::exception const& e)
    {
        std::cerr << "primrosedeal_standins: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
