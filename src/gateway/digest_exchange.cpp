#include "gateway/digest_exchange.hpp"

#include "fleet/evidence_message.hpp"
#include "net/socket_address.hpp"

#include <event2/event.h>
#include <event2/util.h>

#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Datagrams received before control returns to the event loop.
constexpr auto max_datagrams_per_read = 64;

} // namespace

digest_exchange::digest_exchange(
    net::event_loop& loop, std::function<void(fleet::digest const&)> on_digest,
    std::function<void(quarantine::report const&)> on_evidence)
    : loop_(loop), on_digest_(std::move(on_digest)),
      on_evidence_(std::move(on_evidence))
{
}

digest_exchange::~digest_exchange()
{
    if (readable_ != nullptr)
    {
        event_free(readable_);
    }
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

void digest_exchange::open(net::endpoint const& at)
{
    fd_ = ::socket(AF_INET, SOCK_DGRAM, 0);
    auto const address = net::to_sockaddr(at);
    if (fd_ < 0 || evutil_make_socket_nonblocking(fd_) != 0 ||
        ::bind(fd_, reinterpret_cast<sockaddr const*>(&address),
               sizeof address) != 0)
    {
        throw std::runtime_error("cannot bind to " + net::to_string(at));
    }
    readable_ = event_new(
        loop_.base(), fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* arg)
        { static_cast<digest_exchange*>(arg)->receive(); },
        this);
    event_add(readable_, nullptr);
}

void digest_exchange::receive()
{
    auto buf = std::string(fleet::max_digest_bytes, '\0');
    for (auto i = 0; i < max_datagrams_per_read; ++i)
    {
        auto const n = ::recv(fd_, buf.data(), buf.size(), 0);
        if (n <= 0)
        {
            return;
        }
        traffic_.received += static_cast<std::uint64_t>(n);
        auto const bytes = buf.substr(0, static_cast<std::size_t>(n));
        auto const now = net::event_loop::now();
        if (auto const evidence = fleet::decode_evidence(bytes, now))
        {
            on_evidence_(*evidence);
        }
        else if (auto const it = fleet::decode_digest(bytes, now))
        {
            on_digest_(*it);
        }
    }
}

void digest_exchange::send(std::string const& bytes, net::endpoint const& to)
{
    traffic_.sent += bytes.size();
    auto const address = net::to_sockaddr(to);
    // A send error is ignored: the next datagrams replace this one.
    static_cast<void>(
        ::sendto(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                 reinterpret_cast<sockaddr const*>(&address), sizeof address));
}

} // namespace primrosedeal::gateway
