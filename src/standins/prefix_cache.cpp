#include "standins/prefix_cache.hpp"

// A list in order of use and an index into it; each touch costs O(1).
namespace primrosedeal::standins
{

namespace
{

constexpr std::size_t most_events = 65536;

} // namespace

auto prefix_cache::match(std::span<std::uint64_t const> chain) const
    -> std::size_t
{
    auto n = std::size_t{0};
    while (n < chain.size() && by_hash_.contains(chain[n]))
    {
        ++n;
    }
    return n;
}

void prefix_cache::touch(std::uint64_t block, time_point now)
{
    if (capacity_ == 0)
    {
        return;
    }
    auto const it = by_hash_.find(block);
    if (it != by_hash_.end())
    {
        order_.splice(order_.begin(), order_, it->second);
        return;
    }
    if (by_hash_.size() >= capacity_)
    {
        evict_oldest(now);
    }
    order_.push_front(block);
    by_hash_.emplace(block, order_.begin());
    log(cache_event::kind::stored, block, now);
}

void prefix_cache::evict_oldest(time_point now)
{
    auto const block = order_.back();
    order_.pop_back();
    by_hash_.erase(block);
    log(cache_event::kind::evicted, block, now);
}

void prefix_cache::log(cache_event::kind what, std::uint64_t block,
                       time_point now)
{
    events_.push_back({next_sequence_++, what, block, now});
    if (events_.size() > most_events)
    {
        events_.pop_front();
    }
}

auto prefix_cache::events(std::uint64_t since, time_point until) const
    -> std::vector<cache_event>
{
    auto found = std::vector<cache_event>{};
    for (auto const& it : events_)
    {
        if (it.sequence >= since && it.at <= until)
        {
            found.push_back(it);
        }
    }
    return found;
}

void prefix_cache::clear(time_point now)
{
    while (!order_.empty())
    {
        evict_oldest(now);
    }
}

} // namespace primrosedeal::standins
