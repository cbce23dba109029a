#pragma once

#include "core/ids.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// One HTTP/2 connection between two entry hosts, over libevent.
///
/// A link carries messages both ways on one stream. A fetch asks for one body
/// and ends. Both ends prove that they hold the fleet's secret before either
/// is believed. Lives on its loop's thread only.
namespace primrosedeal::membership
{

struct session_identity
{
    host_id self;
    /// The same on all hosts; the connection carries only proofs of it.
    std::string secret;
};

struct session_limits
{
    /// From the connection's start until both ends are proven, and the whole
    /// time of a fetch.
    duration handshake_timeout = 3s;
    duration ping_period = 5s;
    /// A connection whose HTTP/2 PING stays unanswered is closed.
    duration ping_timeout = 2s;
    std::size_t max_header_bytes = 4096;
    std::size_t max_unsent_bytes = std::size_t{512} * 1024;
    std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;
};

/// All run on the loop's thread. `on_closed` is the last to run, once.
struct session_events
{
    std::function<void(host_id const& peer)> on_ready;
    std::function<void(std::string_view bytes)> on_message;
    /// A fetch's result; nothing if the peer has no such body.
    std::function<void(std::optional<std::string>)> on_body;
    /// Serves a fetch.
    std::function<std::optional<std::string>(std::string_view name)> body_for;
    std::function<void()> on_closed;
};

class session
{
public:
    /// Serves an accepted socket.
    static auto accept(net::event_loop& loop, int fd,
                       session_identity const& identity, session_limits limits,
                       session_events events) -> std::shared_ptr<session>;

    /// Connects a link, or a fetch of `body` if that isn't empty.
    static auto dial(net::event_loop& loop, net::endpoint const& to,
                     session_identity const& identity, session_limits limits,
                     session_events events, std::string const& body = {})
        -> std::shared_ptr<session>;

    session(session const&) = delete;
    auto operator=(session const&) -> session& = delete;
    ~session();

    /// Queues one message; only after `on_ready`. Closes the connection if
    /// the peer takes nothing and too much waits.
    void send(std::string_view bytes);

    /// Ends the connection; `on_closed` runs soon after.
    void close();

    [[nodiscard]] auto bytes_sent() const -> std::uint64_t;

private:
    struct state;
    explicit session(std::shared_ptr<state> it);
    std::shared_ptr<state> state_;
};

} // namespace primrosedeal::membership
