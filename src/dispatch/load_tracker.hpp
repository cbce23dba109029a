#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <map>

/// Load that this host has outstanding at each target.
///
/// Reports from targets arrive late and reach all hosts at the same time. The
/// load that a host sent itself is exact and up to date.
namespace primrosedeal::dispatch
{

/// Size of one request. Zero tokens: a plain call.
struct work_size
{
    token_count prompt;
    token_count output;
};

struct target_load
{
    std::uint32_t requests = 0;
    /// Prompt tokens of requests without a first event yet.
    std::uint64_t pending_prefill_tokens = 0;
    /// Tokens of memory that requests and copies will use when they complete.
    std::uint64_t memory_tokens = 0;
};

class load_tracker
{
public:
    void sent(target_id const& id, work_size const& it);
    /// The prompt was prefilled.
    void prefilled(target_id const& id, work_size const& it);
    /// `was_prefilled`: the prompt had been prefilled.
    void ended(target_id const& id, work_size const& it, bool was_prefilled);

    /// A copy of a running request uses memory at `id`.
    void copy_added(target_id const& id, work_size const& it);
    void copy_dropped(target_id const& id, work_size const& it);

    [[nodiscard]] auto at_target(target_id const& id) const -> target_load;

    [[nodiscard]] auto all() const -> std::map<target_id, target_load> const&
    {
        return loads_;
    }

    /// Increases with every change.
    [[nodiscard]] auto change_count() const -> std::uint64_t
    {
        return change_count_;
    }

private:
    std::map<target_id, target_load> loads_;
    std::uint64_t change_count_ = 0;
};

} // namespace primrosedeal::dispatch
