#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

/// The prefix cache of a stand-in engine: block hashes, least recently used
/// evicted first, and the log of what was stored and evicted.
namespace primrosedeal::standins
{

struct cache_event
{
    enum class kind
    {
        stored,
        evicted,
    };

    std::uint64_t sequence = 0;
    kind what = kind::stored;
    std::uint64_t block = 0;
    time_point at;
};

class prefix_cache
{
public:
    explicit prefix_cache(std::size_t capacity_blocks)
        : capacity_(capacity_blocks)
    {
    }

    /// Leading blocks of `chain` that are cached.
    [[nodiscard]] auto match(std::span<std::uint64_t const> chain) const
        -> std::size_t;

    /// Marks `block` as used now, storing it if it is new.
    void touch(std::uint64_t block, time_point now);

    /// Events from sequence `since` on that were logged no later than
    /// `until`. Old events are forgotten.
    [[nodiscard]] auto events(std::uint64_t since, time_point until) const
        -> std::vector<cache_event>;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return by_hash_.size();
    }

    void clear(time_point now);

private:
    void log(cache_event::kind what, std::uint64_t block, time_point now);
    void evict_oldest(time_point now);

    std::size_t capacity_;
    /// Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        by_hash_;
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace primrosedeal::standins
