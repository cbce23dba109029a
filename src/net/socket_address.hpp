#pragma once

#include "net/http_message.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace primrosedeal::net
{

/// `it` as the socket calls take it; its address must be an IPv4 number.
inline auto to_sockaddr(endpoint const& it) -> sockaddr_in
{
    auto out = sockaddr_in{};
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    inet_pton(AF_INET, it.address.c_str(), &out.sin_addr);
    return out;
}

} // namespace primrosedeal::net
