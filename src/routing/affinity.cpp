#include "routing/affinity.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <bit>
#include <string_view>
#include <xxhash.h>

// Strings are hashed with XXH64 rather than std::hash, because hosts running
// different builds must compute the same ranks.

namespace primrosedeal::routing
{

namespace
{

auto hash(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

auto key_depth(std::size_t blocks) -> std::size_t
{
    constexpr auto max_depth = std::size_t{64};
    return std::min(std::bit_floor(blocks), max_depth);
}

auto rank_seed(routing_request const& item, block_hash key) -> std::uint64_t
{
    auto const model = hash(item.model.value(), key);
    auto const version = hash(item.version.value(), model);
    return hash(item.adapter.value(), version);
}

auto rank(std::uint64_t seed, target_id const& target) -> std::uint64_t
{
    return mix64(hash(target.value(), seed));
}

} // namespace primrosedeal::routing
