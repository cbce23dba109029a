#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <vector>

/// Targets that other hosts have found unreachable lately.
///
/// Load pattern: most targets of a service crash together. Every host then
/// fails to connect to several of them in a row, which looks like a loss of its
/// own path, and sends its requests through helpers to targets that are gone. A
/// failure at a target that a host with a path reports too says nothing about
/// this host's path.
namespace primrosedeal::reachability
{

class reported_losses
{
public:
    /// `by` has found `id` unreachable.
    void record(target_id const& id, host_id const& by, time_point now);

    /// Hosts that have reported `id` within `report_lifetime`.
    [[nodiscard]] auto reporters(target_id const& id, time_point now) const
        -> std::vector<host_id>;

    /// Deletes old reports. Call about every second.
    void expire(time_point now);

    /// Longer than a host avoids a target after its first failures.
    static constexpr auto report_lifetime = duration{2s};

private:
    std::map<target_id, std::map<host_id, time_point>> reports_;
};

} // namespace primrosedeal::reachability
