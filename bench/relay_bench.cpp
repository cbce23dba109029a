#include "configuration/yaml.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "serve/data_plane.hpp"
#include "standins/engine_standin.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

// Relayed tokens per CPU second through an entry host's data plane, beside a
// pass-through that copies the engines' bytes, over the same engines in the
// same run. Engines, relay and callers have a thread each; only the relay
// thread's CPU time counts. Rounds alternate, so that a busy machine disturbs
// both alike.
namespace
{

using namespace primrosedeal;

constexpr auto engine_count = std::size_t{4};
constexpr auto stream_count = std::size_t{64};
constexpr auto tokens_per_stream = std::uint64_t{400};
constexpr auto rounds = 5;
constexpr auto key = "key-of-aid-relief";

constexpr auto configuration_text = R"(
revision: 1
failure_domains: [a]
defaults:
  generation:
    resume_side: resources
    silence_floor: 1s
    silence_ceiling: 2s
    max_engine_failures: 3
    default_deadline: 60s
    max_prompt_tokens: 1000
    max_output_tokens: 1000
  admission:
    organisation_concurrency: 1000
    organisation_tokens_per_second: 10000000
services:
  fitting:
    kind: engine
models:
  fitting:
    service: fitting
    version: "1"
organisations:
  shop:
    keys: ["4e7762c1d45b483cc91823d871bf9f50a0d084147bb9b33a56444f8e616f003b"]
)";

/// A loop on a thread of its own.
class loop_thread
{
public:
    loop_thread() : thread_([this] { loop.run(); }) {}

    loop_thread(loop_thread const&) = delete;
    auto operator=(loop_thread const&) -> loop_thread& = delete;

    ~loop_thread()
    {
        loop.stop();
        thread_.join();
    }

    /// Runs `work` on the thread and waits for it.
    void run(std::function<void()> const& work)
    {
        auto done = std::promise<void>{};
        loop.post(
            [&]
            {
                work();
                done.set_value();
            });
        done.get_future().wait();
    }

    /// CPU time the thread has used, in seconds.
    auto cpu_seconds() -> double
    {
        auto seconds = 0.0;
        run(
            [&]
            {
                auto ts = timespec{};
                clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
                constexpr auto per_nanosecond = 1e-9;
                seconds = static_cast<double>(ts.tv_sec) +
                          static_cast<double>(ts.tv_nsec) * per_nanosecond;
            });
        return seconds;
    }

    net::event_loop loop;

private:
    std::thread thread_;
};

auto engine_settings() -> standins::engine_settings
{
    auto it = standins::engine_settings{};
    it.token_gap = 5ms;
    it.prefill_per_1000 = 0ms;
    it.slots = stream_count;
    it.models = {{model_id{"fitting"}, model_version{"1"}, {}, {}}};
    return it;
}

/// Copies what the engines send, byte for byte.
class pass_through
{
public:
    pass_through(net::event_loop& loop, std::vector<net::endpoint> engines)
        : loop_(loop), engines_(std::move(engines)),
          server_(loop, {},
                  [this](net::server_request const& it,
                         std::shared_ptr<net::responder> const& to)
                  { relay(it, to); })
    {
    }

    auto listen() -> std::uint16_t
    {
        return server_.listen({"127.0.0.1", 0});
    }

private:
    void relay(net::server_request const& it,
               std::shared_ptr<net::responder> const& to)
    {
        auto events = net::http_events{};
        events.on_status = [to](int status)
        {
            to->start_stream(status, {{"Content-Type", "text/event-stream"}});
        };
        events.on_body = [to](std::string_view bytes)
        {
            to->send(bytes);
        };
        events.on_end = [to](int)
        {
            to->finish();
        };
        events.on_error = [to](net::call_error)
        {
            to->abort();
        };
        auto const& at = engines_[next_++ % engines_.size()];
        calls_.push_back(net::start_call(
            loop_, at, {net::http_method::post, "/generate", {}, it.body},
            std::move(events)));
    }

    net::event_loop& loop_;
    std::vector<net::endpoint> engines_;
    std::size_t next_ = 0;
    std::vector<std::unique_ptr<net::http_call>> calls_;
    net::http_server server_;
};

auto host_settings() -> settings::host_settings
{
    auto it = settings::host_settings{};
    it.host = host_id{"h1"};
    it.domain = domain_id{"a"};
    it.listen_callers = {"127.0.0.1", 0};
    it.max_body_bytes = std::size_t{1} << 20U;
    it.max_header_bytes = std::size_t{8} << 10U;
    it.max_open_requests = 1000;
    it.caller_buffer_bytes = std::size_t{256} << 10U;
    it.receive_timeout = 60s;
    it.send_timeout = 60s;
    return it;
}

void tell(serve::data_plane& to, std::vector<net::endpoint> const& engines)
{
    auto view = std::make_shared<serve::configuration_view>();
    view->document = configuration::read_yaml(configuration_text, "bench");
    view->keys = configuration::key_index{view->document};
    to.on_message(serve::configuration_changed{std::move(view)});
    auto targets = std::make_shared<serve::target_view>();
    for (auto i = std::size_t{0}; i < engines.size(); ++i)
    {
        auto it = serve::target_entry{};
        it.what.id = target_id{"e" + std::to_string(i)};
        it.what.domain = domain_id{"a"};
        it.what.slots = stream_count;
        it.what.models = {{model_id{"fitting"}, model_version{"1"}, {}}};
        it.service = service_id{"fitting"};
        it.at = engines[i];
        targets->targets.push_back(std::move(it));
    }
    to.on_message(serve::targets_changed{std::move(targets)});
}

auto request_of(std::string const& path, std::size_t stream)
    -> net::http_request
{
    auto body = nlohmann::json{{"model", "fitting"},
                               {"version", "1"},
                               {"prompt", {stream, 2, 3}},
                               {"seed", stream},
                               {"max_tokens", tokens_per_stream}};
    if (path == "/generate")
    {
        body["request"] = "r" + std::to_string(stream);
        body["attempt"] = 1;
    }
    else
    {
        body["stream"] = true;
    }
    return {net::http_method::post,
            path,
            {{"Authorization", std::string{"Bearer "} + key}},
            body.dump()};
}

/// Asks for all streams at once and waits until each has ended; returns how
/// many ended whole.
auto run_streams(loop_thread& callers, net::endpoint const& at,
                 std::string const& path) -> std::size_t
{
    auto calls = std::vector<std::unique_ptr<net::http_call>>{};
    auto over = std::size_t{0};
    auto whole = std::size_t{0};
    auto done = std::promise<void>{};
    auto const on_over = [&](bool ended_well)
    {
        whole += ended_well ? 1 : 0;
        if (++over == stream_count)
        {
            done.set_value();
        }
    };
    callers.run(
        [&]
        {
            for (auto i = std::size_t{0}; i < stream_count; ++i)
            {
                auto events = net::http_events{};
                events.on_end = [&](int status)
                {
                    on_over(status == 200);
                };
                events.on_error = [&](net::call_error)
                {
                    on_over(false);
                };
                calls.push_back(net::start_call(
                    callers.loop, at, request_of(path, i), std::move(events)));
            }
        });
    done.get_future().wait();
    callers.run([&] { calls.clear(); });
    return whole;
}

struct measured
{
    /// Tokens per CPU second of the relay's thread, one a round.
    std::vector<double> rates;
    std::size_t whole = 0;
};

void measure(loop_thread& relay, loop_thread& callers, net::endpoint const& at,
             std::string const& path, measured& into)
{
    auto const before = relay.cpu_seconds();
    into.whole += run_streams(callers, at, path);
    auto const used = relay.cpu_seconds() - before;
    into.rates.push_back(static_cast<double>(stream_count * tokens_per_stream) /
                         used);
}

auto median(std::vector<double> it) -> double
{
    std::sort(it.begin(), it.end());
    return it[it.size() / 2];
}

auto run() -> int
{
    auto engine_loop = loop_thread{};
    auto plain_loop = loop_thread{};
    auto entry_loop = loop_thread{};
    auto callers = loop_thread{};
    auto engines = std::vector<std::unique_ptr<standins::engine_standin>>{};
    auto addresses = std::vector<net::endpoint>{};
    engine_loop.run(
        [&]
        {
            for (auto i = std::size_t{0}; i < engine_count; ++i)
            {
                engines.push_back(std::make_unique<standins::engine_standin>(
                    engine_loop.loop, engine_settings()));
                auto const port = engines.back()->listen({"127.0.0.1", 0});
                addresses.push_back({"127.0.0.1", port});
            }
        });
    auto plain = std::unique_ptr<pass_through>{};
    auto plain_at = net::endpoint{"127.0.0.1", 0};
    plain_loop.run(
        [&]
        {
            plain = std::make_unique<pass_through>(plain_loop.loop, addresses);
            plain_at.port = plain->listen();
        });
    auto counters = metrics::process_metrics{};
    auto entry = std::unique_ptr<serve::data_plane>{};
    auto entry_at = net::endpoint{"127.0.0.1", 0};
    entry_loop.run(
        [&]
        {
            entry = std::make_unique<serve::data_plane>(
                entry_loop.loop, host_settings(), incarnation{1}, 1, counters,
                [](serve::to_control const&) {});
            entry_at.port = entry->listen();
            tell(*entry, addresses);
        });
    auto through = measured{};
    auto relayed = measured{};
    for (auto i = 0; i < rounds; ++i)
    {
        measure(plain_loop, callers, plain_at, "/generate", through);
        measure(entry_loop, callers, entry_at, "/v1/completions", relayed);
    }
    auto const plain_rate = median(through.rates);
    auto const entry_rate = median(relayed.rates);
    std::printf("%zu streams of %zu tokens, %d rounds, medians\n", stream_count,
                static_cast<std::size_t>(tokens_per_stream), rounds);
    std::printf("pass-through: %.0f tokens per CPU second, %zu of %zu whole\n",
                plain_rate, through.whole, rounds * stream_count);
    std::printf("entry host:   %.0f tokens per CPU second, %zu of %zu whole\n",
                entry_rate, relayed.whole, rounds * stream_count);
    std::printf("ratio: %.2f (goal: at most 1.5)\n", plain_rate / entry_rate);
    entry_loop.run([&] { entry.reset(); });
    plain_loop.run([&] { plain.reset(); });
    engine_loop.run([&] { engines.clear(); });
    auto const all = rounds * stream_count;
    return through.whole == all && relayed.whole == all ? 0 : 1;
}

} // namespace

auto main() -> int
{
    primrosedeal::net::initialise_process();
    return run();
}
