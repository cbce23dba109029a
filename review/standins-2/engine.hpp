#pragma once

// Model replicas that stream, and clients of streams.

#include "world.hpp"

namespace review
{

/// What one attempt of a stream was at its replica.
struct stream_run
{
    std::string id;
    std::string replica;
    steady::time_point at{};
};

/// A replica of an engine. Each event says its number, and which replica and
/// software version made it. It drops a run when its connection closes. A run
/// whose prompt has the part `crash_part` crashes it as the answer begins.
class engine
{
public:
    struct traits
    {
        std::string service;
        std::string zone;
        std::string version = "v1";
        int events = 100;
        ms gap = 100ms;
        ms prefill = 150ms;
        std::string crash_part;
    };

    engine(record& log, store& platform, std::string id, traits its,
           std::string const& ip = "127.0.0.1")
        : log_(log), store_(platform), id_(std::move(id)),
          traits_(std::move(its)),
          born_(std::chrono::duration_cast<ms>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
          listener_(ip, [this](connection& it) { serve(it); })
    {
    }

    ~engine()
    {
        ending_ = true;
        listener_.stop();
    }

    void register_here()
    {
        store_.put("servers/" + id_,
                   "{\"service\":\"" + traits_.service + "\",\"address\":\"" +
                       listener_.at().text() + "\",\"zone\":\"" + traits_.zone +
                       "\",\"version\":\"" + traits_.version +
                       "\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
                       "\"phase\":\"prefill_decode\",\"models\":[{\"name\":"
                       "\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,"
                       "\"born\":" +
                       std::to_string(born_) + '}');
    }

    /// Ends at once: connections are reset, nothing is said to the store.
    void crash()
    {
        if (!crashed_.exchange(true))
        {
            log_.line("replica " + id_ + " crashes");
            ending_ = true;
            listener_.stop();
        }
    }

    [[nodiscard]] auto crashed() const -> bool
    {
        return crashed_ || wants_crash_;
    }

    /// A run has asked for the crash; the owner carries it out.
    [[nodiscard]] auto wants_crash() const -> bool
    {
        return wants_crash_ && !crashed_;
    }

    [[nodiscard]] auto id() const -> std::string const&
    {
        return id_;
    }

    [[nodiscard]] auto runs() const -> std::vector<stream_run>
    {
        auto const lock = std::lock_guard{mutex_};
        return runs_;
    }

private:
    void serve(connection& it)
    {
        auto request = message{};
        while (it.read_request(request))
        {
            if (request.target.starts_with("/-/report"))
            {
                auto const body = std::string{
                    "{\"phase\":\"prefill_decode\",\"models\":[{\"name\":"
                    "\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                    "\"sequence\":1,\"waiting\":0,\"running\":1,\"kvUsed\":1,"
                    "\"kvTotal\":55000,\"handles\":0}"};
                it.write("HTTP/1.1 200 OK\r\nContent-Type: "
                         "application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body);
                request = message{};
                continue;
            }
            auto const expected = request.get("X-Expect-Replica");
            if (expected && *expected != id_)
            {
                it.write("HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: " +
                         id_ + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (request.get("Kv-From"))
            {
                // No copy exists.
                it.write("HTTP/1.1 503 No Copy\r\nX-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
                return;
            }
            run(it, request);
            return;
        }
    }

    void run(connection& to, message const& request)
    {
        auto const id = request.get("X-Attempt-Id").value_or("");
        auto const after =
            std::atoi(request.get("Last-Event-Id").value_or("0").c_str());
        {
            auto const lock = std::lock_guard{mutex_};
            runs_.push_back({id, id_, steady::now()});
        }
        log_.line("replica " + id_ + " (" + traits_.version + ") runs " + id +
                  " after event " + std::to_string(after));
        std::this_thread::sleep_for(traits_.prefill);
        auto const parts = request.get("X-Prefix-Hash").value_or("");
        if (!traits_.crash_part.empty() &&
            parts.find(traits_.crash_part + ':') != std::string::npos)
        {
            log_.line("replica " + id_ + " is crashed by " + id);
            wants_crash_ = true;
            // As the end of a process: nothing listens any more.
            listener_.refuse();
            to.reset();
            return;
        }
        if (to.gone() || ending_ || wants_crash_ ||
            !to.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                      "\r\nX-Replica-Signature: " + id_ +
                      ".1\r\nX-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"))
        {
            return;
        }
        for (auto n = after + 1; n <= traits_.events; ++n)
        {
            auto const event = "id: " + std::to_string(n) + "\ndata: " +
                               traits_.version + ' ' + id_ + ' ' +
                               std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (to.gone() || ending_ || wants_crash_ ||
                !to.write(size + event + "\r\n"))
            {
                return;
            }
            std::this_thread::sleep_for(traits_.gap);
        }
        to.write("0\r\n\r\n");
    }

    record& log_;
    store& store_;
    std::string id_;
    traits traits_;
    std::int64_t born_;
    std::atomic<bool> ending_{false};
    std::atomic<bool> crashed_{false};
    std::atomic<bool> wants_crash_{false};
    mutable std::mutex mutex_;
    std::vector<stream_run> runs_;
    listener listener_;
};

/// One client attempt of a stream: the events that came.
struct stream_attempt
{
    int status = 0;
    bool complete = false;
    /// The last event's number; zero: none.
    int last = 0;
    /// Versions of the events, by the replicas.
    std::set<std::string> versions;
    std::optional<double> retry_after;
};

/// Reads events as they come, until the end of the answer.
inline auto read_stream(connection& from, std::string_view request)
    -> stream_attempt
{
    auto out = stream_attempt{};
    if (!from.write(request))
    {
        return out;
    }
    auto in = std::string{};
    auto body = std::string{};
    auto in_body = false;
    char bytes[8192];
    auto const events = [&]
    {
        for (auto end = body.find("\n\n"); end != std::string::npos;
             end = body.find("\n\n"))
        {
            auto const event = body.substr(0, end);
            body.erase(0, end + 2);
            auto const id = event.find("id: ");
            auto const data = event.find("data: ");
            if (id == std::string::npos || data == std::string::npos)
            {
                continue;
            }
            out.last = std::atoi(event.c_str() + id + 4);
            auto const version = event.substr(data + 6);
            out.versions.insert(version.substr(0, version.find(' ')));
        }
    };
    for (;;)
    {
        auto const n = ::recv(from.fd(), bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            return out;
        }
        in.append(bytes, static_cast<std::size_t>(n));
        if (!in_body)
        {
            auto const end = in.find("\r\n\r\n");
            if (end == std::string::npos)
            {
                continue;
            }
            out.status = std::atoi(in.c_str() + 9);
            auto const retry = in.find("Retry-After: ");
            if (retry != std::string::npos && retry < end)
            {
                out.retry_after = std::atof(in.c_str() + retry + 13);
            }
            in.erase(0, end + 4);
            in_body = true;
            if (out.status != 200)
            {
                return out;
            }
        }
        for (;;)
        {
            auto const line = in.find("\r\n");
            if (line == std::string::npos)
            {
                break;
            }
            auto const size = std::strtoul(in.c_str(), nullptr, 16);
            if (in.size() < line + 2 + size + 2)
            {
                break;
            }
            if (size == 0)
            {
                out.complete = true;
                return out;
            }
            body += in.substr(line + 2, size);
            in.erase(0, line + 2 + size + 2);
            events();
        }
    }
}

} // namespace review
