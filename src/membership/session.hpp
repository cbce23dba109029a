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

/// An HTTP/2 connection between two entry hosts, over libevent.
///
/// A connection is either a link, which carries messages in both directions on
/// one stream, or a fetch, which requests one body and closes. Both ends prove
/// possession of the shared secret before any data is accepted. To be used only
/// on the thread of its event loop.
namespace primrosedeal::membership
{

struct session_identity
{
    host_id self;
    /// Shared by all hosts; only proofs of it are transmitted.
    std::string secret;
};

struct session_limits
{
    /// From the start of the connection until both ends are authenticated; for
    /// a fetch, until it is complete.
    duration handshake_timeout = 3s;
    duration ping_period = 5s;
    /// The connection is closed if an HTTP/2 PING is not acknowledged in time.
    duration ping_timeout = 2s;
    std::size_t max_header_bytes = 4096;
    std::size_t max_unsent_bytes = std::size_t{512} * 1024;
    std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;
};

/// Callbacks, run on the loop's thread; any of them may be empty. `on_closed`
/// runs last and once, unless the session is destroyed first.
struct session_events
{
    std::function<void(host_id const& peer)> on_ready;
    std::function<void(std::string_view bytes)> on_message;
    /// Result of a fetch; nullopt if it failed or the peer has no such body.
    std::function<void(std::optional<std::string>)> on_body;
    /// Returns the body that a peer fetches, or nullopt for 404.
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

    /// Opens a link, or a fetch of `body` if that is not empty.
    static auto dial(net::event_loop& loop, net::endpoint const& to,
                     session_identity const& identity, session_limits limits,
                     session_events events, std::string const& body = {})
        -> std::shared_ptr<session>;

    session(session const&) = delete;
    auto operator=(session const&) -> session& = delete;
    ~session();

    /// Queues one message; ignored before `on_ready`. Closes the connection if
    /// the unsent bytes exceed `max_unsent_bytes`.
    void send(std::string_view bytes);

    /// Closes the connection; `on_closed` runs later from the loop.
    void close();

    [[nodiscard]] auto bytes_sent() const -> std::uint64_t;

private:
    struct state;
    explicit session(std::shared_ptr<state> it);
    std::shared_ptr<state> state_;
};

} // namespace primrosedeal::membership
