#include "membership/task.hpp"

#include <event2/listener.h>

#include <arpa/inet.h>

#include <map>
#include <set>
#include <stdexcept>
#include <utility>

// Performs the actions of `gossip` on real connections. If two hosts dial each
// other at the same time, both keep the connection dialled by the lower id. In
// all other cases the newer connection wins, since it replaces an unresponsive
// one.
namespace primrosedeal::membership
{

namespace
{

constexpr auto simultaneous_dial_window = duration{1s};

struct open_session
{
    std::shared_ptr<session> connection;
    host_id peer;
    net::endpoint address;
    bool dialled = false;
    bool ready = false;
    time_point ready_at{};
};

} // namespace

struct membership_task::state
{
    net::event_loop& loop;
    task_settings settings;
    task_callbacks callbacks;
    random_source random;
    std::unique_ptr<gossip> protocol;
    evconnlistener* listener = nullptr;
    std::map<std::uint64_t, open_session> sessions;
    std::map<host_id, std::uint64_t> links;
    std::uint64_t last_session = 0;
    std::uint64_t closed_bytes = 0;
    task_counters counters;
    net::timer tick_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(net::event_loop& owner_loop, task_settings own_settings,
          task_callbacks own_callbacks)
        : loop(owner_loop), settings(std::move(own_settings)),
          callbacks(std::move(own_callbacks)), random(settings.seed)
    {
    }

    state(state const&) = delete;
    auto operator=(state const&) -> state& = delete;

    ~state()
    {
        *alive = false;
        if (listener != nullptr)
        {
            evconnlistener_free(listener);
        }
    }

    void start()
    {
        listen();
        auto self = member{};
        self.id = settings.self;
        self.address = settings.listen;
        self.domain = settings.domain;
        self.start = settings.start;
        protocol = std::make_unique<gossip>(self, settings.gossip,
                                            net::event_loop::now());
        schedule_tick();
    }

    void listen()
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(settings.listen.port);
        inet_pton(AF_INET, settings.listen.address.c_str(), &address.sin_addr);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        auto* const raw = reinterpret_cast<sockaddr*>(&address);
        constexpr auto backlog = 64;
        listener = evconnlistener_new_bind(
            loop.base(),
            [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
            { static_cast<state*>(arg)->accept(fd); },
            this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
            backlog, raw, sizeof(address));
        if (listener == nullptr)
        {
            throw std::runtime_error("cannot listen on " +
                                     net::to_string(settings.listen));
        }
        auto n = socklen_t{sizeof(address)};
        getsockname(evconnlistener_get_fd(listener), raw, &n);
        settings.listen.port = ntohs(address.sin_port);
    }

    void schedule_tick()
    {
        tick_timer = loop.after(tick_period,
                                [this]
                                {
                                    schedule_tick();
                                    handle(tick{});
                                });
    }

    void handle(event const& it)
    {
        for (auto const& next_action :
             protocol->handle(it, net::event_loop::now(), random))
        {
            std::visit([this](auto const& e) { carry_out(e); }, next_action);
        }
    }

    void carry_out(membership::send const& it)
    {
        auto const found = links.find(it.to);
        if (found != links.end())
        {
            ++counters.messages_sent;
            sessions.at(found->second).connection->send(encode(it.content));
        }
    }

    void carry_out(open_link const& it)
    {
        for (auto const& [number, other] : sessions)
        {
            auto const same_peer = !it.peer.value().empty() && other.ready &&
                                   other.peer == it.peer;
            if (same_peer || (other.dialled && other.address == it.address))
            {
                return;
            }
        }
        dial(it.address);
    }

    void carry_out(replace_link const& it)
    {
        for (auto const& [number, other] : sessions)
        {
            if (other.dialled && !other.ready && other.address == it.address)
            {
                return;
            }
        }
        ++counters.links_replaced;
        dial(it.address);
    }

    void carry_out(close_link const& it)
    {
        auto const found = links.find(it.peer);
        if (found != links.end())
        {
            sessions.at(found->second).connection->close();
        }
    }

    void carry_out(deliver const& it) const
    {
        if (callbacks.on_record)
        {
            callbacks.on_record(it.update, it.from);
        }
    }

    void carry_out(member_changed const& it) const
    {
        if (callbacks.on_member)
        {
            callbacks.on_member(it.current);
        }
    }

    void carry_out(new_incarnation const& it) const
    {
        if (callbacks.on_new_incarnation)
        {
            callbacks.on_new_incarnation(it.start);
        }
    }

    [[nodiscard]] auto identity() const -> session_identity
    {
        return {settings.self, settings.secret};
    }

    auto events_for(std::uint64_t number) -> session_events
    {
        auto it = session_events{};
        it.on_ready = [this, number](host_id const& peer)
        {
            session_ready(number, peer);
        };
        it.on_message = [this, number](std::string_view bytes)
        {
            receive_message(number, bytes);
        };
        it.body_for = callbacks.body_for;
        it.on_closed = [this, number, still = alive]
        {
            if (*still)
            {
                session_closed(number);
            }
        };
        return it;
    }

    void accept(int fd)
    {
        if (sessions.size() >= settings.max_sessions)
        {
            ++counters.sessions_refused;
            evutil_closesocket(fd);
            return;
        }
        auto const number = ++last_session;
        auto& added = sessions[number];
        added.connection = session::accept(
            loop, fd, identity(), settings.sessions, events_for(number));
    }

    void dial(net::endpoint const& to)
    {
        if (sessions.size() >= settings.max_sessions)
        {
            ++counters.sessions_refused;
            return;
        }
        auto const number = ++last_session;
        auto& added = sessions[number];
        added.dialled = true;
        added.address = to;
        added.connection = session::dial(loop, to, identity(),
                                         settings.sessions, events_for(number));
    }

    void session_ready(std::uint64_t number, host_id const& peer)
    {
        auto& newer = sessions.at(number);
        if (peer == settings.self)
        {
            newer.connection->close();
            return;
        }
        newer.ready = true;
        newer.peer = peer;
        newer.ready_at = net::event_loop::now();
        auto const existing = links.find(peer);
        if (existing != links.end())
        {
            auto& older = sessions.at(existing->second);
            if (prefers_older(older, newer))
            {
                newer.connection->close();
                return;
            }
            older.connection->close();
        }
        links[peer] = number;
        handle(link_up{peer, newer.dialled});
    }

    [[nodiscard]] auto prefers_older(open_session const& older,
                                     open_session const& newer) const -> bool
    {
        auto const simultaneous =
            older.dialled != newer.dialled &&
            newer.ready_at - older.ready_at < simultaneous_dial_window;
        return simultaneous && older.dialled == (settings.self < newer.peer);
    }

    void receive_message(std::uint64_t number, std::string_view bytes)
    {
        auto const& from = sessions.at(number);
        auto it = decode(bytes);
        if (!it)
        {
            ++counters.messages_refused;
            from.connection->close();
            return;
        }
        handle(received{from.peer, std::move(*it)});
    }

    void session_closed(std::uint64_t number)
    {
        auto const found = sessions.find(number);
        if (found == sessions.end())
        {
            return;
        }
        auto const closed_session = found->second;
        closed_bytes += closed_session.connection->bytes_sent();
        sessions.erase(found);
        auto const link = links.find(closed_session.peer);
        if (link != links.end() && link->second == number)
        {
            links.erase(link);
            handle(link_down{closed_session.peer});
        }
    }
};

membership_task::membership_task(net::event_loop& loop, task_settings settings,
                                 task_callbacks callbacks)
    : state_(std::make_unique<state>(loop, std::move(settings),
                                     std::move(callbacks)))
{
    if (state_->settings.secret.empty())
    {
        throw std::invalid_argument("membership needs a secret");
    }
    state_->start();
}

membership_task::~membership_task() = default;

void membership_task::publish(record const& it)
{
    state_->handle(membership::publish{it});
}

void membership_task::add_hosts(std::vector<member> const& hosts)
{
    state_->handle(hosts_listed{hosts});
}

void membership_task::leave()
{
    state_->handle(membership::leave{});
}

void membership_task::fetch_body(
    host_id const& peer, std::string const& name,
    std::function<void(std::optional<std::string>)> done)
{
    for (auto const& it : members())
    {
        if (it.id != peer || peer == state_->settings.self)
        {
            continue;
        }
        // The callback owns the session until the session is closed.
        auto const self_reference =
            std::make_shared<std::shared_ptr<session>>();
        auto events = session_events{};
        events.on_body = std::move(done);
        events.on_closed = [self_reference]
        {
            self_reference->reset();
        };
        *self_reference =
            session::dial(state_->loop, it.address, state_->identity(),
                          state_->settings.sessions, std::move(events), name);
        return;
    }
    done(std::nullopt);
}

auto membership_task::members() const -> std::vector<member>
{
    return state_->protocol->members();
}

auto membership_task::self() const -> member const&
{
    return state_->protocol->self();
}

auto membership_task::link_count() const -> std::size_t
{
    return state_->protocol->link_count();
}

auto membership_task::protocol() const -> gossip const&
{
    return *state_->protocol;
}

auto membership_task::counters() const -> task_counters
{
    auto it = state_->counters;
    it.bytes_sent = state_->closed_bytes;
    for (auto const& [number, other] : state_->sessions)
    {
        it.bytes_sent += other.connection->bytes_sent();
    }
    return it;
}

} // namespace primrosedeal::membership
