#include "standins/full_listener.hpp"

#include "net/socket_address.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace primrosedeal::standins
{

namespace
{

/// A connection over loopback is made at once or not at all.
constexpr auto connect_wait_ms = 20;
/// A queue of length zero holds one or two connections.
constexpr auto max_fillers = 16U;

auto open_socket() -> int
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

full_listener::full_listener() : fd_(open_socket())
{
    auto const at = net::to_sockaddr({"127.0.0.1", 0});
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof bound};
    if (fd_ < 0 ||
        ::bind(fd_, reinterpret_cast<sockaddr const*>(&at), sizeof at) != 0 ||
        ::listen(fd_, 0) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &n) != 0)
    {
        throw std::runtime_error("cannot listen on the loopback address");
    }
    port_ = ntohs(bound.sin_port);
    fill();
}

full_listener::~full_listener()
{
    for (auto const it : fillers_)
    {
        ::close(it);
    }
    ::close(fd_);
}

void full_listener::fill()
{
    auto const at = net::to_sockaddr({"127.0.0.1", port_});
    while (fillers_.size() < max_fillers)
    {
        auto const it = open_socket();
        // Not made yet in any case; `poll` tells whether it will be.
        static_cast<void>(
            ::connect(it, reinterpret_cast<sockaddr const*>(&at), sizeof at));
        auto made = pollfd{it, POLLOUT, 0};
        if (::poll(&made, 1, connect_wait_ms) == 0)
        {
            ::close(it);
            return;
        }
        fillers_.push_back(it);
    }
}

void full_listener::drain()
{
    for (auto const it : accept_all())
    {
        ::close(it);
    }
    for (auto const it : std::exchange(fillers_, {}))
    {
        ::close(it);
    }
}

auto full_listener::accept_all() -> std::vector<int>
{
    auto out = std::vector<int>{};
    for (auto it = ::accept(fd_, nullptr, nullptr); it >= 0;
         it = ::accept(fd_, nullptr, nullptr))
    {
        out.push_back(it);
    }
    return out;
}

} // namespace primrosedeal::standins
