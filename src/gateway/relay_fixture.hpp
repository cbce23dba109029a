#pragma once

#include "gateway/relay.hpp"
#include "platform/names.hpp"
#include "platform/protocol.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

/// Test support: requests of one host at scripted targets over loopback.
namespace primrosedeal::gateway
{

/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};

inline auto const service = service_id{"s"};
inline auto const other_service = service_id{"other"};

inline auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

inline auto answer_of(std::string const& events, standins::answer_end end)
    -> standins::raw_answer
{
    return {"HTTP/1.1 200 OK\r\n" + std::string{platform::names::signature} +
                ": sig\r\n\r\n" + events,
            {},
            0,
            end};
}

/// What one client saw.
struct client_view
{
    std::string body;
    std::optional<http1::response_head> reply;
    bool started = false;
    bool finished = false;
    bool aborted = false;

    [[nodiscard]] auto over() const -> bool
    {
        return reply || finished || aborted;
    }
};

class recorded_exchange : public http1::exchange
{
public:
    explicit recorded_exchange(client_view& it) : to_(it) {}

    void reply(http1::response_head const& head, std::string_view body,
               bool /*close*/) override
    {
        to_.reply = head;
        to_.body = body;
    }

    void start(http1::response_head const& /*head*/) override
    {
        to_.started = true;
    }

    void send(std::string_view bytes) override
    {
        to_.body += bytes;
    }

    void finish() override
    {
        to_.finished = true;
    }

    void abort() override
    {
        to_.aborted = true;
    }

    void on_gone(std::function<void(http1::client_loss)> /*work*/) override {}

private:
    client_view& to_;
};

struct one_host
{
    one_host()
    {
        auto it = routes::configuration{};
        auto streams = routes::route{};
        streams.host = "h";
        streams.path_prefix = "/stream/";
        streams.kind = routes::request_kind::streaming;
        streams.resumable = true;
        streams.timeout = patience;
        streams.objective = 200ms;
        streams.max_attempts = 4;
        streams.split = {{service, 1}};
        auto calls = streams;
        calls.path_prefix = "/call/";
        calls.kind = routes::request_kind::non_idempotent;
        calls.resumable = false;
        auto fixed = streams;
        fixed.path_prefix = "/fixed/";
        fixed.resumable = false;
        auto lookups = calls;
        lookups.path_prefix = "/look/";
        lookups.kind = routes::request_kind::idempotent;
        auto split = streams;
        split.path_prefix = "/split/";
        split.split = {{service, 1}, {other_service, 1000}};
        it.routes = {streams, calls, fixed, lookups, split};
        it.services = {{service, "/health/", 100, {}},
                       {other_service, "/health/", 100, {}}};
        host.table = std::make_shared<routes::route_table>(std::move(it));
        host.list_is_current = true;
        host.read_versions =
            [this](service_id const& of, stream_origin::record_handler done)
        {
            loop.post(
                [this, of, done = std::move(done)]
                {
                    auto records = host.served_versions.all_recorded();
                    records[of] = stored.value_or(records[of]);
                    done(records);
                });
        };
    }

    void list(std::string const& id, std::string const& domain,
              std::uint16_t port, software_version const& version = {},
              service_id const& of = service)
    {
        auto it = directory::listed_target{};
        it.id = target_id{id};
        it.service = of;
        it.address = {"127.0.0.1", port};
        it.domain = domain_id{domain};
        it.version = version;
        it.slots = 64;
        host.targets.handle(directory::entry_written{it.id, it},
                            net::event_loop::now());
        auto recorded = host.served_versions.recorded(of);
        recorded.insert(version);
        host.served_versions.apply(of, recorded);
    }

    void send(std::string const& path, client_view& client,
              http1::header_list const& more = {},
              std::string_view body = "prompt")
    {
        auto it = http1::request{
            "POST",
            path,
            {{"Host", "h"}, {std::string{platform::names::request_id}, "r"}},
            body,
            true};
        it.headers.insert(it.headers.end(), more.begin(), more.end());
        relay::start(host, std::move(it),
                     std::make_shared<recorded_exchange>(client),
                     net::event_loop::now());
    }

    template <class Done>
    void run_until(Done const& done)
    {
        auto const end = net::event_loop::now() + patience;
        while (!done() && net::event_loop::now() < end)
        {
            auto const tick = loop.after(5ms, [] {});
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        BOOST_REQUIRE(done());
    }

    /// Value of the metric with this name and labels; 0 if it has none yet.
    [[nodiscard]] auto metric(std::string const& name) const -> double
    {
        auto const text = host.metrics.text();
        auto const at = text.find('\n' + name + ' ');
        return at == std::string::npos
                   ? 0
                   : std::stod(text.substr(at + name.size() + 2));
    }

    [[nodiscard]] auto connect_failures() const -> double
    {
        return metric("gateway_attempt_failures_total{how=\"not_connected\"}");
    }

    /// What the store has recorded, if the host does not know it.
    std::optional<stream_origin::version_set> stored;
    bool initialised = (net::initialise_process(), true);
    net::event_loop loop;
    platform::wire_protocol wire;
    host_state host{loop, wire, {}, 1};
};

} // namespace primrosedeal::gateway
