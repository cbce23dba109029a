#include "routing/prefix_hints.hpp"

#include <algorithm>

// Blocks are chained hashes, so a target that holds block n held all before
// it; every n-th block is enough to know the depth. A gap or a lost target
// raises the target's generation, which makes its hints void at no cost; they
// are overwritten as their blocks are used again.

namespace primrosedeal::routing
{

auto prefix_hints::number_of(target_id const& target) -> std::uint32_t
{
    auto const [it, fresh] = numbers_.try_emplace(target, 0);
    if (!fresh)
    {
        return it->second;
    }
    if (free_.empty())
    {
        free_.push_back(static_cast<std::uint32_t>(targets_.size()));
        targets_.emplace_back();
    }
    it->second = free_.back();
    free_.pop_back();
    targets_[it->second].id = target;
    return it->second;
}

auto prefix_hints::entry_of(block_hash block) -> entry&
{
    if (auto const it = blocks_.find(block); it != blocks_.end())
    {
        uses_.splice(uses_.begin(), uses_, it->second.use);
        return it->second;
    }
    if (blocks_.size() >= settings_.max_blocks)
    {
        blocks_.erase(uses_.back());
        uses_.pop_back();
    }
    uses_.push_front(block);
    auto& it = blocks_[block];
    it.use = uses_.begin();
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
    auto const fresh = holder{target, targets_[target].generation};
    if (it.count < max_holders)
    {
        it.holders[it.count++] = fresh;
        return;
    }
    it.holders[it.next] = fresh;
    it.next = (it.next + 1) % max_holders;
}

void prefix_hints::dispatched(target_id const& target,
                              std::span<block_hash const> blocks)
{
    auto const number = number_of(target);
    auto const stride = settings_.stride;
    for (auto n = stride; n <= blocks.size(); n += stride)
    {
        add(entry_of(blocks[n - 1]), number);
    }
}

void prefix_hints::cache_events(target_id const& target,
                                std::span<cache_event const> events, bool gap)
{
    auto const number = number_of(target);
    if (gap)
    {
        ++targets_[number].generation;
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
            add(it->second, number);
        }
        else
        {
            remove(it->second, number);
        }
    }
}

void prefix_hints::forget(target_id const& target)
{
    if (auto const it = numbers_.find(target); it != numbers_.end())
    {
        ++targets_[it->second].generation;
        free_.push_back(it->second);
        numbers_.erase(it);
    }
}

auto prefix_hints::warm(std::span<block_hash const> blocks) const
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
            if (each.generation == target.generation && known == all.end())
            {
                all.push_back({target.id, n});
            }
        }
    }
    return all;
}

} // namespace primrosedeal::routing
