// A sound replica of an engine: it streams events with increasing ids, goes on
// behind `Last-Event-Id`, and answers a query for its report.
#pragma once

#include "world.hpp"

#include <cmath>

namespace review
{

/// Times like those of the sheets: 5 prompt tokens are read in a ms, a step
/// takes some ms, an event of a stream holds 5 tokens.
struct engine_times
{
    double setup_ms = 25;
    double tokens_per_ms = 5;
    double event_ms = 30;
    int tokens_per_event = 5;
};

inline auto event_text(std::string const& stream, int n) -> std::string
{
    return "id: " + std::to_string(n) + "\ndata: " + stream + " piece " +
           std::to_string(n) + "\n\n";
}

struct arrival
{
    std::string id, replica, prefix;
    double at = 0;
};

/// All that arrived at engines, and when they crashed.
class engine_book
{
public:
    void arrived(arrival it)
    {
        auto const lock = std::lock_guard{mutex_};
        arrivals_.push_back(std::move(it));
    }
    void crashed(double at)
    {
        auto const lock = std::lock_guard{mutex_};
        crashes_.push_back(at);
    }
    auto arrivals() const -> std::vector<arrival>
    {
        auto const lock = std::lock_guard{mutex_};
        return arrivals_;
    }
    auto crashes() const -> std::vector<double>
    {
        auto const lock = std::lock_guard{mutex_};
        return crashes_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::vector<double> crashes_;
};

class engine
{
public:
    engine(store& to, record& book, engine_book& log, std::string ip,
           std::string name, std::string service, std::string zone,
           std::string version = "v1")
        : store_(to), record_(book), log_(log), ip_(std::move(ip)),
          name_(std::move(name)), service_(std::move(service)),
          zone_(std::move(zone)), version_(std::move(version))
    {
        start();
        keeper_ = std::thread{[this] { keep(); }};
    }

    ~engine()
    {
        over_ = true;
        keeper_.join();
        if (server_)
        {
            server_->stop();
        }
    }

    /// A part of a prompt that crashes it as it begins to write an answer on
    /// it. Set before it gets requests.
    std::string poison_part;

private:
    void start()
    {
        id_ = name_ + "-" + std::to_string(++starts_);
        crashing_ = false;
        auto const born = unix_ms();
        server_ = std::make_unique<server>(
            ip_, [this](int fd, message const& it) { serve(fd, it); });
        store_.put("servers/" + id_, json{{"service", service_},
                                          {"address", server_->endpoint()},
                                          {"zone", zone_},
                                          {"version", version_},
                                          {"slots", 64},
                                          {"state", "ready"},
                                          {"coldLeftMs", 0},
                                          {"phase", "prefill_decode"},
                                          {"born", born},
                                          {"sequence", 1}}
                                         .dump());
    }

    /// A crash: its entry goes after three heartbeats of silence, and a new
    /// process with an id of its own is there some seconds later.
    void keep()
    {
        while (!over_)
        {
            pause_ms(2);
            if (!crashing_)
            {
                continue;
            }
            log_.crashed(record_.seconds());
            record_.line("CRASH    of " + id_);
            server_.reset();
            pause_ms(3600);
            store_.remove("servers/" + id_);
            pause_ms(400);
            start();
            record_.line("replica  " + id_ + " is there");
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

    void serve(int fd, message const& it)
    {
        if (it.second == "/-/report")
        {
            auto const text =
                json{{"phase", "prefill_decode"}, {"busy", false},
                     {"sequence", 1},             {"waiting", 0},
                     {"running", 1},              {"kvUsed", 1000},
                     {"kvTotal", 55000},          {"handles", 0}}
                    .dump();
            send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                             std::to_string(text.size()) + "\r\n\r\n" + text);
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
        auto const prefix = it.header("x-prefix-hash");
        log_.arrived({id, id_, prefix, record_.seconds()});
        auto const usage = it.header("x-token-usage");
        auto const prompt = std::atof(usage.c_str());
        auto const output = std::atoi(usage.substr(usage.find(',') + 1).c_str());
        auto const last = std::atoi(it.header("last-event-id").c_str());
        if (!wait(fd, times_.setup_ms + prompt / times_.tokens_per_ms))
        {
            return;
        }
        if (!poison_part.empty() && prefix.find(poison_part) != std::string::npos)
        {
            crashing_ = true;
            while (!peer_gone(fd))
            {
                pause_ms(1);
            }
            return;
        }
        auto const events = output / times_.tokens_per_event;
        if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "X-Attempt-Id: " +
                              id + "\r\nX-Replica-Signature: s." + id + "." +
                              id_ + "\r\nTransfer-Encoding: chunked\r\n\r\n"))
        {
            return;
        }
        for (auto n = last + 1; n <= events; ++n)
        {
            if (!send_all(fd, chunk(event_text(it.second, n))) ||
                !wait(fd, times_.event_ms))
            {
                return;
            }
        }
        send_all(fd, "0\r\n\r\n");
    }

    store& store_;
    record& record_;
    engine_book& log_;
    std::string ip_, name_, service_, zone_, version_, id_;
    engine_times times_;
    int starts_ = 0;
    std::atomic<bool> crashing_{false}, over_{false};
    std::unique_ptr<server> server_;
    std::thread keeper_;
};

} // namespace review
