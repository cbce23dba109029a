#include "order/outcome_cache.hpp"

#include <utility>

// A list in insertion order with an index by key. The cost of an entry is its
// body, its key twice (list and index) and a fixed overhead for the nodes.

namespace primrosedeal::order
{
namespace
{
constexpr std::size_t entry_overhead_bytes = 256;
} // namespace

auto outcome_cache::cost(entry const& it) -> std::size_t
{
    auto const key = it.key.organisation.value().size() + it.key.text.size();
    return entry_overhead_bytes + 2 * key + it.outcome.content.body.size();
}

void outcome_cache::evict(entries::iterator it)
{
    bytes_ -= cost(*it);
    index_.erase(it->key);
    by_age_.erase(it);
}

void outcome_cache::insert(idempotency_key const& key, cached_outcome it)
{
    if (auto const old = index_.find(key); old != index_.end())
    {
        evict(old->second);
    }
    if (it.content.body.size() > limits_.max_body_bytes)
    {
        it.content.body.clear();
        it.content.body_dropped = true;
    }
    by_age_.push_back(entry{key, std::move(it)});
    index_.emplace(key, std::prev(by_age_.end()));
    bytes_ += cost(by_age_.back());
    while (!by_age_.empty() &&
           (index_.size() > limits_.max_outcomes || bytes_ > limits_.max_bytes))
    {
        evict(by_age_.begin());
    }
}

auto outcome_cache::find(idempotency_key const& key) const
    -> cached_outcome const*
{
    auto const it = index_.find(key);
    return it == index_.end() ? nullptr : &it->second->outcome;
}

} // namespace primrosedeal::order
