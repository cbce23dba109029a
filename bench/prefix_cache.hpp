#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

/// An engine's prefix cache: blocks by their chained hash, least recently
/// used out first.
namespace primrosedeal::bench
{

class prefix_cache
{
public:
    struct change
    {
        bool stored;
        std::uint64_t block;
    };

    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}

    /// Leading blocks that are held.
    [[nodiscard]] auto match(std::span<std::uint64_t const> blocks) const
        -> std::size_t
    {
        auto n = std::size_t{0};
        while (n < blocks.size() && where_.contains(blocks[n]))
        {
            ++n;
        }
        return n;
    }

    /// Stores or refreshes; the last block is the first to go again.
    void store(std::span<std::uint64_t const> blocks)
    {
        for (auto n = blocks.size(); n > 0; --n)
        {
            touch(blocks[n - 1]);
        }
    }

    void clear()
    {
        where_.clear();
        uses_.clear();
    }

    /// Changes since the last call, for cache events.
    auto take_changes() -> std::vector<change>
    {
        return std::exchange(changes_, {});
    }

private:
    void touch(std::uint64_t block)
    {
        if (auto const it = where_.find(block); it != where_.end())
        {
            uses_.splice(uses_.begin(), uses_, it->second);
            return;
        }
        if (where_.size() >= capacity_)
        {
            changes_.push_back({false, uses_.back()});
            where_.erase(uses_.back());
            uses_.pop_back();
        }
        uses_.push_front(block);
        where_.emplace(block, uses_.begin());
        changes_.push_back({true, block});
    }

    std::size_t capacity_;
    std::list<std::uint64_t> uses_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        where_;
    std::vector<change> changes_;
};

} // namespace primrosedeal::bench
