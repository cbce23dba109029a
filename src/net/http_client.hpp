#pragma once

#include "core/units.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <functional>
#include <memory>
#include <string_view>

/// One HTTP/1.1 request over a connection of its own.
///
/// A connection is never reused: an idle pooled connection may have been
/// forgotten by something in between, and a request written to it may or may
/// not have run. docs/design/connections.md gives the cost.
namespace primrosedeal::net
{

/// How a call failed below HTTP.
enum class call_error
{
    /// No connection was made; not a byte of the request left.
    not_connected,
    /// The connection broke or the answer was not HTTP.
    broken,
    /// The answer is larger than the limit given.
    too_large,
};

/// What the caller of `start_call` is told. All run on the loop's thread;
/// none runs after the `http_call` is destroyed. Exactly one of `on_end` and
/// `on_error` is the last to run.
struct http_events
{
    std::function<void(int status)> on_status;
    std::function<void(std::string_view)> on_body;
    std::function<void(int status)> on_end;
    std::function<void(call_error)> on_error;
};

/// A call in progress; destroying it closes the connection. May be destroyed
/// inside any of its events.
class http_call
{
public:
    http_call() = default;
    http_call(http_call const&) = delete;
    auto operator=(http_call const&) -> http_call& = delete;
    virtual ~http_call() = default;

    /// Stops and resumes reading, so that a slow reader bounds memory.
    virtual void pause_reading() = 0;
    virtual void resume_reading() = 0;

    /// Whether a byte of the request may have left this process.
    [[nodiscard]] virtual auto may_have_sent() const -> bool = 0;
};

struct call_limits
{
    duration connect_timeout = 1s;
    std::size_t max_body_bytes = std::size_t{64} << 20U;
};

/// Starts `request` to `to`. Silence after the connect is not an error here:
/// the caller of this function owns that timeout.
auto start_call(event_loop& loop, endpoint const& to,
                http_request const& request, http_events events,
                call_limits limits = {}) -> std::unique_ptr<http_call>;

/// `start_call` that collects the whole answer and enforces `timeout` over
/// all of it. On a timeout `on_error(call_error::broken)` runs.
auto fetch(event_loop& loop, endpoint const& to, http_request const& request,
           duration timeout,
           std::function<void(http_response)> const& on_response,
           std::function<void(call_error, bool may_have_sent)> const& on_error,
           call_limits limits = {}) -> std::unique_ptr<http_call>;

} // namespace primrosedeal::net
