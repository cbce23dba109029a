#include "gateway/peer_exchange.hpp"

#include "net/socket_address.hpp"

#include <event2/event.h>
#include <event2/listener.h>

#include <unistd.h>

#include <msgpack.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

constexpr auto state_body = "state";
/// Peers asked at a time: one may be as cut off as this host.
constexpr auto backlog = 64;
constexpr auto peers_asked = std::size_t{2};
constexpr auto max_sessions = std::size_t{64};
/// A state that is larger is not sent.
constexpr auto max_state_bytes = std::size_t{2} << 20U;

constexpr auto max_entries = std::size_t{16384};

auto limits() -> membership::session_limits
{
    auto out = membership::session_limits{};
    out.handshake_timeout = 1s;
    out.max_body_bytes = max_state_bytes;
    return out;
}

} // namespace

auto encode(peer_state const& it) -> std::string
{
    auto buf = msgpack::sbuffer{};
    auto packer = msgpack::packer{buf};
    packer.pack_array(2);
    packer.pack(it.fresh);
    packer.pack(it.entries);
    return {buf.data(), buf.size()};
}

auto decode_peer_state(std::string const& bytes) -> std::optional<peer_state>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(2, max_entries, max_state_bytes, 0, 0, 3));
        auto const fields =
            handle.get()
                .as<std::tuple<bool, std::map<std::string, std::string>>>();
        return peer_state{std::get<0>(fields), std::get<1>(fields)};
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

peer_exchange::peer_exchange(net::event_loop& loop,
                             membership::session_identity identity,
                             state_source own, state_handler on_state)
    : loop_(loop), identity_(std::move(identity)), own_(std::move(own)),
      on_state_(std::move(on_state))
{
}

peer_exchange::~peer_exchange()
{
    if (listener_ != nullptr)
    {
        evconnlistener_free(listener_);
    }
}

void peer_exchange::listen(net::endpoint const& at)
{
    auto address = net::to_sockaddr(at);

    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
        { static_cast<peer_exchange*>(arg)->accept(fd); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr)
    {
        throw std::runtime_error("cannot listen on " + net::to_string(at));
    }
}

void peer_exchange::accept(int fd)
{
    if (sessions_.size() >= max_sessions)
    {
        ::close(fd);
        return;
    }
    auto const id = next_session_++;
    auto events = membership::session_events{};
    events.body_for =
        [this](std::string_view name) -> std::optional<std::string>
    {
        return name == state_body ? std::optional{encode(own_())}
                                  : std::nullopt;
    };
    events.on_closed = [this, id]
    {
        loop_.post([this, id] { sessions_.erase(id); });
    };
    sessions_[id] = membership::session::accept(loop_, fd, identity_, limits(),
                                                std::move(events));
}

void peer_exchange::fetch(net::endpoint const& from)
{
    auto const id = next_session_++;
    auto events = membership::session_events{};
    events.on_body = [this](std::optional<std::string> const& body)
    {
        auto const it = body ? decode_peer_state(*body) : std::nullopt;
        if (it)
        {
            on_state_(*it);
        }
    };
    events.on_closed = [this, id]
    {
        loop_.post([this, id] { sessions_.erase(id); });
    };
    sessions_[id] = membership::session::dial(loop_, from, identity_, limits(),
                                              std::move(events), state_body);
}

void peer_exchange::know(host_id const& id,
                         std::optional<net::endpoint> const& at)
{
    if (at)
    {
        peers_[id] = *at;
    }
    else
    {
        peers_.erase(id);
    }
}

void peer_exchange::ask(std::vector<net::endpoint> const& seeds,
                        net::endpoint const& self, random_source& random)
{
    auto all = std::set<net::endpoint>{seeds.begin(), seeds.end()};
    for (auto const& [id, at] : peers_)
    {
        all.insert(at);
    }
    all.erase(self);
    auto order = std::vector<net::endpoint>{all.begin(), all.end()};
    std::shuffle(order.begin(), order.end(), random);
    order.resize(std::min(order.size(), peers_asked));
    for (auto const& it : order)
    {
        fetch(it);
    }
}

} // namespace primrosedeal::gateway
