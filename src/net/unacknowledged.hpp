#pragma once

#include <cstddef>

struct bufferevent;

/// How much of what was written on a connection has not arrived.
///
/// Load pattern: a peer ends its connection while a long message is written to
/// it. Its end acknowledges all bytes that its kernel took before, so whatever
/// is not acknowledged then was not read by it.
namespace primrosedeal::net
{

/// Bytes queued in `bev`, and those that the kernel has not sent or that the
/// peer's kernel has not acknowledged.
auto unacknowledged_bytes(bufferevent* bev) -> std::size_t;

} // namespace primrosedeal::net
