#include "routing/prefix_hints.hpp"

#include <algorithm>

// Block hashes are chained, so a target that has block n cached also had all
// blocks before it, and tracking every n-th block is enough to find the cached
// depth. A gap in the events or the removal of a target increments the
// target's `epoch`, which invalidates its hints in constant time; stale
// entries are overwritten when their blocks are used again.

namespace primrosedeal::routing
{

auto prefix_hints::index_of(target_id const& target) -> std::uint32_t
{
    auto const [it, added] = indices_.try_emplace(target, 0);
    if (!added)
    {
        return it->second;
    }
    if (free_indices_.empty())
    {
        free_indices_.push_back(static_cast<std::uint32_t>(targets_.size()));
        targets_.emplace_back();
    }
    it->second = free_indices_.back();
    free_indices_.pop_back();
    targets_[it->second].id = target;
    return it->second;
}

auto prefix_hints::entry_of(block_hash block) -> entry&
{
    if (auto const it = blocks_.find(block); it != blocks_.end())
    {
        lru_.splice(lru_.begin(), lru_, it->second.lru_position);
        return it->second;
    }
    if (blocks_.size() >= settings_.max_blocks)
    {
        blocks_.erase(lru_.back());
        lru_.pop_back();
    }
    lru_.push_front(block);
    auto& it = blocks_[block];
    it.lru_position = lru_.begin();
    return it;
}

void prefix_hints::remove(entry& it, std::uint32_t target)
{
    auto const end = it.holders.begin() + it.count;
    auto const found =
        std::find_if(it.holders.begin(), end,
                     [&](holder const& each) { return each.target == target; });
    if (found == end)
    {
        return;
    }
    --it.count;
    *found = it.holders[it.count];
}

void prefix_hints::add(entry& it, std::uint32_t target)
{
    remove(it, target);
    auto const added = holder{target, targets_[target].epoch};
    if (it.count < max_holders)
    {
        it.holders[it.count++] = added;
        return;
    }
    it.holders[it.next_replaced] = added;
    it.next_replaced = (it.next_replaced + 1) % max_holders;
}

void prefix_hints::dispatched(target_id const& target,
                              std::span<block_hash const> blocks)
{
    auto const index = index_of(target);
    auto const stride = settings_.stride;
    for (auto n = stride; n <= blocks.size(); n += stride)
    {
        add(entry_of(blocks[n - 1]), index);
    }
}

void prefix_hints::cache_events(target_id const& target,
                                std::span<cache_event const> events, bool gap)
{
    auto const index = index_of(target);
    if (gap)
    {
        ++targets_[index].epoch;
    }
    for (auto const& each : events)
    {
        auto const it = blocks_.find(each.block);
        if (it == blocks_.end())
        {
            continue;
        }
        if (each.stored)
        {
            add(it->second, index);
        }
        else
        {
            remove(it->second, index);
        }
    }
}

void prefix_hints::remove_target(target_id const& target)
{
    if (auto const it = indices_.find(target); it != indices_.end())
    {
        ++targets_[it->second].epoch;
        free_indices_.push_back(it->second);
        indices_.erase(it);
    }
}

auto prefix_hints::warm_targets(std::span<block_hash const> blocks) const
    -> std::vector<warm_target>
{
    auto all = std::vector<warm_target>{};
    auto const stride = settings_.stride;
    for (auto n = blocks.size() / stride * stride; n > 0; n -= stride)
    {
        auto const it = blocks_.find(blocks[n - 1]);
        if (it == blocks_.end())
        {
            continue;
        }
        for (auto k = std::uint32_t{0}; k < it->second.count; ++k)
        {
            auto const& each = it->second.holders[k];
            auto const& target = targets_[each.target];
            auto const known =
                std::ranges::find(all, target.id, &warm_target::target);
            if (each.epoch == target.epoch && known == all.end())
            {
                all.push_back({target.id, n});
            }
        }
    }
    return all;
}

} // namespace primrosedeal::routing
