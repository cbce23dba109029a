#include "net/event_loop.hpp"
#include "standins/engine_standin.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <memory>
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

void run()
{
    net::initialise_process();
    auto loop = net::event_loop{};
    auto free_ports = ports{};
    auto engines = std::vector<std::unique_ptr<standins::engine_standin>>{};
    for (auto i = 0; i < absl::GetFlag(FLAGS_engines); ++i)
    {
        auto it = std::make_unique<standins::engine_standin>(
            loop, engine_settings_from_flags());
        print_port("engine", i, it->listen(free_ports.next()));
        engines.push_back(std::move(it));
    }
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
