#pragma once

#include "core/units.hpp"
#include "memory/client_account.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include <event2/util.h>

/// Applies the account of a server's clients (memory/client_account.hpp) to
/// their connections and sockets.
namespace primrosedeal::http1
{

/// A connection of a client, as the account's decisions reach it.
class accounted_connection
{
public:
    accounted_connection() = default;
    accounted_connection(accounted_connection const&) = delete;
    auto operator=(accounted_connection const&)
        -> accounted_connection& = delete;
    virtual ~accounted_connection() = default;

    /// Bytes have come that have not been read.
    [[nodiscard]] virtual auto has_unread() const -> bool = 0;
    virtual void resume_reading() = 0;
    /// There was no room for its request.
    virtual void reject_for_memory() = 0;
    /// Its request has stalled.
    virtual void close_stalled() = 0;
    /// Its client does not read.
    virtual void give_up() = 0;
    /// The sender of its answer has been stopped for a while.
    virtual void check_flow(time_point now) = 0;
};

/// A decision on a group of clients.
struct memory_event
{
    memory::client_group group = memory::client_group::small;
    /// `paused`, `rejected`, `closed` or `dropped`.
    std::string_view what;
    memory::account_usage usage;
};

class memory_task
{
public:
    explicit memory_task(net::event_loop& loop) : loop_(loop) {}

    /// No budget: what clients make the server hold is bounded for each
    /// connection only.
    void set_limits(std::optional<memory::budget> const& it,
                    std::size_t largest_body);

    /// New connections begin with the buffers of this listener.
    void set_listener(std::optional<evutil_socket_t> it);

    auto opened(accounted_connection& it, evutil_socket_t fd)
        -> memory::connection_number;
    void closed(memory::connection_number id);

    /// Bytes of a connection that are read before they are parsed, at most.
    [[nodiscard]] auto read_ahead() const -> std::size_t;
    /// Unsent bytes of a stream at which its sender stops.
    [[nodiscard]] auto flow_mark() const -> std::size_t;

    [[nodiscard]] auto received(memory::connection_number id,
                                memory::request_progress const& it) -> bool;
    void complete(memory::connection_number id, std::size_t bytes);
    void ended(memory::connection_number id);
    void unsent(memory::connection_number id, std::size_t bytes, bool taken);

    /// Gives up the client that has taken nothing for the longest time if too
    /// much waits for all together.
    void limit_unsent();

    /// A sender of an answer was stopped, or goes on.
    void flow_changed(bool stopped);

    [[nodiscard]] auto readers_press() const -> bool
    {
        return account_.readers_press();
    }

    std::function<void(memory_event const&)> on_event;

private:
    void report(memory::client_group group, std::string_view what) const;
    void size_listener_buffers();
    void size_buffers(evutil_socket_t fd);
    void grow_receive_buffer(memory::connection_number id);
    void arm();
    void tick(time_point now);
    void check_flow(time_point now);
    void carry_out(memory::decision const& it);
    void trim();

    net::event_loop& loop_;
    memory::client_account account_;
    std::optional<memory::budget> budget_;
    struct client
    {
        accounted_connection* connection = nullptr;
        evutil_socket_t fd = -1;
        bool grown = false;
    };

    std::map<memory::connection_number, client> connections_;
    std::uint64_t last_number_ = 0;
    std::optional<evutil_socket_t> listener_;
    std::size_t stopped_flows_ = 0;
    /// Most bytes held since free memory was given back.
    std::size_t peak_ = 0;
    net::timer timer_;
};

} // namespace primrosedeal::http1
