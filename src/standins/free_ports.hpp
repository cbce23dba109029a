#pragma once

#include "net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace primrosedeal::standins
{

/// `n` different ports of the address `ip` that nobody listens on, for
/// listeners whose address has to be known before they listen.
auto free_ports(net::event_loop& loop, std::string const& ip, std::size_t n)
    -> std::vector<std::uint16_t>;

} // namespace primrosedeal::standins
