#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <optional>

/// Failure detector for one neighbour: direct probes, then indirect probes
/// through other hosts, then suspicion.
namespace primrosedeal::membership
{

struct probe_settings
{
    /// Silence after which a neighbour is pinged.
    duration probe_after = 1s;
    /// For the ack of a direct ping.
    duration direct_timeout = 1s;
    /// For the reports of helpers; must exceed `delegated_timeout`.
    duration indirect_timeout = 1500ms;
    /// For a probe that another host requested.
    duration delegated_timeout = 1s;
    /// From the start of a suspicion that helpers confirmed until the neighbour
    /// is declared dead. Also applies where no other host is alive.
    duration suspicion_timeout = 4s;
    /// Silence after which the neighbour is declared dead if no helper
    /// reported.
    duration unconfirmed_suspicion_timeout = 30s;
    /// Pause before the next probe after a helper reached the neighbour.
    duration confirmed_alive_pause = 2s;
};

/// Action required for the neighbour.
enum class probe_step
{
    nothing,
    ping,
    request_indirect_probes,
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

    stage current_stage = stage::idle;
    time_point last_received{};
    time_point next_probe{};
    time_point deadline{};
    std::optional<time_point> suspected_since;
    /// Identifies the probe requests of the current round.
    std::uint64_t request_id = 0;
    std::uint32_t unanswered_reports = 0;
    bool confirmed_alive = false;
};

/// Restarts the silence period. Called for every message received from the
/// neighbour itself.
void reset_silence(probe_state& it, time_point now);

/// Advances the detector to `now`. `alone` means that no other host is known
/// to be alive that could act as a helper.
auto advance(probe_state& it, probe_settings const& settings, bool alone,
             time_point now) -> probe_step;

} // namespace primrosedeal::membership
