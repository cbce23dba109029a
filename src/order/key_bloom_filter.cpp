#include "order/key_bloom_filter.hpp"

#include <xxhash.h>

#include <algorithm>

// Double hashing (Kirsch and Mitzenmacher): bit i of a key is h1 + i * h2,
// where h1 and h2 are the two halves of one 128-bit hash.

namespace primrosedeal::order
{
namespace
{
constexpr std::uint64_t hashes_per_key = 4;
} // namespace

key_bloom_filter::key_bloom_filter(std::size_t bits)
    : bits_(std::max<std::size_t>(bits, 1))
{
}

template <class Visit>
void key_bloom_filter::for_each_bit(idempotency_key const& key,
                                    Visit const& visit) const
{
    auto const& organisation = key.organisation.value();
    auto const seed = XXH3_64bits(organisation.data(), organisation.size());
    auto const hash =
        XXH3_128bits_withSeed(key.text.data(), key.text.size(), seed);
    for (std::uint64_t i = 0; i < hashes_per_key; ++i)
    {
        visit((hash.low64 + i * hash.high64) % bits_.size());
    }
}

void key_bloom_filter::add(idempotency_key const& key)
{
    for_each_bit(key, [this](std::size_t i) { bits_[i] = true; });
}

auto key_bloom_filter::may_contain(idempotency_key const& key) const -> bool
{
    auto all = true;
    for_each_bit(key, [&](std::size_t i) { all = all && bits_[i]; });
    return all;
}

} // namespace primrosedeal::order
