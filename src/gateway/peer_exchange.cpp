#include "gateway/peer_exchange.hpp"

#include "core/parse_number.hpp"
#include "fleet/store_source.hpp"
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

constexpr auto origins_body = std::string_view{"origins"};
constexpr auto configuration_body = std::string_view{"configuration"};
/// Followed by the requester's revision and, unless the store does not tell, by
/// its era.
constexpr auto state_body_prefix = std::string_view{"state/"};
constexpr auto era_separator = '/';

auto state_body_name(external::store_revision held, bool with_era)
    -> std::string
{
    auto out = std::string{state_body_prefix} + std::to_string(held.value());
    if (with_era && held.era() != external::store_era{})
    {
        out += era_separator + std::to_string(held.era().value());
    }
    return out;
}

/// Returns nothing if `name` does not ask for a state.
auto parse_state_body_name(std::string_view name)
    -> std::optional<external::store_revision>
{
    if (!name.starts_with(state_body_prefix))
    {
        return std::nullopt;
    }
    name.remove_prefix(state_body_prefix.size());
    auto const separator = std::min(name.find(era_separator), name.size());
    auto const value = parse_number<std::int64_t>(name.substr(0, separator));
    auto const era =
        separator == name.size()
            ? std::optional{std::int64_t{0}}
            : parse_number<std::int64_t>(name.substr(separator + 1));
    return value && era ? std::optional{external::store_revision{
                              *value, external::store_era{*era}}}
                        : std::nullopt;
}

constexpr auto listen_backlog = 64;
/// Time after which a second peer is asked; the first may be partitioned.
constexpr auto next_peer_delay = duration{400ms};
constexpr auto max_sessions = std::size_t{64};
/// Bytes that may wait on a link besides those on the connection. It holds the
/// changes of a release of many targets.
constexpr auto max_link_backlog = std::size_t{64} << 10U;
/// Time for the answer to a ping, less than until the next one.
constexpr auto max_link_delay = duration{800ms};
static_assert(max_link_delay < fleet::feed_timeout);
/// Largest state in bytes; a larger one is neither sent nor decompressed.
constexpr auto max_state_bytes = std::size_t{2} << 20U;

constexpr auto max_entries = std::size_t{16384};

/// Key, value and revision.
using entry_row = std::tuple<std::string, std::string, std::int64_t>;
/// `fresh`, `as_of`, whether there are keys, the keys, and the newer entries.
using packed_state = std::tuple<bool, std::int64_t, bool, std::set<std::string>,
                                std::vector<entry_row>>;
constexpr auto max_depth = std::size_t{4};

/// States are compressed: configurations with many routes shrink to a tenth,
/// which matters on the link of a small host. The format is the uncompressed
/// size in four bytes, big-endian, followed by a zlib stream.
constexpr auto size_prefix_bytes = std::size_t{4};

auto compress_state(std::string_view bytes) -> std::string
{
    auto n = compressBound(bytes.size());
    auto out = std::string(size_prefix_bytes + n, '\0');
    auto const size = htonl(static_cast<std::uint32_t>(bytes.size()));
    std::memcpy(out.data(), &size, size_prefix_bytes);
    compress2(reinterpret_cast<Bytef*>(out.data() + size_prefix_bytes), &n,
              reinterpret_cast<Bytef const*>(bytes.data()), bytes.size(),
              Z_BEST_SPEED);
    out.resize(size_prefix_bytes + n);
    return out;
}

/// Returns nothing if `bytes` are invalid or exceed `max_state_bytes`.
auto decompress_state(std::string_view bytes) -> std::optional<std::string>
{
    auto size = std::uint32_t{0};
    if (bytes.size() < size_prefix_bytes)
    {
        return std::nullopt;
    }
    std::memcpy(&size, bytes.data(), size_prefix_bytes);
    size = ntohl(size);
    if (size > max_state_bytes)
    {
        return std::nullopt;
    }
    auto out = std::string(size, '\0');
    auto n = uLongf{size};
    auto const ec = uncompress(
        reinterpret_cast<Bytef*>(out.data()), &n,
        reinterpret_cast<Bytef const*>(bytes.data() + size_prefix_bytes),
        bytes.size() - size_prefix_bytes);
    return ec == Z_OK && n == size ? std::optional{std::move(out)}
                                   : std::nullopt;
}

auto link_limits() -> membership::session_limits
{
    auto out = membership::session_limits{};
    // Bounds a whole fetch of a large state over a small host's link.
    out.handshake_timeout = 3s;
    out.max_body_bytes = max_state_bytes;
    // Links carry several messages a second, so silence is detected without
    // pings. But messages on a link that is too slow for them arrive late
    // without a silence. The answer to a ping queues behind them on the
    // connection, and the limit bounds what waits for the connection.
    out.ping_period = fleet::feed_timeout;
    out.ping_timeout = max_link_delay;
    out.max_unsent_bytes = max_link_backlog;
    return out;
}

} // namespace

auto make_peer_state(external::store_revision held, entry_map const& entries,
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
        if (held < entry.mod_revision)
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
        rows.emplace_back(key, entry.value, entry.mod_revision.value());
    }
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf,
                  packed_state{it.fresh, it.as_of.value(), it.keys.has_value(),
                               it.keys.value_or(std::set<std::string>{}),
                               std::move(rows)});
    // A second object, which earlier versions of this program skip.
    msgpack::pack(buf, it.as_of.era().value());
    return compress_state({buf.data(), buf.size()});
}

auto decode_peer_state(std::string const& bytes, external::store_era otherwise)
    -> std::optional<peer_state>
{
    auto const whole = decompress_state(bytes);
    if (!whole)
    {
        return std::nullopt;
    }
    try
    {
        auto const limit = msgpack::unpack_limit(
            max_entries, 0, max_state_bytes, 0, 0, max_depth);
        auto n = std::size_t{0};
        auto const handle = msgpack::unpack(whole->data(), whole->size(), n,
                                            nullptr, nullptr, limit);
        auto fields = handle.get().as<packed_state>();
        auto era = otherwise;
        if (n < whole->size())
        {
            era = external::store_era{msgpack::unpack(whole->data(),
                                                      whole->size(), n, nullptr,
                                                      nullptr, limit)
                                          .get()
                                          .as<std::int64_t>()};
        }
        auto out = peer_state{};
        out.fresh = std::get<0>(fields);
        out.as_of = external::store_revision{std::get<1>(fields), era};
        if (std::get<2>(fields))
        {
            out.keys = std::move(std::get<3>(fields));
        }
        for (auto& [key, value, at] : std::get<4>(fields))
        {
            out.newer[key] = {std::move(value),
                              external::store_revision{at, era}};
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
    : loop_(loop), identity_(std::move(identity)),
      state_source_(std::move(own)), on_state_(std::move(on_state))
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
        listen_backlog, reinterpret_cast<sockaddr*>(&address), sizeof address);
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
    sessions_[id] = membership::session::accept(
        loop_, fd, identity_, link_limits(), std::move(events));
}

void peer_exchange::greet(std::uint64_t id)
{
    auto const it = sessions_.find(id);
    if (it != sessions_.end() && greeting_)
    {
        followers_.insert(id);
        send_to_follower(id, greeting_());
    }
}

void peer_exchange::send_to_follower(std::uint64_t id, std::string_view bytes)
{
    feed_traffic_.sent += bytes.size();
    sessions_.at(id)->send(bytes);
}

void peer_exchange::set_greeting(std::function<std::string()> greeting)
{
    greeting_ = std::move(greeting);
}

void peer_exchange::publish(std::string_view bytes)
{
    // `send` closes a link whose peer does not read, which changes the set.
    auto const all = followers_;
    for (auto const id : all)
    {
        send_to_follower(id, bytes);
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

/// The follower's end of a link.
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
    // Links end before this object does.
    events.on_message =
        [this, held = std::weak_ptr{out}](std::string_view bytes)
    {
        if (auto const it = held.lock())
        {
            feed_traffic_.received += bytes.size();
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
    out->session = membership::session::dial(loop_, to, identity_,
                                             link_limits(), std::move(events));
    return out;
}

auto peer_exchange::body_for(std::string_view name)
    -> std::optional<std::string>
{
    if (name == origins_body && origin_source_)
    {
        return origin_source_();
    }
    if (name == configuration_body)
    {
        return packed_configuration();
    }
    auto const held = parse_state_body_name(name);
    if (!held)
    {
        return std::nullopt;
    }
    auto out = encode(state_source_(*held));
    state_traffic_.sent += out.size();
    return out;
}

void peer_exchange::fetch_state(net::endpoint const& from,
                                external::store_revision held)
{
    auto const id = next_session_++;
    auto events = membership::session_events{};
    auto const with_era = without_era_.erase(from) == 0;
    events.on_body =
        [this, from, held, with_era](std::optional<std::string> const& body)
    {
        if (!body && with_era)
        {
            without_era_.insert(from);
        }
        state_traffic_.received += body ? body->size() : 0;
        auto const it =
            body ? decode_peer_state(*body, held.era()) : std::nullopt;
        if (it && it->fresh)
        {
            next_peer_.reset();
        }
        if (it)
        {
            on_state_(*it);
        }
    };
    events.on_closed = [this, id, held]
    {
        --open_fetches_;
        loop_.post(
            [this, id, held]
            {
                sessions_.erase(id);
                fetch_from_next(held);
            });
    };
    ++open_fetches_;
    sessions_[id] = membership::session::dial(loop_, from, identity_,
                                              link_limits(), std::move(events),
                                              state_body_name(held, with_era));
}

void peer_exchange::set_origin_source(std::function<std::string()> source)
{
    origin_source_ = std::move(source);
}

void peer_exchange::fetch_origins(host_id const& from, body_handler on_result)
{
    fetch_body(from, origins_body, std::move(on_result));
}

void peer_exchange::set_configuration(std::string text)
{
    configuration_ = std::move(text);
    packed_configuration_.reset();
}

auto peer_exchange::packed_configuration() -> std::optional<std::string>
{
    if (configuration_.empty() || configuration_.size() > max_state_bytes)
    {
        return std::nullopt;
    }
    if (!packed_configuration_)
    {
        packed_configuration_ = compress_state(configuration_);
    }
    state_traffic_.sent += packed_configuration_->size();
    return packed_configuration_;
}

void peer_exchange::fetch_configuration(host_id const& from,
                                        body_handler on_result)
{
    fetch_body(from, configuration_body,
               [on_result = std::move(on_result)](
                   std::optional<std::string> const& body)
               { on_result(body ? decompress_state(*body) : std::nullopt); });
}

void peer_exchange::fetch_body(host_id const& from, std::string_view name,
                               body_handler on_result)
{
    auto const peer = peers_.find(from);
    if (peer == peers_.end())
    {
        on_result(std::nullopt);
        return;
    }
    auto const id = next_session_++;
    auto events = membership::session_events{};
    auto const result = std::make_shared<std::optional<std::string>>();
    events.on_body = [this, result](std::optional<std::string> body)
    {
        state_traffic_.received += body ? body->size() : 0;
        *result = std::move(body);
    };
    events.on_closed = [this, id, result, on_result = std::move(on_result)]
    {
        // The session calls this, so it is destroyed later.
        loop_.post([this, id] { sessions_.erase(id); });
        on_result(std::move(*result));
    };
    sessions_[id] =
        membership::session::dial(loop_, peer->second, identity_, link_limits(),
                                  std::move(events), std::string{name});
}

void peer_exchange::update_peer(host_id const& id,
                                std::optional<net::endpoint> const& at)
{
    ++peer_changes_;
    if (at)
    {
        peers_[id] = *at;
    }
    else
    {
        peers_.erase(id);
    }
}

void peer_exchange::fetch_from_peers(std::vector<host_id> const& preferred,
                                     std::vector<net::endpoint> const& seeds,
                                     net::endpoint const& self,
                                     external::store_revision held,
                                     random_source& random)
{
    if (open_fetches_ > 0)
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
    if (order.empty())
    {
        return;
    }
    next_peer_ = order.size() > 1 ? std::optional{order[1]} : std::nullopt;
    next_peer_timer_ =
        loop_.after(next_peer_delay, [this, held] { fetch_from_next(held); });
    fetch_state(order.front(), held);
}

void peer_exchange::fetch_from_next(external::store_revision held)
{
    if (auto const next = std::exchange(next_peer_, {}))
    {
        fetch_state(*next, held);
    }
}

} // namespace primrosedeal::gateway
