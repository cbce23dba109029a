#include "net/connect.hpp"

#include "net/socket_address.hpp"

#include <event2/bufferevent.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace primrosedeal::net
{

namespace
{

auto source_address() -> std::string&
{
    static auto it = std::string{};
    return it;
}

/// Returns -1 if the address is not one of this machine.
auto bound_socket(std::string const& address) -> evutil_socket_t
{
    auto const fd = ::socket(
        AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    if (fd < 0)
    {
        return fd;
    }
    // The port is chosen by `connect`, by destination: there are enough.
    auto const on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    auto const from = to_sockaddr({address, 0});
    if (::bind(fd, reinterpret_cast<sockaddr const*>(&from), sizeof from) != 0)
    {
        ::close(fd);
        return -1;
    }
    return fd;
}

} // namespace

void set_source_address(std::string address)
{
    source_address() = std::move(address);
}

auto connect(bufferevent* bev, endpoint const& to) -> bool
{
    if (!source_address().empty())
    {
        auto const fd = bound_socket(source_address());
        if (fd < 0 || bufferevent_setfd(bev, fd) != 0)
        {
            return false;
        }
    }
    auto const at = to_sockaddr(to);
    return bufferevent_socket_connect(
               bev, reinterpret_cast<sockaddr const*>(&at), sizeof at) == 0;
}

} // namespace primrosedeal::net
