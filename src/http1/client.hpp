#pragma once

#include "core/units.hpp"
#include "http1/message.hpp"
#include "http1/tunnel.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

/// One request over a connection of its own, with an exact account of how
/// far it got.
///
/// Connections are not reused: a request written to an idle connection that
/// the peer has dropped may or may not have run, and an answer meant for an
/// earlier request could be taken for this one's.
namespace primrosedeal::http1
{

enum class call_error
{
    /// No connection was made; not a byte of the request left.
    not_connected,
    /// The connection ended before the first byte of an answer.
    closed_unanswered,
    /// The connection ended inside the answer.
    truncated,
    /// The answer is not HTTP.
    malformed,
};

auto to_string(call_error it) -> std::string_view;

/// All run on the loop's thread, none after the `client_call` is destroyed.
/// `on_complete` or `on_error` is the last to run.
struct call_events
{
    /// The connection to the target was made, directly or through a tunnel, and
    /// the request is queued on it.
    std::function<void()> on_connected;
    /// The other end refused the direct connection; `on_error` follows.
    std::function<void()> on_refused;
    /// There is no tunnel; `on_error` with `not_connected` follows.
    std::function<void(tunnel_refusal)> on_tunnel_refused;
    std::function<void(response_head)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
    std::function<void(call_error)> on_error;
};

/// A call in progress; destroying it closes the connection. May be destroyed
/// inside any of its events.
class client_call
{
public:
    /// Connects to `to` and sends `request`, whose `Content-Length` is set
    /// here; its other headers go as they are. Through a tunnel the helper's
    /// address of the target is used in place of `to`, and the target is
    /// connected within `connect_timeout`.
    client_call(net::event_loop& loop, net::endpoint const& to,
                request const& message, duration connect_timeout,
                call_events events, connection_path path = direct_connection{});
    client_call(client_call const&) = delete;
    auto operator=(client_call const&) -> client_call& = delete;
    ~client_call();

    /// Whether a byte of the request may have left this process.
    [[nodiscard]] auto may_have_sent() const -> bool;

    /// Stops reading the answer, or goes on. A call through a leased tunnel is
    /// read on, since its lease would end.
    void pause_reading(bool paused);

    /// Until when the target may go on with the request if the call ends now,
    /// since its helper may not learn of that; empty: not beyond the end.
    [[nodiscard]] auto may_run_until() const -> std::optional<time_point>;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Bytes of body that the answer of a control call may have.
constexpr auto max_control_answer = std::size_t{1} << 20U;

/// Collects a whole answer, or reports a failure: no connection, or nothing
/// more of the answer, for `patience`, or a body above `max_body` bytes.
/// Reports once; its connection is closed by then. May be destroyed inside its
/// handler.
class fetch
{
public:
    using handler = std::function<void(std::optional<net::http_response>,
                                       bool may_have_sent)>;

    fetch(net::event_loop& loop, net::endpoint const& to,
          request const& message, duration patience, handler done,
          std::size_t max_body = max_control_answer,
          connection_path path = direct_connection{});
    fetch(fetch const&) = delete;
    auto operator=(fetch const&) -> fetch& = delete;
    ~fetch();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::http1
