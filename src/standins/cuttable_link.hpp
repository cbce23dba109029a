#pragma once

#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <memory>

/// A path of connections to one address that can be cut: what either end sends
/// from then on, its close too, does not reach the other end.
namespace primrosedeal::standins
{

class cuttable_link
{
public:
    /// Throws std::runtime_error if it cannot listen on the loopback address.
    cuttable_link(net::event_loop& loop, net::endpoint to);
    cuttable_link(cuttable_link const&) = delete;
    auto operator=(cuttable_link const&) -> cuttable_link& = delete;
    ~cuttable_link();

    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Connections stay open and pass nothing on. New ones get no answer.
    void cut();

    /// The same, and the callers' connections are reset.
    void cut_with_reset();

private:
    struct state;
    struct connection;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::standins
