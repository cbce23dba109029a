#pragma once

#include "core/units.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

/// An HTTP/1.1 server on one loop, over libevhtp.
namespace primrosedeal::net
{

/// A parsed request. Views are valid only while the handler runs.
struct server_request
{
    http_method method = http_method::get;
    std::string path;
    std::string query;
    std::vector<http_header> headers;
    std::string body;
};

/// The way back to one caller. Keep it while an answer is owed. Every call
/// after `closed()` turned true does nothing.
class responder
{
public:
    responder() = default;
    responder(responder const&) = delete;
    auto operator=(responder const&) -> responder& = delete;
    virtual ~responder() = default;

    /// Sends a whole answer. At most once, and not after `start_stream`.
    virtual void reply(http_response const& it) = 0;

    /// Sends status and headers; the body follows by `send` and `finish`.
    virtual void start_stream(int status,
                              std::vector<http_header> const& headers) = 0;
    virtual void send(std::string_view chunk) = 0;
    virtual void finish() = 0;

    /// Breaks the connection, so that the caller sees a truncated answer.
    virtual void abort() = 0;

    /// Bytes handed over that the caller has not taken yet.
    [[nodiscard]] virtual auto buffered_bytes() const -> std::size_t = 0;

    /// Whether the caller has gone.
    [[nodiscard]] virtual auto closed() const -> bool = 0;

    /// Runs `work` once when the caller goes before the answer is complete.
    virtual void on_close(std::function<void()> work) = 0;

    /// Runs `work` each time all buffered bytes have been taken.
    virtual void on_drain(std::function<void()> work) = 0;
};

struct server_limits
{
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    /// Time a caller may take between two bytes it sends.
    duration receive_timeout = 30s;
    /// Time a caller may take nothing while bytes wait for it.
    duration send_timeout = 60s;
};

/// Destroy it only when its loop no longer runs: open connections still refer
/// to it.
class http_server
{
public:
    using handler =
        std::function<void(server_request, std::shared_ptr<responder>)>;

    http_server(event_loop& loop, server_limits limits, handler on_request);
    http_server(http_server const&) = delete;
    auto operator=(http_server const&) -> http_server& = delete;
    ~http_server();

    /// Listens and returns the port (the one chosen if `at.port` is 0).
    /// Throws std::runtime_error with the address if it cannot.
    auto listen(endpoint const& at) -> std::uint16_t;

    /// Takes no new connection; those that are open go on.
    void stop_listening();

    /// Requests whose answer is not yet handed to the network as a whole.
    [[nodiscard]] auto open_requests() const -> std::size_t;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::net
