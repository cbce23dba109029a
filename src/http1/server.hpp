#pragma once

#include "core/units.hpp"
#include "http1/message.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

/// The clients' side of a proxy: whole requests in, answers out.
namespace primrosedeal::http1
{

/// How a connection ended on which an answer was owed.
enum class client_loss
{
    /// The client closed its connection.
    closed,
    /// The connection was reset or failed.
    reset,
    /// The client did not read its answer.
    not_reading,
};

auto to_string(client_loss it) -> std::string_view;

/// The way back to one client for one request. Calls after the client has
/// gone do nothing.
class exchange
{
public:
    exchange() = default;
    exchange(exchange const&) = delete;
    auto operator=(exchange const&) -> exchange& = delete;
    virtual ~exchange() = default;

    /// Sends a whole answer. `close`: the connection ends after it.
    virtual void reply(response_head const& head, std::string_view body,
                       bool close) = 0;

    /// Sends the head of an answer whose length is not known yet.
    virtual void start(response_head const& head) = 0;
    virtual void send(std::string_view bytes) = 0;
    /// Ends a started answer as complete.
    virtual void finish() = 0;
    /// Closes the connection, so that the answer looks incomplete.
    virtual void abort() = 0;

    /// Runs `work` once if the client goes before its answer is complete.
    virtual void on_gone(std::function<void(client_loss)> work) = 0;
};

struct server_limits
{
    parse_limits sizes;
    /// Longest time from the first byte of a head to its last.
    duration head_timeout = 3s;
    /// Longest time between two requests, and without progress of a body.
    duration idle_timeout = 15s;
    /// Time for which clients may still go by the limits before these.
    duration former_limits_known = 4s;
    /// Connections held at once. The first request of a further one gets 503;
    /// beyond a fixed number of those, connections are closed at once.
    std::size_t max_connections = 3000;
};

class server
{
public:
    using handler = std::function<void(request, std::shared_ptr<exchange>)>;

    server(net::event_loop& loop, handler on_request);
    server(server const&) = delete;
    auto operator=(server const&) -> server& = delete;
    ~server();

    /// Throws std::runtime_error with the address if it cannot listen.
    /// Returns the port.
    auto listen(net::endpoint const& at) -> std::uint16_t;

    /// Larger ones hold at once. What is being sent keeps the limits that it
    /// began with, and connections may be idle for as long as the limits before
    /// allow until `former_limits_known` has passed.
    void set_limits(server_limits const& it);

    /// From now on every answer ends its connection.
    void close_after_answers();

    /// Closes the connections on which no request is being read or answered.
    void close_idle();

    void stop_listening();

    [[nodiscard]] auto connections() const -> std::size_t;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::http1
