#include "routing/prefix_blocks.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>

// Each block's hash is XXH64 (seed 0) over the hash of the previous block (0
// for the first) and the block's token ids, all little-endian, so equal hashes
// mean equal prefixes.
namespace primrosedeal::routing
{

namespace
{

constexpr auto hash_bytes = std::size_t{8};
constexpr auto id_bytes = std::size_t{4};
using block_bytes =
    std::array<unsigned char, hash_bytes + id_bytes * tokens_per_block>;

void put(unsigned char* to, std::uint64_t value, std::size_t n)
{
    constexpr auto bits_per_byte = 8U;
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        to[i] = static_cast<unsigned char>(value >> (bits_per_byte * i));
    }
}

} // namespace

auto prefix_blocks(std::span<token_id const> prompt, std::size_t max_blocks)
    -> std::vector<block_hash>
{
    auto const n = std::min(prompt.size() / tokens_per_block, max_blocks);
    auto hashes = std::vector<block_hash>{};
    hashes.reserve(n);
    auto previous = block_hash{0};
    auto buf = block_bytes{};
    for (auto block = std::size_t{0}; block < n; ++block)
    {
        put(buf.data(), previous, hash_bytes);
        for (auto i = std::size_t{0}; i < tokens_per_block; ++i)
        {
            auto const id = prompt[block * tokens_per_block + i].value();
            put(buf.data() + hash_bytes + id_bytes * i, id, id_bytes);
        }
        previous = XXH64(buf.data(), buf.size(), 0);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace primrosedeal::routing
