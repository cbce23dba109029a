#pragma once

#include "core/ids.hpp"
#include "routing/candidate.hpp"

#include <cstddef>
#include <span>
#include <vector>

/// Hashes of a prompt's complete prefix blocks, equal to the hashes that
/// engines publish in their cache events.
namespace primrosedeal::routing
{

constexpr auto tokens_per_block = std::size_t{16};

/// Returns at most `max_blocks` hashes; longer prompts are routed by their
/// first `max_blocks` blocks.
auto prefix_blocks(std::span<token_id const> prompt, std::size_t max_blocks)
    -> std::vector<block_hash>;

} // namespace primrosedeal::routing
