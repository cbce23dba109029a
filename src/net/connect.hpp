#pragma once

#include "net/http_message.hpp"

#include <string>

struct bufferevent;

/// Outgoing TCP connections.
namespace primrosedeal::net
{

/// Local IPv4 address of the connections that `connect` begins; empty: the
/// system chooses. Set before the first connection.
void set_source_address(std::string address);

/// Begins the connection of `bev`, which has no socket yet. Returns false if
/// it failed at once; no callback reports that.
auto connect(bufferevent* bev, endpoint const& to) -> bool;

} // namespace primrosedeal::net
