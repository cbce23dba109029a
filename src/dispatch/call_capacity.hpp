#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <cstdint>

/// Decides whether a target of a plain service has room for one more call.
///
/// Load pattern: dozens of hosts send calls of some tens of milliseconds to a
/// few targets, and most of those targets leave or are lost. A host's digest
/// lists a call from the moment it was sent until its next digest, which is
/// several times as long as the call takes. Summed over all hosts, targets with
/// free slots seem full, and calls are refused that could be served at once.
/// So the calls of other hosts are also estimated from their rate, and a few
/// calls may wait at a target: its slots become free every few milliseconds.
namespace primrosedeal::dispatch
{

/// Calls of a service, as one host knows them.
struct call_demand
{
    /// Calls a second of all other hosts.
    double others_per_second = 0;
    /// Mean time of recent calls.
    duration mean_time{};
    /// Targets that serve them.
    std::size_t targets = 1;
};

/// Time of a call before any was answered. Without one, a host that has just
/// started would refuse calls by the digests alone, and never observe any.
constexpr auto first_mean_time(duration latency_objective) -> duration
{
    return latency_objective / 4;
}

/// Calls that a target may have outstanding, as a multiple of its slots.
constexpr auto max_calls_per_slot = 2.0;

/// Calls of other hosts that are outstanding at one target. By Little's law the
/// rate multiplied by the time of a call, but no more than digests list.
auto calls_elsewhere(call_demand const& it, std::uint32_t listed) -> double;

/// Whether a target with `outstanding` calls takes another one. Beyond its
/// capacity it takes the fraction of calls that fits. `draw` is uniform in
/// [0, 1): without it all hosts would refuse and resume at the same time.
auto has_room_for_call(double outstanding, std::uint32_t slots, double draw)
    -> bool;

} // namespace primrosedeal::dispatch
