#pragma once

#include "core/ids.hpp"
#include "routing/candidate.hpp"

#include <cstddef>
#include <cstdint>

/// Rendezvous hashing over prefix blocks: all hosts prefer the same targets
/// for the same prefix without exchanging messages.
namespace primrosedeal::routing
{

/// Number of leading blocks that identify a prompt's prefix: the largest power
/// of two up to `blocks`, at most 64; 0 for an empty prompt.
auto key_depth(std::size_t blocks) -> std::size_t;

/// Seed for `rank`: a hash of the model, version and adapter of `item` and of
/// the prefix `key`.
auto rank_seed(routing_request const& item, block_hash key) -> std::uint64_t;

/// Rank of `target` under a seed from `rank_seed`; the highest is preferred.
auto rank(std::uint64_t seed, target_id const& target) -> std::uint64_t;

} // namespace primrosedeal::routing
