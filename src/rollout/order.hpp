#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

/// Orders to move the traffic of a service to one software version, and their
/// status, as both stand in the store.
namespace primrosedeal::rollout
{

/// Revision of an entry of the store without its era: a store that is restored
/// from a copy keeps the revisions of the entries in the copy.
using entry_revision = strong<struct entry_revision_tag, std::int64_t>;

/// Each write of the operators' entry is an order of its own, also one with the
/// same target.
struct order
{
    entry_revision id;
    software_version target;
    /// Time from the order to its deadline.
    duration length{};

    friend auto operator==(order const&, order const&) -> bool = default;
};

enum class state
{
    in_progress,
    completed,
    rolled_back,
};

auto to_string(state it) -> std::string_view;
auto to_state(std::string_view word) -> std::optional<state>;

/// A status entry. It belongs to the order that it was written after, since the
/// write names the revision of the order's entry as a condition.
struct status
{
    state what = state::in_progress;
    software_version target;
    entry_revision written_at;
};

} // namespace primrosedeal::rollout
