#pragma once

#include "configuration/yaml.hpp"
#include "net/http_client.hpp"
#include "serve/data_plane.hpp"
#include "standins/engine_standin.hpp"
#include "standins/token_model.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// An entry host's data plane before stand-in engines on one loop, and a
/// caller, for the tests of `serve`.
namespace primrosedeal::serve
{

constexpr auto fixture_configuration = R"(
revision: 1
failure_domains: [a]
defaults:
  generation:
    resume_side: resources
    silence_floor: 100ms
    silence_ceiling: 300ms
    max_engine_failures: 3
    default_deadline: 10s
    max_prompt_tokens: 1000
    max_output_tokens: 1000
  admission:
    organisation_concurrency: 8
    organisation_tokens_per_second: 100000
services:
  fitting:
    kind: engine
  order:
    kind: plain
    orders: [/orders]
models:
  fitting:
    service: fitting
    version: "1"
organisations:
  shop:
    keys: ["4e7762c1d45b483cc91823d871bf9f50a0d084147bb9b33a56444f8e616f003b"]
)";

/// The bearer key whose hash stands in `fixture_configuration`.
constexpr auto fixture_key = "key-of-aid-relief";

/// What a caller of a stream has seen so far.
struct caller_view
{
    int status = 0;
    std::string raw;
    std::vector<token_id> tokens;
    std::string text;
    std::string version;
    std::uint64_t seed = 0;
    std::optional<nlohmann::json> end;
    bool out_of_order = false;
    bool broken = false;
    bool closed = false;
};

/// Joins the events of one stream; keeps `tokens` over several streams.
class stream_reader
{
public:
    explicit stream_reader(caller_view& to) : to_(to) {}

    void feed(std::string_view bytes)
    {
        to_.raw.append(bytes);
        buffer_.append(bytes);
        for (auto end = buffer_.find("\n\n"); end != std::string::npos;
             end = buffer_.find("\n\n"))
        {
            on_event(buffer_.substr(0, end));
            buffer_.erase(0, end + 2);
        }
    }

private:
    static auto field(std::string const& event, std::string const& name)
        -> std::string
    {
        auto const at = event.find(name + ": ");
        if (at == std::string::npos)
        {
            return {};
        }
        auto const from = at + name.size() + 2;
        return event.substr(from, event.find('\n', from) - from);
    }

    void on_event(std::string const& event)
    {
        auto const kind = field(event, "event");
        auto const data = nlohmann::json::parse(field(event, "data"));
        if (kind == "start")
        {
            to_.version = data.at("version").get<std::string>();
            to_.seed = data.at("seed").get<std::uint64_t>();
            return;
        }
        if (kind == "end")
        {
            to_.end = data;
            return;
        }
        to_.out_of_order |=
            std::stoull(field(event, "id")) != to_.tokens.size();
        for (auto const& it : data.at("tokens"))
        {
            to_.tokens.emplace_back(it.get<std::uint32_t>());
        }
        to_.text += data.at("text").get<std::string>();
    }

    caller_view& to_;
    std::string buffer_;
};

struct serving_fixture
{
    net::event_loop loop;
    std::vector<std::unique_ptr<standins::engine_standin>> engines;
    std::vector<net::endpoint> engine_addresses;
    metrics::process_metrics counters;
    std::vector<to_control> sent_to_control;
    std::unique_ptr<data_plane> host;
    net::endpoint host_at{"127.0.0.1", 0};
    std::unique_ptr<net::http_call> call;
    std::unique_ptr<stream_reader> reader;
    net::timer poll;

    explicit serving_fixture(std::size_t engine_count = 3)
    {
        for (auto i = std::size_t{0}; i < engine_count; ++i)
        {
            add_engine();
        }
        host = make_host(1);
        host_at.port = host->listen();
        tell_host(*host);
    }

    void add_engine()
    {
        auto settings = standins::engine_settings{};
        settings.token_gap = 4ms;
        auto loaded = standins::loaded_model{};
        loaded.model = model_id{"fitting"};
        loaded.version = model_version{"1"};
        settings.models = {loaded};
        engines.push_back(
            std::make_unique<standins::engine_standin>(loop, settings));
        auto const port = engines.back()->listen({"127.0.0.1", 0});
        engine_addresses.push_back({"127.0.0.1", port});
    }

    static auto make_settings(std::uint64_t number) -> settings::host_settings
    {
        auto it = settings::host_settings{};
        it.host = host_id{"h" + std::to_string(number)};
        it.domain = domain_id{"a"};
        it.listen_callers = {"127.0.0.1", 0};
        it.listen_peers = {"127.0.0.1", 0};
        it.peer_secret = "peers";
        it.max_body_bytes = std::size_t{1} << 20U;
        it.max_header_bytes = std::size_t{8} << 10U;
        it.max_open_requests = 100;
        it.caller_buffer_bytes = std::size_t{64} << 10U;
        it.receive_timeout = 10s;
        it.send_timeout = 10s;
        it.readiness_grace = 20ms;
        return it;
    }

    auto make_host(std::uint64_t number) -> std::unique_ptr<data_plane>
    {
        return std::make_unique<data_plane>(
            loop, make_settings(number), incarnation{number}, number, counters,
            [this](to_control it)
            { sent_to_control.push_back(std::move(it)); });
    }

    void tell_host(data_plane& to)
    {
        auto view = std::make_shared<configuration_view>();
        view->document =
            configuration::read_yaml(fixture_configuration, "fixture");
        view->keys = configuration::key_index{view->document};
        to.on_message(configuration_changed{std::move(view)});
        auto targets = std::make_shared<target_view>();
        for (auto i = std::size_t{0}; i < engines.size(); ++i)
        {
            auto it = target_entry{};
            it.what.id = target_id{"e" + std::to_string(i)};
            it.what.domain = domain_id{"a"};
            it.what.slots = 16;
            it.what.models = {{model_id{"fitting"}, model_version{"1"}, {}}};
            it.service = service_id{"fitting"};
            it.at = engine_addresses[i];
            targets->targets.push_back(it);
        }
        to.on_message(targets_changed{std::move(targets)});
    }

    static auto body(std::uint64_t max_tokens) -> nlohmann::json
    {
        return {{"model", "fitting"},
                {"prompt", {1, 2, 3, 4}},
                {"seed", 7},
                {"max_tokens", max_tokens},
                {"stream", true}};
    }

    static auto reference(std::uint64_t max_tokens) -> standins::whole_answer
    {
        auto it = standins::generation_request{};
        it.model = model_id{"fitting"};
        it.version = model_version{"1"};
        it.prompt = {token_id{1}, token_id{2}, token_id{3}, token_id{4}};
        it.seed = 7;
        it.max_tokens = max_tokens;
        return standins::reference_answer(it);
    }

    void ask(net::endpoint const& at, nlohmann::json const& what,
             caller_view& to, std::string const& key = fixture_key)
    {
        auto request = net::http_request{};
        request.method = net::http_method::post;
        request.path = "/v1/completions";
        request.headers = {{"Authorization", "Bearer " + key}};
        request.body = what.dump();
        reader = std::make_unique<stream_reader>(to);
        auto events = net::http_events{};
        events.on_status = [&to](int status)
        {
            to.status = status;
        };
        events.on_body = [this, &to](std::string_view bytes)
        {
            if (to.status == 200)
            {
                reader->feed(bytes);
                return;
            }
            to.raw.append(bytes);
        };
        events.on_end = [&to](int)
        {
            to.closed = true;
        };
        events.on_error = [&to](net::call_error)
        {
            to.broken = true;
            to.closed = true;
        };
        call = net::start_call(loop, at, request, std::move(events));
    }

    /// Runs the loop until `done()`; the guard only ends a broken run.
    void run_until(std::function<bool()> const& done)
    {
        std::function<void()> look = [&]
        {
            if (done())
            {
                loop.stop();
                return;
            }
            poll = loop.after(1ms, look);
        };
        look();
        auto const guard = loop.after(30s, [this] { loop.stop(); });
        loop.run();
        poll.cancel();
    }

    /// Sets `what` at the engine that has generated most so far.
    void fault_busiest(standins::fault what,
                       std::optional<duration> lasting = std::nullopt)
    {
        auto* busiest = engines.front().get();
        for (auto const& it : engines)
        {
            if (it->totals().tokens > busiest->totals().tokens)
            {
                busiest = it.get();
            }
        }
        busiest->set_fault({what, lasting});
    }
};

} // namespace primrosedeal::serve
