#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "standins/engine_state.hpp"
#include "standins/fault.hpp"

#include <memory>

/// A stand-in model engine on one loop.
///
/// Speaks `POST /generate`, `GET /health`, `/load`, `/cache_events`,
/// `/state`, `POST /orders`, and `POST /fault`, which is answered even while
/// the engine is paused.
namespace primrosedeal::standins
{

class engine_standin
{
public:
    engine_standin(net::event_loop& loop, engine_settings settings);
    engine_standin(engine_standin const&) = delete;
    auto operator=(engine_standin const&) -> engine_standin& = delete;
    ~engine_standin();

    /// Listens and returns the port. Throws std::runtime_error.
    auto listen(net::endpoint const& at) -> std::uint16_t;

    /// Sets a fault as `POST /fault` does.
    void set_fault(fault_order it);

    [[nodiscard]] auto totals() const -> engine_totals;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace primrosedeal::standins
