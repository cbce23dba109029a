#pragma once

#include "core/units.hpp"

#include <optional>

/// Decides whether this host may admit quarantined requests as trials.
///
/// Load pattern: hosts start, are paused and are cut off from each other while
/// a quarantine holds, and each of them may believe for a moment that no host
/// has a lower id than its own. Each trial may cost a target, so only the host
/// with the lowest id of a majority may try, and only after it has been that
/// long enough to have heard the evidence of the others.
namespace primrosedeal::quarantine
{

/// Hosts exchange their evidence about once a second, and a host counts as
/// silent after 2.5 s.
constexpr auto trial_settling_time = duration{5s};
/// A host that has not observed its peers for this long was paused.
constexpr auto max_observation_gap = duration{2500ms};

class trial_permission
{
public:
    /// Call at least every second. `lowest`: no other host that is heard has a
    /// lower id. `majority`: this host and those it hears are more than half of
    /// all hosts.
    void observe(bool lowest, bool majority, time_point now)
    {
        auto const paused = now - observed_at_ > max_observation_gap;
        observed_at_ = now;
        if (!lowest || !majority)
        {
            since_.reset();
        }
        else if (!since_ || paused)
        {
            since_ = now;
        }
    }

    [[nodiscard]] auto granted(time_point now) const -> bool
    {
        return since_ && now - *since_ >= trial_settling_time &&
               now - observed_at_ <= max_observation_gap;
    }

private:
    time_point observed_at_{};
    /// Since when this host has been the lowest of a majority.
    std::optional<time_point> since_;
};

} // namespace primrosedeal::quarantine
