#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <optional>

/// How a host watches one neighbour: probes of its own, then by others.
namespace primrosedeal::membership
{

struct probe_settings
{
    /// A neighbour that was silent this long is pinged.
    duration probe_after = 1s;
    duration direct_timeout = 1s;
    /// For the answers of other hosts; longer than `errand_timeout`.
    duration indirect_timeout = 1500ms;
    /// For a probe on another host's behalf.
    duration errand_timeout = 1s;
    /// From a confirmed silence until the neighbour is declared dead.
    duration suspicion = 4s;
    /// The same where no other host could confirm the silence.
    duration lone_suspicion = 30s;
    /// Pause after another host vouched for the neighbour.
    duration vouched_pause = 2s;
};

/// What to do next for one neighbour.
enum class probe_step
{
    nothing,
    ping,
    ask_helpers,
    suspect,
    declare_dead,
};

struct probe_state
{
    enum class stage
    {
        idle,
        direct,
        indirect,
    };

    stage at = stage::idle;
    time_point last_heard{};
    time_point next_probe{};
    time_point deadline{};
    std::optional<time_point> silent_since;
    /// Number of the probe request sent to helpers.
    std::uint64_t number = 0;
    std::uint32_t unanswered = 0;
    bool vouched = false;
};

/// A message came from the neighbour itself.
void heard(probe_state& it, time_point now);

/// Moves the watch on. `alone` says that no other host could be asked.
auto advance(probe_state& it, probe_settings const& settings, bool alone,
             time_point now) -> probe_step;

} // namespace primrosedeal::membership
