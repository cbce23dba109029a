#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/load_book.hpp"
#include "dispatch/suspicion.hpp"
#include "fleet/fleet_view.hpp"

#include <optional>
#include <span>
#include <vector>

/// Which target takes a piece of work, and which one keeps its copy.
///
/// Load pattern: long prompts, about a second of prefill each, arrive at many
/// hosts; two prompts at one target delay both and slow every stream there.
/// Work goes to the target with the least outstanding prefill over all hosts.
/// Ties go to the least loaded of a small random sample, so that hosts with the
/// same view do not all pick the same target. A copy goes to another failure
/// domain, since domains fail as a whole.
namespace primrosedeal::dispatch
{

struct placement_request
{
    work_size size;
    domain_id own_domain;
    /// Memory of one target in tokens; 0: not limited by memory.
    std::uint64_t target_memory = 0;
    /// Targets that this request has already met.
    std::span<target_id const> met;
};

/// Everything placement reads; nothing is kept between calls.
struct placement_view
{
    std::vector<directory::listed_target> const& targets;
    suspicion const& doubts;
    load_book const& loads;
    /// What other hosts have running.
    fleet::fleet_view const& others;
};

/// The target for new work; nothing if none has room. Targets that were met
/// before or are avoided are taken only if no other is left.
auto place(placement_view const& view, placement_request const& it,
           time_point now, random_source& random)
    -> std::optional<directory::listed_target>;

/// The target that keeps a copy of work running at `primary`.
auto place_copy(placement_view const& view, placement_request const& it,
                directory::listed_target const& primary, time_point now,
                random_source& random)
    -> std::optional<directory::listed_target>;

} // namespace primrosedeal::dispatch
