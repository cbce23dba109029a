#pragma once

#include "admission/admitter.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The CBOR form of a usage digest, small enough for one gossip record.
namespace primrosedeal::serve
{

/// The organisations that use most, as many as fit in `max_bytes`.
auto write_usage(admission::usage_digest it, std::size_t max_bytes)
    -> std::string;

/// Nothing if `bytes` is not a digest.
auto read_usage(std::string_view bytes)
    -> std::optional<admission::usage_digest>;

} // namespace primrosedeal::serve
