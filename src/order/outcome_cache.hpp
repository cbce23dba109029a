#pragma once

#include "order/order_messages.hpp"

#include <cstdint>
#include <list>
#include <map>

/// Caches the outcomes of finished orders for repeated requests, bounded in
/// entries and in bytes. The oldest entry is evicted first. Eviction is always
/// safe, because a key is not dispatched again after its outcome is evicted.
namespace primrosedeal::order
{

struct outcome_limits
{
    std::size_t max_outcomes = 20'000;
    std::size_t max_bytes = std::size_t{8} << 20U;
    /// A larger body is dropped; its status and verdict are cached.
    std::size_t max_body_bytes = std::size_t{64} << 10U;
};

struct cached_outcome
{
    /// Hash of the call, to detect a key reused for another call.
    std::uint64_t fingerprint = 0;
    reply content;
};

class outcome_cache
{
public:
    explicit outcome_cache(outcome_limits limits) : limits_(limits) {}

    /// Inserts `it` under `key` or replaces the cached outcome.
    void insert(idempotency_key const& key, cached_outcome it);

    /// Null if there is no entry. Valid until the next `insert`.
    [[nodiscard]] auto find(idempotency_key const& key) const
        -> cached_outcome const*;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return index_.size();
    }

    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    struct entry
    {
        idempotency_key key;
        cached_outcome outcome;
    };
    using entries = std::list<entry>;

    static auto cost(entry const& it) -> std::size_t;
    void evict(entries::iterator it);

    outcome_limits limits_;
    entries by_age_;
    std::map<idempotency_key, entries::iterator> index_;
    std::size_t bytes_ = 0;
};

} // namespace primrosedeal::order
