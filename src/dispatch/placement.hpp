#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/call_capacity.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/load_tracker.hpp"
#include "dispatch/target_pauses.hpp"
#include "expected_cost/service_estimates.hpp"
#include "fleet/fleet_view.hpp"
#include "rejection_limit/gate.hpp"
#include "request_limit/limiter.hpp"

#include <optional>
#include <set>
#include <span>
#include <vector>

/// Chooses the target for a request and the target for its copy.
///
/// Load pattern: long prompts, about a second of prefill each, arrive at many
/// hosts; two prompts at one target delay both and slow every stream there.
/// A prompt is sent where its answer is expected first (`expected_cost`). Where
/// no costs are known, a request is sent to the target with the least
/// outstanding prefill over all hosts. Ties go to the least loaded of a small
/// random sample, so that hosts with the same view do not all pick the same
/// target. A copy is placed in another failure domain than its run, since whole
/// domains fail together.
namespace primrosedeal::dispatch
{

struct placement_request
{
    work_size size;
    domain_id own_domain;
    /// Memory of one target in tokens; 0: not limited by memory.
    std::uint64_t target_memory = 0;
    /// The versions at which the request may run; empty: any.
    std::set<software_version> versions;
    /// Targets that were already tried for this request.
    std::span<target_id const> tried;
    rejection_limit::arrival arrival = rejection_limit::arrival::independent;
    /// For a call of a plain service, if enough is known of its other calls.
    std::optional<call_demand> calls;
    /// Expected output in tokens, and the time until the objective is missed.
    double expected_output = 0;
    duration objective_left{};
};

/// Inputs of placement, which keeps no state between calls.
struct placement_view
{
    std::vector<directory::listed_target> const& targets;
    failure_detector const& detector;
    load_tracker const& loads;
    /// Load that other hosts have outstanding.
    fleet::fleet_view const& others;
    /// This host's shares of the targets' request limits.
    request_limit::limiter const& limiter;
    /// Whether targets that survive few rejections have room.
    rejection_limit::gate const& gate;
    /// Null: prompts are placed by outstanding prefill alone.
    expected_cost::service_estimates const* costs = nullptr;
    /// Null: every target wants requests.
    target_pauses const* pauses = nullptr;
};

/// Target for a new attempt, or nothing if no target has capacity. One that
/// wants no requests gets none. Targets that were already tried or are excluded
/// are used only as a last resort, and limited ones only within this host's
/// share, and those that survive few rejections as far as `gate` permits.
auto place(placement_view const& view, placement_request const& it,
           time_point now, random_source& random)
    -> std::optional<directory::listed_target>;

/// Target for a copy of a request that runs at `primary`, of the same version;
/// nothing if no healthy target without a limit, or with ample room if it
/// survives few rejections, has capacity. The copy of a run in another domain
/// is preferably in the host's own one, which it still reaches while the
/// domains are partitioned; that of a run in its own domain is preferably
/// elsewhere.
auto place_copy(placement_view const& view, placement_request const& it,
                directory::listed_target const& primary, time_point now,
                random_source& random)
    -> std::optional<directory::listed_target>;

} // namespace primrosedeal::dispatch
