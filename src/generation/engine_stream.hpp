#pragma once

#include "generation/engine_codec.hpp"
#include "generation/model.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <memory>

/// One attempt at one engine, over a separate connection.
namespace primrosedeal::generation
{

class engine_stream
{
public:
    /// Called on the event loop for each event; may destroy the stream.
    using handler = std::function<void(any_event)>;

    /// Sends the request. The last event is either `event::attempt_finished` or
    /// `event::attempt_lost` and occurs exactly once. Does not detect silence.
    /// Destroying the stream closes the connection, which cancels the attempt
    /// at the engine.
    engine_stream(net::event_loop& loop, net::endpoint const& at,
                  spec const& what, action::start_attempt const& attempt,
                  handler on_event);
    engine_stream(engine_stream const&) = delete;
    auto operator=(engine_stream const&) -> engine_stream& = delete;
    ~engine_stream();

    void pause_reading();
    void resume_reading();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Sends a health check to `at` on a new connection and reports whether it
/// succeeded within `timeout`.
auto probe_engine(net::event_loop& loop, net::endpoint const& at,
                  duration timeout, std::function<void(bool)> const& on_result)
    -> std::unique_ptr<net::http_call>;

} // namespace primrosedeal::generation
