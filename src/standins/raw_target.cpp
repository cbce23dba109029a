#include "standins/raw_target.hpp"

#include "net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <list>
#include <utility>

namespace primrosedeal::standins
{

namespace
{

/// Bytes handed to a connection at a time.
constexpr auto piece_bytes = std::size_t{64} << 10U;

} // namespace

struct raw_target::state
{
    raw_target& owner;
    net::event_loop& loop;
    script work;
    evconnlistener* listener = nullptr;
    std::uint16_t port = 0;
    int runs = 0;
    std::size_t sent = 0;
    int closed_by_peer = 0;
    std::list<connection> connections;
    net::timer wake_up;
    /// References to its elements stay valid as it grows.
    std::deque<std::string> received;

    void stand_still(duration time);
};

struct raw_target::connection
{
    state& owner;
    bufferevent* bev;
    std::list<connection>::iterator self;
    std::string& bytes;
    raw_answer answer;
    std::size_t queued = 0;
    std::size_t left = 0;
    bool answering = false;
    bool stood_still = false;
    bool awaits_bytes = false;
    net::timer pause;

    connection(state& target, evutil_socket_t fd)
        : owner(target), bev(bufferevent_socket_new(target.loop.base(), fd,
                                                    BEV_OPT_CLOSE_ON_FREE)),
          bytes(target.received.emplace_back())
    {
        bufferevent_setcb(bev, on_read, on_drained, on_event, this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
    }

    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;

    ~connection()
    {
        bufferevent_free(bev);
    }

    static void on_read(bufferevent* bev, void* arg)
    {
        auto& it = *static_cast<connection*>(arg);
        char buf[4096];
        auto n = bufferevent_read(bev, buf, sizeof buf);
        while (n > 0)
        {
            it.bytes.append(buf, n);
            n = bufferevent_read(bev, buf, sizeof buf);
        }
        if (it.awaits_bytes && it.bytes.size() >= it.answer.end_after_bytes)
        {
            it.awaits_bytes = false;
            it.end();
            return;
        }
        if (!it.answering && it.bytes.find("\r\n\r\n") != std::string::npos)
        {
            it.answering = true;
            ++it.owner.runs;
            it.answer = it.owner.work(it.bytes);
            if (!it.answer.reads_on)
            {
                bufferevent_disable(bev, EV_READ);
            }
            it.answer.first.empty() ? it.send_more()
                                    : it.queue(it.answer.first);
        }
    }

    void queue(std::string const& it)
    {
        queued += it.size();
        left = it.size();
        bufferevent_write(bev, it.data(), it.size());
    }

    static void on_drained(bufferevent* /*bev*/, void* arg)
    {
        auto& it = *static_cast<connection*>(arg);
        it.owner.sent += std::exchange(it.left, 0);
        if (it.owner.owner.on_sent)
        {
            it.owner.owner.on_sent();
        }
        it.send_more();
    }

    void send_more()
    {
        if (!answering)
        {
            return;
        }
        if (!answer.repeated.empty() && queued < answer.max_bytes)
        {
            auto piece = std::string{};
            while (piece.size() < piece_bytes)
            {
                piece += answer.repeated;
            }
            queue(piece);
            return;
        }
        if (answer.standstill > 0s && !std::exchange(stood_still, true))
        {
            owner.stand_still(answer.standstill);
        }
        if (!answer.rest.empty())
        {
            pause =
                owner.loop.after(answer.pause, [this]
                                 { queue(std::exchange(answer.rest, {})); });
            return;
        }
        if (answer.end == answer_end::stays_open)
        {
            return;
        }
        awaits_bytes = bytes.size() < answer.end_after_bytes;
        if (awaits_bytes)
        {
            return;
        }
        if (answer.end_pause > 0s)
        {
            pause = owner.loop.after(answer.end_pause, [this] { end(); });
            return;
        }
        end();
    }

    void end()
    {
        if (answer.end == answer_end::half_closed)
        {
            ::shutdown(bufferevent_getfd(bev), SHUT_WR);
            return;
        }
        if (answer.end == answer_end::reset)
        {
            auto const now = linger{1, 0};
            setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &now,
                       sizeof now);
        }
        owner.connections.erase(self);
    }

    static void on_event(bufferevent* /*bev*/, short /*what*/, void* arg)
    {
        auto& it = *static_cast<connection*>(arg);
        ++it.owner.closed_by_peer;
        it.owner.connections.erase(it.self);
    }
};

void raw_target::state::stand_still(duration time)
{
    evconnlistener_disable(listener);
    for (auto const& it : connections)
    {
        bufferevent_disable(it.bev, EV_READ);
    }
    wake_up = loop.after(time,
                         [this]
                         {
                             evconnlistener_enable(listener);
                             for (auto const& it : connections)
                             {
                                 bufferevent_enable(it.bev, EV_READ);
                             }
                         });
}

raw_target::raw_target(net::event_loop& loop, script work,
                       receive_window window)
    : state_(new state{
          *this, loop, std::move(work), nullptr, 0, 0, 0, 0, {}, {}, {}})
{
    auto const at = net::to_sockaddr({"127.0.0.1", 0});
    auto const on_accept =
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        auto& it = *static_cast<state*>(arg);
        it.connections.emplace_front(it, fd);
        it.connections.front().self = it.connections.begin();
    };
    constexpr auto backlog = 16;
    state_->listener = evconnlistener_new_bind(
        loop.base(), on_accept, state_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<sockaddr const*>(&at), sizeof at);
    if (window == receive_window::small)
    {
        auto const fd = evconnlistener_get_fd(state_->listener);
        auto const buffer = 4096;
        auto const segment = 1460;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof bound};
    getsockname(evconnlistener_get_fd(state_->listener),
                reinterpret_cast<sockaddr*>(&bound), &n);
    state_->port = ntohs(bound.sin_port);
}

raw_target::~raw_target()
{
    state_->connections.clear();
    evconnlistener_free(state_->listener);
}

auto raw_target::port() const -> std::uint16_t
{
    return state_->port;
}

auto raw_target::runs() const -> int
{
    return state_->runs;
}

auto raw_target::sent() const -> std::size_t
{
    return state_->sent;
}

auto raw_target::unfinished() const -> int
{
    return static_cast<int>(
        std::count_if(state_->connections.begin(), state_->connections.end(),
                      [](connection const& it) { return it.answering; }));
}

auto raw_target::received() const -> std::deque<std::string> const&
{
    return state_->received;
}

auto raw_target::closed_by_peer() const -> int
{
    return state_->closed_by_peer;
}

} // namespace primrosedeal::standins
