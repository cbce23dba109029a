// A sound replica of an engine whose times and starts a case sets: it streams
// events with increasing ids, goes on behind `Last-Event-Id`, answers a query
// for its report, writes its entry every `heartbeatMs`, and may be preempted in
// the middle of a stream.
#pragma once

#include "world.hpp"

namespace review
{

/// What arrived at engines.
struct stream_run
{
    std::string id, replica, version, path;
    int after = 0;
    double at = 0;
};

class stream_book
{
public:
    void add(stream_run it)
    {
        auto const lock = std::lock_guard{mutex_};
        runs_.push_back(std::move(it));
    }
    auto all() const -> std::vector<stream_run>
    {
        auto const lock = std::lock_guard{mutex_};
        return runs_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<stream_run> runs_;
};

/// Times like those of the sheets: 5 prompt tokens are read in a ms, a step
/// takes 6.17 ms and more, an event holds 5 tokens.
struct stream_times
{
    double setup_ms = 12.6;
    double tokens_per_ms = 5;
    double step_ms = 7;
    int tokens_per_event = 5;
    /// A step in progress, and the prompts of others that are read between
    /// tokens, hold a new request up for so long.
    double wait_ms = 0;
};

class stream_engine
{
public:
    stream_engine(store& to, record& book, stream_book& log, std::string ip,
                  std::string id, std::string service, std::string zone,
                  std::string version, stream_times times = {})
        : store_(to), record_(book), log_(log), ip_(std::move(ip)),
          id_(std::move(id)), service_(std::move(service)),
          zone_(std::move(zone)), version_(std::move(version)), times_(times)
    {
        start();
        heart_ = std::thread{[this] { beat(); }};
    }
    stream_engine(stream_engine const&) = delete;
    auto operator=(stream_engine const&) -> stream_engine& = delete;

    ~stream_engine()
    {
        over_ = true;
        heart_.join();
        crash();
    }

    /// The process ends: connections are reset, new ones refused. It writes
    /// nothing any more; its entry stays for three heartbeats.
    void crash()
    {
        auto const lock = std::lock_guard{life_};
        if (!server_)
        {
            return;
        }
        crashing_ = true;
        writes_ = false;
        record_.line("CRASH    of " + id_ + ' ' + version());
        server_.reset();
        crashing_ = false;
    }

    /// It starts again under its id, at its address: PROTOCOL.md, Service
    /// discovery. `version` is that of the software that is installed now. It
    /// serves, and writes its entry `entry_after_ms` later.
    void start_again(std::string version, int entry_after_ms)
    {
        {
            auto const lock = std::lock_guard{life_};
            version_ = std::move(version);
            listen();
        }
        record_.line("replica  " + id_ + " is back, " + this->version());
        pause_ms(entry_after_ms);
        auto const lock = std::lock_guard{life_};
        write();
        writes_ = true;
        record_.line("entry    of " + id_ + " names " + this->version());
    }

    auto id() const -> std::string { return id_; }
    auto version() const -> std::string { return version_; }

    /// Streams of this path prefix that it preempts once, behind this event,
    /// for so long. Set before it gets requests.
    std::string preempt_path;
    int preempt_after = 0;
    int preempt_ms = 0;

private:
    void start()
    {
        auto const lock = std::lock_guard{life_};
        listen();
        write();
        writes_ = true;
    }

    void listen()
    {
        born_ = unix_ms();
        sequence_ = 0;
        server_ = std::make_unique<server>(
            ip_, [this](int fd, message const& it) { serve(fd, it); }, port_);
        port_ = server_->port();
    }

    void write()
    {
        store_.put("servers/" + id_, json{{"service", service_},
                                          {"address", server_->endpoint()},
                                          {"zone", zone_},
                                          {"version", version_},
                                          {"slots", 64},
                                          {"state", "ready"},
                                          {"coldLeftMs", 0},
                                          {"phase", "prefill_decode"},
                                          {"born", born_},
                                          {"sequence", ++sequence_}}
                                         .dump());
    }

    void beat()
    {
        auto next = steady::now() + milliseconds{1200};
        while (!over_)
        {
            pause_ms(10);
            if (steady::now() < next)
            {
                continue;
            }
            next += milliseconds{1200};
            auto const lock = std::lock_guard{life_};
            if (writes_)
            {
                write();
            }
        }
    }

    auto wait(int fd, double ms) const -> bool
    {
        auto const until =
            steady::now() +
            std::chrono::microseconds{static_cast<std::int64_t>(ms * 1000)};
        while (steady::now() < until)
        {
            pause_ms(1);
            if (peer_gone(fd) || crashing_)
            {
                return false;
            }
        }
        return true;
    }

    static auto chunk(std::string const& text) -> std::string
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    void answer_json(int fd, json const& it) const
    {
        auto const text = it.dump();
        send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     "Content-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text);
    }

    void serve(int fd, message const& it)
    {
        if (it.second == "/-/report")
        {
            answer_json(fd, {{"phase", "prefill_decode"},
                             {"busy", false},
                             {"sequence", 1},
                             {"born", born_},
                             {"waiting", waiting_.load()},
                             {"running", running_.load()},
                             {"kvUsed", 50000},
                             {"kvTotal", 55000},
                             {"handles", 0}});
            return;
        }
        auto const id = it.header("x-attempt-id");
        auto const refuse = [&](int status)
        {
            send_all(fd, "HTTP/1.1 " + std::to_string(status) +
                             " x\r\nX-Not-Executed: 1\r\nX-Attempt-Id: " + id +
                             "\r\nX-Replica-Id: " + id_ +
                             "\r\nContent-Length: 0\r\n\r\n");
        };
        auto const expected = it.header("x-expect-replica");
        if (!expected.empty() && expected != id_)
        {
            refuse(421);
            return;
        }
        if (id.empty())
        {
            refuse(400);
            return;
        }
        if (!it.header("kv-from").empty())
        {
            refuse(503); // no copy
            return;
        }
        auto const last = std::atoi(it.header("last-event-id").c_str());
        auto const version = version_;
        log_.add({id, id_, version, it.second, last, record_.seconds()});
        ++running_;
        stream(fd, it, id, last, version);
        --running_;
    }

    void stream(int fd, message const& it, std::string const& id, int last,
                std::string const& version)
    {
        auto const usage = it.header("x-token-usage");
        auto const prompt = std::atof(usage.c_str());
        auto const output = std::atoi(usage.substr(usage.find(',') + 1).c_str());
        auto const event_ms = times_.step_ms * times_.tokens_per_event;
        // The first event is there with the last of its tokens.
        if (!wait(fd, times_.setup_ms + times_.wait_ms +
                          prompt / times_.tokens_per_ms + event_ms))
        {
            return;
        }
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "X-Attempt-Id: " +
                              id + "\r\nX-Replica-Signature: s." + id + "." +
                              id_ + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return;
        }
        auto const events = output / times_.tokens_per_event;
        auto const preempted =
            !preempt_path.empty() && it.second.rfind(preempt_path, 0) == 0;
        for (auto n = last + 1; n <= events; ++n)
        {
            auto const text = "id: " + std::to_string(n) + "\ndata: " + version +
                              " piece " + std::to_string(n) + "\n\n";
            // A reset of the process takes what it has not sent.
            if (crashing_ || !send_all(fd, chunk(text)))
            {
                return;
            }
            if (preempted && n == preempt_after)
            {
                ++waiting_;
                record_.line("preempt  " + id + " at " + id_ + " behind event " +
                             std::to_string(n));
                auto const on = wait(fd, preempt_ms);
                --waiting_;
                record_.line((on ? "goes on  " : "CLOSED   ") + id + " at " +
                             id_ + (on ? "" : ", by the gateway"));
                if (!on)
                {
                    return;
                }
            }
            if (n < events && !wait(fd, event_ms))
            {
                return;
            }
        }
        send_all(fd, "0\r\n\r\n");
    }

    store& store_;
    record& record_;
    stream_book& log_;
    std::string ip_, id_, service_, zone_, version_;
    stream_times times_;
    int port_ = 0;
    std::int64_t born_ = 0;
    int sequence_ = 0;
    bool writes_ = false;
    std::mutex life_;
    std::atomic<bool> crashing_{false}, over_{false};
    std::atomic<int> running_{0}, waiting_{0};
    std::unique_ptr<server> server_;
    std::thread heart_;
};

/// A streaming route of the configuration.
inline auto stream_route(std::string const& name, std::string const& prefix,
                         std::string const& service, bool resumable,
                         int timeout_ms = 25000) -> json
{
    return {{"name", name},           {"host", "desk.example"},
            {"pathPrefix", prefix},   {"routeKind", "streaming"},
            {"timeoutMs", timeout_ms}, {"sloMs", 4500},
            {"priority", 1},          {"service", service},
            {"maxAttempts", 5},       {"public", false},
            {"sticky", true},         {"resumable", resumable},
            {"gapSloMs", 700}};
}

inline auto engine_service(std::string const& name) -> json
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 360},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 64},
              {"kvCapacity", 55000},
              {"kvBytes", 163840},
              {"linkMbps", 280000.0},
              {"moves", false},
              {"backups", false},
              {"stride", 5},
              {"most", 12},
              {"pinMs", 4000.0},
              {"holdMs", 2000.0},
              {"handleS", 4.0},
              {"models", json::array({{{"name", "m"}}})}}}};
}

inline auto configuration(int version, json const& routes, json const& services)
    -> std::string
{
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"maxHeaderBytes", 16384},
                  {"maxBodyBytes", 4194304},
                  {"headerTimeoutMs", 3000},
                  {"idleTimeoutMs", 15000}}},
                {"tenants",
                 json::array({{{"name", "t1"},
                               {"apiKeys", json::array({"key-one"})},
                               {"priority", 1}}})}}
        .dump();
}

inline auto stream_request(std::string const& path, std::string const& id,
                           int prompt, int output, int deadline_ms,
                           std::string const& more = {}) -> std::string
{
    auto const body = "prompt of " + id;
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " +
           id + "\r\nX-Model: m\r\nX-Token-Usage: " + std::to_string(prompt) +
           ',' + std::to_string(output) + "\r\nX-Prefix-Hash: 5c1e07a2:" +
           std::to_string(std::min(200, prompt / 2)) + ",p" + id + ':' +
           std::to_string(prompt - std::min(200, prompt / 2)) +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer key-one\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Waits until all gateways count as ready.
inline auto wait_until_ready(std::vector<std::unique_ptr<gateway>> const& all)
    -> bool
{
    for (auto i = 0; i < 100; ++i)
    {
        if (std::all_of(all.begin(), all.end(),
                        [](auto const& it) { return it->ready(); }))
        {
            return true;
        }
        pause_ms(100);
    }
    return false;
}

/// Gateways in the zones z-a, z-b, z-c in turn.
inline auto start_gateways(std::string const& program, std::string const& folder,
                           std::string const& store_endpoint, int count)
    -> std::vector<std::unique_ptr<gateway>>
{
    static char const* const zones[] = {"z-a", "z-b", "z-c"};
    // Ports are the same on all machines of a day.
    auto const ports = choose_ports(own_ip(100));
    auto seeds = std::vector<std::string>{};
    for (auto i = 0; i < count; ++i)
    {
        seeds.push_back(own_ip(100 + i) + ':' + std::to_string(ports.control));
    }
    auto out = std::vector<std::unique_ptr<gateway>>{};
    for (auto i = 0; i < count; ++i)
    {
        out.push_back(std::make_unique<gateway>(
            program, folder, "edge-" + std::to_string(i + 1), zones[i % 3],
            own_ip(100 + i), ports, store_endpoint, seeds));
    }
    return out;
}

} // namespace review
