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

/// Which targets probably hold a prefix, from the host's own dispatches and
/// the engines' cache events. Only a hint: events come late and with gaps.
namespace primrosedeal::routing
{

/// A target's cache stored or dropped a block.
struct cache_event
{
    bool stored = false;
    block_hash block = 0;
};

struct hint_settings
{
    /// Every n-th block of a prompt is remembered.
    std::size_t stride = 8;
    /// Blocks remembered; the least recently used goes first.
    std::size_t max_blocks = 32'768;
};

/// A target and how many leading blocks it probably holds.
struct warm_target
{
    target_id target;
    std::size_t blocks = 0;
};

/// Memory: about 150 bytes for each remembered block.
class prefix_hints
{
public:
    explicit prefix_hints(hint_settings settings) : settings_(settings) {}

    /// The prompt goes to `target`, which will hold it.
    void dispatched(target_id const& target,
                    std::span<block_hash const> blocks);

    /// Events of blocks that no prompt here had are passed over. After a
    /// `gap` nothing that is known of the target counts.
    void cache_events(target_id const& target,
                      std::span<cache_event const> events, bool gap);

    void forget(target_id const& target);

    /// Targets that hold a part of the prompt, the warmest first.
    [[nodiscard]] auto warm(std::span<block_hash const> blocks) const
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
        std::uint32_t generation = 0;
    };

    struct entry
    {
        std::array<holder, max_holders> holders;
        std::uint32_t count = 0;
        std::uint32_t next = 0;
        std::list<block_hash>::iterator use;
    };

    /// A target's name and the number of times its hints were dropped.
    struct known_target
    {
        target_id id;
        std::uint32_t generation = 0;
    };

    auto number_of(target_id const& target) -> std::uint32_t;
    auto entry_of(block_hash block) -> entry&;
    void add(entry& it, std::uint32_t target);
    void remove(entry& it, std::uint32_t target);

    hint_settings settings_;
    std::unordered_map<block_hash, entry> blocks_;
    std::list<block_hash> uses_;
    std::unordered_map<target_id, std::uint32_t> numbers_;
    std::vector<known_target> targets_;
    std::vector<std::uint32_t> free_;
};

} // namespace primrosedeal::routing
