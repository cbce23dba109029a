#pragma once

#include "core/ids.hpp"
#include "routing/candidate.hpp"

#include <cstddef>
#include <span>
#include <vector>

/// Hashes of a prompt's whole prefix blocks, equal to those that engines
/// publish in their cache events.
namespace primrosedeal::routing
{

constexpr auto tokens_per_block = std::size_t{16};

/// At most `max_blocks`; longer prompts share a target by their beginning.
auto prefix_blocks(std::span<token_id const> prompt, std::size_t max_blocks)
    -> std::vector<block_hash>;

} // namespace primrosedeal::routing
