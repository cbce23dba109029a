#pragma once

#include "generation/engine_codec.hpp"
#include "generation/model.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <memory>

/// One attempt at one engine, over a connection of its own.
namespace primrosedeal::generation
{

class engine_stream
{
public:
    /// Runs on the loop for each event; the stream may be destroyed inside.
    using handler = std::function<void(any_event)>;

    /// Sends the attempt. Exactly one of `event::attempt_finished` and
    /// `event::attempt_lost` is the last event. Silence is not detected
    /// here. Destroying the stream closes the connection, which cancels the
    /// attempt at the engine.
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

/// Asks `at` by a fresh connection whether it answers at all.
auto probe_engine(net::event_loop& loop, net::endpoint const& at,
                  duration timeout, std::function<void(bool)> const& on_result)
    -> std::unique_ptr<net::http_call>;

} // namespace primrosedeal::generation
