#pragma once

#include <cerrno>

namespace primrosedeal::net
{

/// Whether a connection that failed with `error` was refused by the other end,
/// rather than left without an answer. libevent reports an immediate refusal
/// with any error.
inline auto refused_by_peer(int error) -> bool
{
    return error != ETIMEDOUT && error != EHOSTUNREACH &&
           error != ENETUNREACH && error != ENETDOWN;
}

} // namespace primrosedeal::net
