#pragma once

#include <cstddef>
#include <limits>

/// How much of a host's memory is for what it holds for clients.
///
/// Load pattern: clients that nobody controls send and read as they like. A
/// process above its host's limit is killed, with every request that it serves,
/// so all that clients can make it hold is bounded together, below that limit.
namespace primrosedeal::memory
{

/// The limit of a host that states none, in bytes; common among real ones.
constexpr auto default_memory_limit = std::size_t{260} << 20U;

/// Sizes in bytes. The defaults are those of a process without a limit.
struct budget
{
    /// Bodies of requests above `small_request`, being received or kept while
    /// their requests run.
    std::size_t bodies = std::numeric_limits<std::size_t>::max();
    /// Requests of at most that size, and the beginnings of others.
    std::size_t small_requests = std::numeric_limits<std::size_t>::max();
    /// Answers that wait for clients to read them.
    std::size_t unsent = std::size_t{64} << 20U;
    /// Answers of targets that are collected before they are sent on.
    std::size_t collected = std::size_t{48} << 20U;
    /// Tunnels of other hosts, all buffers together.
    std::size_t tunnels = std::numeric_limits<std::size_t>::max();
    /// Receive buffers and read-ahead of all connections of clients.
    std::size_t received = std::numeric_limits<std::size_t>::max();
};

/// A request up to this size, with its head, needs no reservation.
constexpr auto small_request = std::size_t{64} << 10U;

/// `limit`: of the process, in bytes; zero: the default.
auto make_budget(std::size_t limit) -> budget;

/// Bytes that one of `connections` may take of `total`: at least `least`, at
/// most `most`. A small number of connections gets no more than
/// `assumed_connections` would, since others may come.
auto share_of(std::size_t total, std::size_t connections, std::size_t least,
              std::size_t most) -> std::size_t;

constexpr auto assumed_connections = std::size_t{64};

} // namespace primrosedeal::memory
