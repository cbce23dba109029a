#include "order/outcome_cache.hpp"

#include <utility>

// A list in order of keeping with an index by key. Each entry is charged its
// texts twice (list and index) and a fixed share for the nodes.

namespace primrosedeal::order
{
namespace
{
constexpr std::size_t node_bytes = 256;
} // namespace

auto outcome_memory::cost(entry const& it) -> std::size_t
{
    auto const key = it.key.organisation.value().size() + it.key.text.size();
    return node_bytes + 2 * key + it.outcome.what.body.size();
}

void outcome_memory::drop(entries::iterator it)
{
    bytes_ -= cost(*it);
    index_.erase(it->key);
    by_age_.erase(it);
}

void outcome_memory::keep(call_key const& key, kept_outcome it)
{
    if (auto const old = index_.find(key); old != index_.end())
    {
        drop(old->second);
    }
    if (it.what.body.size() > limits_.max_body_bytes)
    {
        it.what.body.clear();
        it.what.body_dropped = true;
    }
    by_age_.push_back(entry{key, std::move(it)});
    index_.emplace(key, std::prev(by_age_.end()));
    bytes_ += cost(by_age_.back());
    while (!by_age_.empty() &&
           (index_.size() > limits_.max_outcomes || bytes_ > limits_.max_bytes))
    {
        drop(by_age_.begin());
    }
}

auto outcome_memory::find(call_key const& key) const -> kept_outcome const*
{
    auto const it = index_.find(key);
    return it == index_.end() ? nullptr : &it->second->outcome;
}

} // namespace primrosedeal::order
