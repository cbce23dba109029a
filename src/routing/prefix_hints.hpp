#pragma once

#include "core/ids.hpp"
#include "routing/candidate.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

/// Tracks which targets probably have a prefix cached, from the host's own
/// dispatches and the engines' cache events. The result is only a hint: events
/// arrive late and some are lost.
namespace primrosedeal::routing
{

/// A target's cache stored or evicted a block.
struct cache_event
{
    bool stored = false;
    block_hash block = 0;
};

struct hint_settings
{
    /// Only every n-th block of a prompt is tracked.
    std::size_t stride = 8;
    /// Number of tracked blocks; the least recently used is evicted first.
    std::size_t max_blocks = 32'768;
};

/// A target and the number of leading blocks that it probably has cached.
struct warm_target
{
    target_id target;
    std::size_t blocks = 0;
};

/// Memory: about 150 bytes for each tracked block.
class prefix_hints
{
public:
    explicit prefix_hints(hint_settings settings) : settings_(settings) {}

    /// Records that the prompt was sent to `target`, which will cache it.
    void dispatched(target_id const& target,
                    std::span<block_hash const> blocks);

    /// Ignores events of blocks that are not tracked. `gap`: earlier events
    /// were lost, so all earlier hints for the target are discarded.
    void cache_events(target_id const& target,
                      std::span<cache_event const> events, bool gap);

    void remove_target(target_id const& target);

    /// Targets that have a part of the prompt cached, longest prefix first.
    [[nodiscard]] auto warm_targets(std::span<block_hash const> blocks) const
        -> std::vector<warm_target>;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return blocks_.size();
    }

private:
    static constexpr auto max_holders = std::size_t{4};

    struct holder
    {
        std::uint32_t target = 0;
        std::uint32_t epoch = 0;
    };

    struct entry
    {
        std::array<holder, max_holders> holders;
        std::uint32_t count = 0;
        std::uint32_t next_replaced = 0;
        std::list<block_hash>::iterator lru_position;
    };

    /// Incrementing `epoch` invalidates all hints of the target.
    struct known_target
    {
        target_id id;
        std::uint32_t epoch = 0;
    };

    auto index_of(target_id const& target) -> std::uint32_t;
    auto entry_of(block_hash block) -> entry&;
    void add(entry& it, std::uint32_t target);
    void remove(entry& it, std::uint32_t target);

    hint_settings settings_;
    std::unordered_map<block_hash, entry> blocks_;
    std::list<block_hash> lru_;
    std::unordered_map<target_id, std::uint32_t> indices_;
    std::vector<known_target> targets_;
    std::vector<std::uint32_t> free_indices_;
};

} // namespace primrosedeal::routing
