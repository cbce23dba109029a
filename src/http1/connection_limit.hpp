#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <variant>

/// Decides what becomes of a further connection of a server that holds as many
/// as it may, and which one goes for it.
///
/// Load pattern: clients that nobody controls open more connections than a host
/// may hold and stay silent, before, within or after a request, or send a byte
/// now and then. Refusing the newest ones would keep ordinary clients out for
/// as long as these like, so these give way. Clients that make progress, and
/// those whose request runs, do not.
namespace primrosedeal::http1
{

struct connection_bounds
{
    /// Connections held at once.
    std::size_t most = 3000;
    /// Connections beyond those, whose first request gets 503.
    std::size_t most_surplus = 64;
    /// Time without progress after which a client that owes a request counts as
    /// stalled.
    duration stall_time = 1s;
};

/// Bytes of a request that count as progress. Between requests its begin does.
constexpr auto least_progress = std::size_t{4} << 10U;

/// Time after which a connection whose last answer is sent may be closed where
/// another one needs its descriptor.
constexpr auto least_linger = duration{200ms};

struct held_connection
{
    /// It has its last answer; what follows is not read.
    bool ending = false;
    /// It is one of the surplus.
    bool surplus = false;
    /// Nothing waits for its client, and nothing at the server: the client is
    /// to send the rest of a request, or the next one.
    bool owes_request = false;
    /// A request has begun.
    bool in_request = false;
    /// Bytes wait to be sent.
    bool has_unsent = false;
    /// When its client last made progress; of an ending one, when it ended.
    time_point progressed_at{};
};

/// The further connection is served.
struct serve
{
    /// In place of this one, which ends with status 408.
    std::optional<std::size_t> instead_of;
};

/// Its first request gets 503.
struct refuse_request
{
};

/// It is closed at once.
struct close_at_once
{
};

using connection_place = std::variant<serve, refuse_request, close_at_once>;

struct connection_decision
{
    connection_place what;
    /// Index of a connection that is closed first: nothing is lost with it.
    std::optional<std::size_t> spent;
};

/// `held`: all connections of the server, in any order.
auto place_connection(std::span<held_connection const> held,
                      connection_bounds const& bounds, time_point now)
    -> connection_decision;

} // namespace primrosedeal::http1
