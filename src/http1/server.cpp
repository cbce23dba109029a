#include "http1/server.hpp"

#include "http1/connection_limit.hpp"
#include "http1/server_connection.hpp"
#include "http1/server_state.hpp"
#include "net/socket_address.hpp"

#include <event2/listener.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

namespace primrosedeal::http1
{

namespace
{

constexpr auto backlog = 1024;

} // namespace

void server::state::accepted(evutil_socket_t fd, time_point now)
{
    auto surplus = false;
    if (connections.size() >= limits.connections.most)
    {
        auto const it = make_room(now);
        if (std::holds_alternative<close_at_once>(it))
        {
            ::close(fd);
            return;
        }
        surplus = std::holds_alternative<refuse_request>(it);
    }
    auto it = std::make_shared<server_connection>(*this, fd, surplus);
    connections.emplace(it.get(), it);
}

auto server::state::make_room(time_point now) -> connection_place
{
    auto all = std::vector<std::shared_ptr<server_connection>>{};
    auto held = std::vector<held_connection>{};
    for (auto const& [key, it] : connections)
    {
        all.push_back(it);
        held.push_back(it->describe());
    }
    auto const decision = place_connection(held, limits.connections, now);
    if (decision.spent)
    {
        all.at(*decision.spent)->close_now();
    }
    auto const* const served = std::get_if<serve>(&decision.what);
    if (served == nullptr || !served->instead_of)
    {
        return decision.what;
    }
    if (!all.at(*served->instead_of)->end_replaced())
    {
        return refuse_request{};
    }
    if (on_replaced)
    {
        on_replaced();
    }
    return decision.what;
}

server::server(net::event_loop& loop, handler on_request)
    : state_(std::make_unique<state>(loop, std::move(on_request)))
{
}

server::~server()
{
    state_->free_listener();
    state_->connections.clear();
}

auto server::listen(net::endpoint const& at) -> std::uint16_t
{
    auto address = net::to_sockaddr(at);
    auto const on_accept =
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
    {
        static_cast<state*>(arg)->accepted(fd, net::event_loop::now());
    };
    state_->listener = evconnlistener_new_bind(
        state_->loop.base(), on_accept, state_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (state_->listener == nullptr)
    {
        throw std::runtime_error("cannot listen on " + net::to_string(at));
    }
    state_->memory.set_listener(evconnlistener_get_fd(state_->listener));
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof bound};
    getsockname(evconnlistener_get_fd(state_->listener),
                reinterpret_cast<sockaddr*>(&bound), &n);
    return ntohs(bound.sin_port);
}

void server::set_limits(server_limits const& it)
{
    auto const now = net::event_loop::now();
    if (std::exchange(state_->limited, true))
    {
        state_->former_idle_timeout = state_->idle_timeout(now);
        state_->former_until = now + it.former_limits_known;
        for (auto const& [key, client] : state_->connections)
        {
            client->keep_sizes(state_->sizes());
        }
    }
    state_->limits = it;
    state_->memory.set_limits(it.memory, state_->sizes().body);
}

void server::close_after_answers()
{
    state_->closing = true;
}

void server::close_idle(time_point now)
{
    auto const all = state_->connections;
    for (auto const& [key, it] : all)
    {
        if (it->idle(now))
        {
            it->end_idle(end_reason::closed_idle);
        }
    }
}

void server::close_unanswered()
{
    auto const all = state_->connections;
    for (auto const& [key, it] : all)
    {
        it->end_unanswered();
    }
}

void server::on_dropped_input(std::function<void(dropped_input const&)> report)
{
    state_->on_dropped_input = std::move(report);
}

void server::on_rejected(std::function<void(rejected_request const&)> report)
{
    state_->on_rejected = std::move(report);
}

void server::on_replaced(std::function<void()> report)
{
    state_->on_replaced = std::move(report);
}

void server::on_memory(std::function<void(memory_event const&)> report)
{
    state_->memory.on_event = std::move(report);
}

void server::stop_listening()
{
    if (state_->listener == nullptr)
    {
        return;
    }
    // Closing the listener resets the connections that still wait in it.
    auto const from = evconnlistener_get_fd(state_->listener);
    auto fd = 0;
    for (auto i = 0;
         i < backlog && (fd >= 0 || errno == EINTR || errno == ECONNABORTED);
         ++i)
    {
        fd = ::accept4(from, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0)
        {
            state_->accepted(fd, net::event_loop::now());
        }
    }
    state_->free_listener();
}

auto server::listening() const -> bool
{
    return state_->listener != nullptr;
}

auto server::connections() const -> std::size_t
{
    return state_->connections.size();
}

} // namespace primrosedeal::http1
