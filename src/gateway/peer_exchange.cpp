#include "gateway/peer_exchange.hpp"

#include "core/parse_number.hpp"
#include "net/socket_address.hpp"

#include <event2/event.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <unistd.h>

#include <msgpack.hpp>
#include <zlib.h>

#include <algorithm>
#include <cstring>
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

/// Key, value and revision.
using entry_row = std::tuple<std::string, std::string, std::int64_t>;
/// Fresh, revision, whether keys follow, the keys, and the newer entries.
using packed_state = std::tuple<bool, std::int64_t, bool, std::set<std::string>,
                                std::vector<entry_row>>;
constexpr auto max_depth = std::size_t{4};

/// Configurations of many routes shrink to a tenth, which counts on the link
/// of a small host: the size in four bytes, most significant first, and zlib's
/// stream.
constexpr auto size_bytes = std::size_t{4};

auto deflated(std::string_view bytes) -> std::string
{
    auto n = compressBound(bytes.size());
    auto out = std::string(size_bytes + n, '\0');
    auto const size = htonl(static_cast<std::uint32_t>(bytes.size()));
    std::memcpy(out.data(), &size, size_bytes);
    compress2(reinterpret_cast<Bytef*>(out.data() + size_bytes), &n,
              reinterpret_cast<Bytef const*>(bytes.data()), bytes.size(),
              Z_BEST_SPEED);
    out.resize(size_bytes + n);
    return out;
}

/// Nothing if `bytes` are no such stream or too large a one.
auto inflated(std::string_view bytes) -> std::optional<std::string>
{
    auto size = std::uint32_t{0};
    if (bytes.size() < size_bytes)
    {
        return std::nullopt;
    }
    std::memcpy(&size, bytes.data(), size_bytes);
    size = ntohl(size);
    if (size > max_state_bytes)
    {
        return std::nullopt;
    }
    auto out = std::string(size, '\0');
    auto n = uLongf{size};
    auto const ec =
        uncompress(reinterpret_cast<Bytef*>(out.data()), &n,
                   reinterpret_cast<Bytef const*>(bytes.data() + size_bytes),
                   bytes.size() - size_bytes);
    return ec == Z_OK && n == size ? std::optional{std::move(out)}
                                   : std::nullopt;
}

auto limits() -> membership::session_limits
{
    auto out = membership::session_limits{};
    // It bounds a whole fetch: a large state on a small host's link.
    out.handshake_timeout = 3s;
    out.max_body_bytes = max_state_bytes;
    // Links carry a message several times a second; their silence is noticed
    // without pings.
    out.ping_period = 60s;
    return out;
}

} // namespace

auto newer_than(external::store_revision held, entry_map const& entries,
                external::store_revision at, bool fresh) -> peer_state
{
    auto out = peer_state{fresh, at, {}, {}};
    if (at == held)
    {
        return out;
    }
    out.keys.emplace();
    for (auto const& [key, entry] : entries)
    {
        out.keys->insert(key);
        if (held < entry.at)
        {
            out.newer.emplace(key, entry);
        }
    }
    return out;
}

auto merge(entry_map const& own, peer_state const& it)
    -> std::optional<entry_map>
{
    if (!it.keys)
    {
        return std::nullopt;
    }
    auto out = it.newer;
    for (auto const& key : *it.keys)
    {
        if (out.contains(key))
        {
            continue;
        }
        auto const held = own.find(key);
        if (held == own.end())
        {
            return std::nullopt;
        }
        out.insert(*held);
    }
    return out;
}

auto encode(peer_state const& it) -> std::string
{
    auto rows = std::vector<entry_row>{};
    for (auto const& [key, entry] : it.newer)
    {
        rows.emplace_back(key, entry.value, entry.at.value());
    }
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf,
                  packed_state{it.fresh, it.at.value(), it.keys.has_value(),
                               it.keys.value_or(std::set<std::string>{}),
                               std::move(rows)});
    return deflated({buf.data(), buf.size()});
}

auto decode_peer_state(std::string const& bytes) -> std::optional<peer_state>
{
    auto const whole = inflated(bytes);
    if (!whole)
    {
        return std::nullopt;
    }
    try
    {
        auto const handle = msgpack::unpack(
            whole->data(), whole->size(), nullptr, nullptr,
            msgpack::unpack_limit(max_entries, 0, max_state_bytes, 0, 0,
                                  max_depth));
        auto fields = handle.get().as<packed_state>();
        auto out = peer_state{};
        out.fresh = std::get<0>(fields);
        out.at = external::store_revision{std::get<1>(fields)};
        if (std::get<2>(fields))
        {
            out.keys = std::move(std::get<3>(fields));
        }
        for (auto& [key, value, at] : std::get<4>(fields))
        {
            out.newer[key] = {std::move(value), external::store_revision{at}};
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
    return encode(own_(external::store_revision{*held}));
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
        --questions_;
        loop_.post([this, id] { sessions_.erase(id); });
    };
    ++questions_;
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

void peer_exchange::ask(std::vector<host_id> const& preferred,
                        std::vector<net::endpoint> const& seeds,
                        net::endpoint const& self,
                        external::store_revision held, random_source& random)
{
    if (questions_ > 0)
    {
        return;
    }
    auto all = std::set<net::endpoint>{};
    for (auto const& id : preferred)
    {
        if (auto const it = peers_.find(id); it != peers_.end())
        {
            all.insert(it->second);
        }
    }
    if (all.empty())
    {
        all.insert(seeds.begin(), seeds.end());
        for (auto const& [id, at] : peers_)
        {
            all.insert(at);
        }
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
