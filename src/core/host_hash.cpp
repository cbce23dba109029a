#include "core/host_hash.hpp"

#include <xxhash.h>

namespace primrosedeal
{

auto hash_of(host_id const& it) -> std::uint64_t
{
    return XXH64(it.value().data(), it.value().size(), 0);
}

} // namespace primrosedeal
