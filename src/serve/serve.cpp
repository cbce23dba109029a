#include "serve/serve.hpp"

#include "core/random.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "serve/control_plane.hpp"
#include "serve/data_plane.hpp"

#include <chrono>
#include <csignal>
#include <memory>
#include <random>
#include <thread>

// Two loops on two threads. Each plane is made and destroyed on the thread
// that calls this function, while neither loop runs; in between it is only
// touched by its own loop.
namespace primrosedeal::serve
{

namespace
{

auto random_seed() -> std::uint64_t
{
    auto device = std::random_device{};
    constexpr auto half = 32U;
    return (std::uint64_t{device()} << half) | device();
}

/// Grows from start to start of a host, also when its disk is empty.
auto incarnation_now() -> incarnation
{
    auto const since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return incarnation{static_cast<std::uint64_t>(ms.count())};
}

struct host
{
    explicit host(settings::host_settings const& settings)
        : seed(random_seed()), start(incarnation_now()),
          data(data_loop, settings, start, seed, counters,
               [this](to_control it) { control_mail.send(std::move(it)); }),
          control(
              control_loop, settings, start, mix64(seed), counters,
              [this](to_data it) { data_mail.send(std::move(it)); },
              [this] { finish(0); }),
          longest_drain(settings.readiness_grace + settings.longest_drain)
    {
    }

    void run()
    {
        auto const on_term = net::signal_watch{control_loop, SIGTERM,
                                               [this]
                                               {
                                                   start_drain();
                                               }};
        auto const on_int = net::signal_watch{control_loop, SIGINT,
                                              [this]
                                              {
                                                  start_drain();
                                              }};
        auto data_thread = std::thread{[this]
                                       {
                                           data_loop.run();
                                       }};
        control_loop.run();
        data_loop.stop();
        data_thread.join();
    }

    void start_drain()
    {
        control.start_drain();
        constexpr auto not_drained = 4;
        give_up =
            control_loop.after(longest_drain, [this] { finish(not_drained); });
    }

    void finish(int code)
    {
        exit_code = code;
        control_loop.stop();
    }

    std::uint64_t seed;
    incarnation start;
    net::event_loop data_loop;
    net::event_loop control_loop;
    metrics::process_metrics counters;
    net::mailbox<to_data> data_mail{data_loop, [this](to_data const& it)
                                    {
                                        data.on_message(it);
                                    }};
    net::mailbox<to_control> control_mail{control_loop,
                                          [this](to_control const& it)
                                          {
                                              control.on_message(it);
                                          }};
    data_plane data;
    control_plane control;
    duration longest_drain;
    net::timer give_up;
    int exit_code = 0;
};

} // namespace

auto run_host(settings::host_settings const& settings) -> int
{
    auto process = std::make_unique<host>(settings);
    auto const port = process->data.listen();
    log::write(log::level::info, "serving",
               {{"host", settings.host.value()},
                {"failure_domain", settings.domain.value()},
                {"callers_port", std::to_string(port)}});
    process->run();
    log::write(log::level::info, "stopped",
               {{"exit_code", std::to_string(process->exit_code)}});
    return process->exit_code;
}

} // namespace primrosedeal::serve
