#include "gateway/peer_exchange.hpp"

#include "core/parse_number.hpp"
#include "net/socket_address.hpp"

#include <event2/event.h>
#include <event2/listener.h>

#include <unistd.h>

#include <msgpack.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Followed by the revision that the asker holds.
constexpr auto state_body = std::string_view{"state/"};
/// Peers asked at a time: one may be as cut off as this host.
constexpr auto backlog = 64;
constexpr auto peers_asked = std::size_t{2};
constexpr auto max_sessions = std::size_t{64};
/// A state that is larger is not sent.
constexpr auto max_state_bytes = std::size_t{2} << 20U;

constexpr auto max_entries = std::size_t{16384};

using entry_map = std::map<std::string, std::string>;
/// Fresh, revision, whether entries follow, and the entries.
using packed_state = std::tuple<bool, std::int64_t, bool, entry_map>;

auto limits() -> membership::session_limits
{
    auto out = membership::session_limits{};
    out.handshake_timeout = 1s;
    out.max_body_bytes = max_state_bytes;
    // Links carry a message several times a second; their silence is noticed
    // without pings.
    out.ping_period = 60s;
    return out;
}

} // namespace

auto encode(peer_state const& it) -> std::string
{
    auto buf = msgpack::sbuffer{};
    auto packer = msgpack::packer{buf};
    packer.pack(packed_state{it.fresh, it.at.value(), it.entries.has_value(),
                             it.entries.value_or(entry_map{})});
    return {buf.data(), buf.size()};
}

auto decode_peer_state(std::string const& bytes) -> std::optional<peer_state>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(std::tuple_size_v<packed_state>, max_entries,
                                  max_state_bytes, 0, 0, 3));
        auto fields = handle.get().as<packed_state>();
        auto out = peer_state{};
        out.fresh = std::get<0>(fields);
        out.at = external::store_revision{std::get<1>(fields)};
        if (std::get<2>(fields))
        {
            out.entries = std::move(std::get<3>(fields));
        }
        return out;
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
    events.body_for = [this](std::string_view name)
    {
        return body_for(name);
    };
    events.on_ready = [this, id](host_id const&)
    {
        loop_.post([this, id] { greet(id); });
    };
    events.on_closed = [this, id]
    {
        followers_.erase(id);
        loop_.post([this, id] { sessions_.erase(id); });
    };
    sessions_[id] = membership::session::accept(loop_, fd, identity_, limits(),
                                                std::move(events));
}

void peer_exchange::greet(std::uint64_t id)
{
    auto const it = sessions_.find(id);
    if (it != sessions_.end() && greeting_)
    {
        followers_.insert(id);
        it->second->send(greeting_());
    }
}

void peer_exchange::set_greeting(std::function<std::string()> greeting)
{
    greeting_ = std::move(greeting);
}

void peer_exchange::publish(std::string_view bytes)
{
    // A link that takes nothing closes inside.
    auto const all = followers_;
    for (auto const id : all)
    {
        sessions_.at(id)->send(bytes);
    }
}

void peer_exchange::drop_followers()
{
    auto const all = std::exchange(followers_, {});
    for (auto const id : all)
    {
        sessions_.at(id)->close();
    }
}

auto peer_exchange::followers() const -> std::size_t
{
    return followers_.size();
}

namespace
{

/// A link to a host that is followed.
struct followed_link
{
    std::shared_ptr<membership::session> session;
    std::function<void(std::string_view)> on_message;
    std::function<void()> on_closed;

    followed_link(std::function<void(std::string_view)> message,
                  std::function<void()> closed)
        : on_message(std::move(message)), on_closed(std::move(closed))
    {
    }

    followed_link(followed_link const&) = delete;
    auto operator=(followed_link const&) -> followed_link& = delete;

    ~followed_link()
    {
        if (session)
        {
            session->close();
        }
    }
};

} // namespace

auto peer_exchange::follow(net::endpoint const& to,
                           std::function<void(std::string_view)> on_message,
                           std::function<void()> on_closed)
    -> std::shared_ptr<void>
{
    auto out = std::make_shared<followed_link>(std::move(on_message),
                                               std::move(on_closed));
    auto events = membership::session_events{};
    events.on_message = [held = std::weak_ptr{out}](std::string_view bytes)
    {
        if (auto const it = held.lock())
        {
            it->on_message(bytes);
        }
    };
    events.on_closed = [held = std::weak_ptr{out}]
    {
        if (auto const it = held.lock())
        {
            it->on_closed();
        }
    };
    out->session = membership::session::dial(loop_, to, identity_, limits(),
                                             std::move(events));
    return out;
}

auto peer_exchange::body_for(std::string_view name) const
    -> std::optional<std::string>
{
    auto const held =
        name.starts_with(state_body)
            ? parse_number<std::int64_t>(name.substr(state_body.size()))
            : std::nullopt;
    if (!held)
    {
        return std::nullopt;
    }
    auto it = own_();
    if (it.at.value() == *held)
    {
        it.entries.reset();
    }
    return encode(it);
}

void peer_exchange::fetch(net::endpoint const& from,
                          external::store_revision held)
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
    sessions_[id] = membership::session::dial(
        loop_, from, identity_, limits(), std::move(events),
        std::string{state_body} + std::to_string(held.value()));
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
                        net::endpoint const& self,
                        external::store_revision held, random_source& random)
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
        fetch(it, held);
    }
}

} // namespace primrosedeal::gateway
