#pragma once

#include "core/ids.hpp"
#include "routing/candidate.hpp"

#include <cstddef>
#include <cstdint>

/// Rendezvous hashing over prefix blocks: all hosts prefer the same targets
/// for the same prefix without a word to each other.
namespace primrosedeal::routing
{

/// Blocks from the start that stand for a prompt's prefix: 64, or the largest
/// power of two that the prompt has; 0 for an empty prompt.
auto key_depth(std::size_t blocks) -> std::size_t;

/// The seed of all ranks of `item`: its model, version, adapter, and `key`.
auto rank_seed(work const& item, block_hash key) -> std::uint64_t;

/// Rank of `target` under a `rank_seed`; the largest is preferred.
auto rank(std::uint64_t seed, target_id const& target) -> std::uint64_t;

} // namespace primrosedeal::routing
