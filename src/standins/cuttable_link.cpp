#include "standins/cuttable_link.hpp"

#include "net/connect.hpp"
#include "net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <sys/socket.h>

#include <list>
#include <stdexcept>
#include <utility>

namespace primrosedeal::standins
{

struct cuttable_link::state
{
    net::event_loop& loop;
    net::endpoint to;
    evconnlistener* listener = nullptr;
    std::uint16_t port = 0;
    std::list<connection> connections;
};

struct cuttable_link::connection
{
    state& owner;
    bufferevent* caller;
    bufferevent* callee;
    std::list<connection>::iterator self;

    connection(state& link, evutil_socket_t fd)
        : owner(link), caller(bufferevent_socket_new(link.loop.base(), fd,
                                                     BEV_OPT_CLOSE_ON_FREE)),
          callee(bufferevent_socket_new(link.loop.base(), -1,
                                        BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(caller, on_read, nullptr, on_event, this);
        bufferevent_setcb(callee, on_read, nullptr, on_event, this);
        bufferevent_enable(caller, EV_READ | EV_WRITE);
        bufferevent_enable(callee, EV_READ | EV_WRITE);
        net::connect(callee, link.to);
    }

    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;

    ~connection()
    {
        if (caller != nullptr)
        {
            bufferevent_free(caller);
        }
        bufferevent_free(callee);
    }

    static void on_read(bufferevent* bev, void* arg)
    {
        auto& it = *static_cast<connection*>(arg);
        bufferevent_write_buffer(bev == it.caller ? it.callee : it.caller,
                                 bufferevent_get_input(bev));
    }

    static void on_event(bufferevent* /*bev*/, short what, void* arg)
    {
        auto& it = *static_cast<connection*>(arg);
        if ((what & BEV_EVENT_CONNECTED) == 0)
        {
            it.owner.connections.erase(it.self);
        }
    }

    void cut()
    {
        for (auto* const it : {caller, callee})
        {
            bufferevent_disable(it, EV_READ | EV_WRITE);
            bufferevent_setcb(it, nullptr, nullptr, nullptr, nullptr);
        }
    }

    void reset_caller()
    {
        auto const now = linger{1, 0};
        setsockopt(bufferevent_getfd(caller), SOL_SOCKET, SO_LINGER, &now,
                   sizeof now);
        bufferevent_free(std::exchange(caller, nullptr));
    }
};

cuttable_link::cuttable_link(net::event_loop& loop, net::endpoint to)
    : state_(new state{loop, std::move(to), nullptr, 0, {}})
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
    if (state_->listener == nullptr)
    {
        throw std::runtime_error("cannot listen on the loopback address");
    }
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof bound};
    getsockname(evconnlistener_get_fd(state_->listener),
                reinterpret_cast<sockaddr*>(&bound), &n);
    state_->port = ntohs(bound.sin_port);
}

cuttable_link::~cuttable_link()
{
    state_->connections.clear();
    evconnlistener_free(state_->listener);
}

auto cuttable_link::port() const -> std::uint16_t
{
    return state_->port;
}

void cuttable_link::cut()
{
    evconnlistener_disable(state_->listener);
    for (auto& it : state_->connections)
    {
        it.cut();
    }
}

void cuttable_link::cut_with_reset()
{
    cut();
    for (auto& it : state_->connections)
    {
        it.reset_caller();
    }
}

} // namespace primrosedeal::standins
