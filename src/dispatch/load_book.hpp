#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <map>

/// What this host itself has running at each target.
///
/// Targets' own reports come late and are read by all hosts at once; what a
/// host has just sent is known exactly and in time.
namespace primrosedeal::dispatch
{

/// Size of one piece of work at a target. Zero tokens: a plain call.
struct work_size
{
    token_count prompt;
    token_count output;
};

struct target_load
{
    std::uint32_t requests = 0;
    /// Prompt tokens of requests that have not had their first event.
    std::uint64_t unread_tokens = 0;
    /// Tokens that requests and copies will have filled at their end.
    std::uint64_t memory_tokens = 0;
};

class load_book
{
public:
    void sent(target_id const& id, work_size const& it);
    /// Its prompt has been read.
    void began(target_id const& id, work_size const& it);
    void ended(target_id const& id, work_size const& it, bool began);

    /// A copy of a running request takes memory at `id`.
    void copy_added(target_id const& id, work_size const& it);
    void copy_dropped(target_id const& id, work_size const& it);

    [[nodiscard]] auto of(target_id const& id) const -> target_load;

    [[nodiscard]] auto all() const -> std::map<target_id, target_load> const&
    {
        return loads_;
    }

    /// Grows with every change.
    [[nodiscard]] auto changes() const -> std::uint64_t
    {
        return changes_;
    }

private:
    std::map<target_id, target_load> loads_;
    std::uint64_t changes_ = 0;
};

} // namespace primrosedeal::dispatch
