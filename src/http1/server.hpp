#pragma once

#include "core/units.hpp"
#include "http1/connection_limit.hpp"
#include "http1/memory_task.hpp"
#include "http1/message.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

/// Why the server ended a connection.
enum class end_reason
{
    /// An answer that ended in good order was the last one.
    last_answer,
    /// The answer could not be completed.
    aborted,
    /// The request was malformed, too large or too slow.
    rejected,
    idle_timeout,
    /// The server ended its idle connections.
    closed_idle,
};

auto to_string(end_reason it) -> std::string_view;

/// Bytes that a client sent to a connection that had been ended; a request
/// among them gets no answer.
struct dropped_input
{
    end_reason why = end_reason::last_answer;
    /// The last answer said that it ends the connection.
    bool announced = false;
    /// Requests on the connection before.
    std::uint64_t requests = 0;
    duration connection_age{};
    duration since_end{};
    std::size_t bytes = 0;
};

/// A request that was refused before it was whole, for what its client sent.
struct rejected_request
{
    int status = 0;
    /// What is wrong with a malformed head; empty for other causes.
    std::string_view problem;
    /// Requests on the connection before.
    std::uint64_t requests = 0;
    duration connection_age{};
};

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

    /// Runs `work` with true when so much of a started answer waits for the
    /// client that its sender has to stop, and with false when it goes on.
    virtual void on_flow(std::function<void(bool)> const& /*work*/) {}
};

struct server_limits
{
    /// Empty until a configuration states them. What is larger than usual then
    /// gets status 503, as other hosts may take it.
    std::optional<parse_limits> sizes;
    /// Longest time from the first byte of a head to its last.
    duration head_timeout = 3s;
    /// Longest time between two requests, and without progress of a body.
    duration idle_timeout = 15s;
    /// Time for a request to come before a connection counts as idle for
    /// `close_idle`.
    duration min_idle_time = 500ms;
    /// Time for which clients may still go by the limits before these.
    duration former_limits_known = 4s;
    connection_bounds connections;
    /// What clients may make the server hold; empty: as much as they like.
    std::optional<memory::budget> memory;
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

    /// From now on every answer says that it ends its connection. An answer
    /// that began before without saying so does not end it.
    void close_after_answers();

    /// Ends the connections on which no request has been read or answered for
    /// `min_idle_time`. A client whose request crosses the end gets status 408,
    /// as after the idle timeout: the request was not read and may be repeated
    /// (RFC 9110, 15.5.9).
    void close_idle(time_point now);

    /// Ends all connections but those that owe an answer. A request that has
    /// not arrived as a whole gets status 503.
    void close_unanswered();

    /// Accepts the connections that wait to be accepted, and none after them.
    void stop_listening();

    /// `report` gets the first dropped bytes of each connection.
    void on_dropped_input(std::function<void(dropped_input const&)> report);

    /// `report` gets each request that is malformed or too large.
    void on_rejected(std::function<void(rejected_request const&)> report);

    /// `report` runs for each connection that is closed for a further one.
    void on_replaced(std::function<void()> report);

    /// `report` gets each decision for want of memory.
    void on_memory(std::function<void(memory_event const&)> report);

    [[nodiscard]] auto listening() const -> bool;

    [[nodiscard]] auto connections() const -> std::size_t;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::http1
