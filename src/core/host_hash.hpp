#pragma once

#include "core/ids.hpp"

#include <cstdint>

namespace primrosedeal
{

/// The same on all hosts, by which they divide duties without messages.
auto hash_of(host_id const& it) -> std::uint64_t;

} // namespace primrosedeal
