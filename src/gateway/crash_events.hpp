#pragma once

#include "gateway/host_state.hpp"
#include "quarantine/unresolved_runs.hpp"

#include <string_view>

/// Records crashes of targets under runs, and finds out whether targets crash
/// under runs that have ended unanswered.
namespace primrosedeal::gateway
{

/// `target` crashed under `run`, which ended at `ended_at`. Accuses also the
/// other unresolved runs there.
void record_crash(host_state& host, directory::listed_target const& target,
                  quarantine::accused_run const& run, time_point ended_at,
                  time_point now);

/// A direct probe of `target`, begun at `begun_at`, got no connection. Returns
/// whether that shows that the target has ended; a host that may itself have
/// lost its link or its path cannot tell.
auto on_failed_probe(host_state& host, directory::listed_target const& target,
                     time_point begun_at, time_point now) -> bool;

/// Keeps a run that ended unanswered for `reason`, logs it, and probes its
/// target after a short time.
void keep_unresolved_run(host_state& host, quarantine::unresolved_run it,
                         std::string_view reason);

/// The target may be gone: a connection to it failed, at this host or at
/// another one, or it is no longer listed. Probes it if it has unresolved runs.
void check_unresolved_runs(host_state& host, target_id const& id,
                           time_point now);

/// The target's process has ended, and not in order.
void on_target_ended(host_state& host, target_id const& id, time_point now);

/// A target was listed, perhaps in the place of one that has ended.
void on_target_listed(host_state& host, directory::listed_target const& it,
                      time_point now);

/// Evidence of another host: the crashes that it knows have happened.
void on_evidence(host_state& host, quarantine::report const& it,
                 time_point now);

} // namespace primrosedeal::gateway
