#pragma once

#include "order/order_key.hpp"

#include <cstdint>
#include <vector>

/// A Bloom filter of fixed size over order keys. `may_contain` has no false
/// negatives. Its rate of false positives grows with the number of keys: about
/// 2% when there is one key for every ten bits.
namespace primrosedeal::order
{

class key_bloom_filter
{
public:
    explicit key_bloom_filter(std::size_t bits = std::size_t{1} << 23U);

    void add(idempotency_key const& key);

    [[nodiscard]] auto may_contain(idempotency_key const& key) const -> bool;

private:
    template <class Visit>
    void for_each_bit(idempotency_key const& key, Visit const& visit) const;

    std::vector<bool> bits_;
};

} // namespace primrosedeal::order
