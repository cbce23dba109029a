#pragma once

#include "http1/connection_limit.hpp"
#include "http1/memory_task.hpp"
#include "http1/server.hpp"

#include <event2/listener.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

/// What a server's connections share. Included by `server` and its connections
/// only.
namespace primrosedeal::http1
{

class server_connection;

struct server::state
{
    state(net::event_loop& on, handler handler)
        : loop(on), memory(on), on_request(std::move(handler))
    {
    }

    /// Longest idle time that clients may take for valid.
    [[nodiscard]] auto idle_timeout(time_point now) const -> duration
    {
        return now < former_until
                   ? std::max(limits.idle_timeout, former_idle_timeout)
                   : limits.idle_timeout;
    }

    [[nodiscard]] auto sizes() const -> parse_limits
    {
        return limits.sizes.value_or(parse_limits{});
    }

    net::event_loop& loop;
    memory_task memory;
    handler on_request;
    std::function<void(dropped_input const&)> on_dropped_input;
    std::function<void(rejected_request const&)> on_rejected;
    std::function<void()> on_replaced;
    server_limits limits;
    bool limited = false;
    /// The longest one of limits that clients may still go by.
    duration former_idle_timeout{};
    time_point former_until{};
    evconnlistener* listener = nullptr;
    std::map<server_connection*, std::shared_ptr<server_connection>>
        connections;
    bool closing = false;

    void accepted(evutil_socket_t fd, time_point now);
    /// Carries out what is decided on a further connection at the limit.
    auto make_room(time_point now) -> connection_place;
    void free_listener()
    {
        if (listener != nullptr)
        {
            memory.set_listener({});
            evconnlistener_free(std::exchange(listener, nullptr));
        }
    }
};

} // namespace primrosedeal::http1
