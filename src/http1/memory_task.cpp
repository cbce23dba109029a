#include "http1/memory_task.hpp"

#include "core/overloaded.hpp"

#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <variant>

// Large blocks are mappings of their own, so that they go back to the system
// when they are freed; the rest of the heap is trimmed after a peak.
namespace primrosedeal::http1
{

namespace
{

constexpr auto period = duration{100ms};
/// Bytes of a following request kept while an answer is owed.
constexpr auto most_read_ahead = std::size_t{64} << 10U;
/// Heads of ordinary requests fit.
constexpr auto least_read_ahead = std::size_t{4} << 10U;
constexpr auto least_receive_buffer = std::size_t{4} << 10U;
/// As a connection begins. As many as wait to be accepted may fill it.
constexpr auto least_first_buffer = std::size_t{16} << 10U;
/// Of a connection whose body has been admitted.
constexpr auto body_receive_buffer = std::size_t{256} << 10U;
/// The kernel would keep up to 4 MB for a client that does not read.
constexpr auto usual_send_buffer = std::size_t{256} << 10U;
/// While many connections are open.
constexpr auto least_send_buffer = std::size_t{64} << 10U;
/// Under pressure a stream gets what a client takes in a moment.
constexpr auto pressed_flow_mark = std::size_t{256} << 10U;
constexpr auto usual_flow_mark = std::size_t{4} << 20U;
/// Blocks from this size on are mappings. glibc would raise it up to 32 MB as
/// such blocks are freed, and keep bodies in the heap.
constexpr auto mapped_from = 128 << 10;
/// A peak after which free memory is given back.
constexpr auto trimmed_peak = std::size_t{8} << 20U;

void set_size(evutil_socket_t of, int option, std::size_t bytes)
{
    auto const value = static_cast<int>(bytes);
    ::setsockopt(of, SOL_SOCKET, option, &value, sizeof value);
}

/// The window of a connection is bounded by the buffer that it began with
/// until it is raised too.
void set_receive_buffer(evutil_socket_t of, std::size_t bytes)
{
    set_size(of, SO_RCVBUF, bytes);
    auto const window = static_cast<int>(bytes);
    ::setsockopt(of, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof window);
}

auto address_of(evutil_socket_t fd) -> memory::client_address
{
    auto it = sockaddr_in{};
    auto n = socklen_t{sizeof it};
    auto const known =
        ::getpeername(fd, reinterpret_cast<sockaddr*>(&it), &n) == 0 &&
        it.sin_family == AF_INET;
    return memory::client_address{known ? ntohl(it.sin_addr.s_addr) : 0};
}

} // namespace

void memory_task::set_limits(std::optional<memory::budget> const& it,
                             std::size_t largest_body)
{
    if (it && !budget_)
    {
        ::mallopt(M_MMAP_THRESHOLD, mapped_from);
        ::mallopt(M_TRIM_THRESHOLD, mapped_from);
    }
    budget_ = it;
    auto limits = memory::account_limits{};
    limits.bytes = it.value_or(memory::budget{});
    limits.largest_body = largest_body;
    account_.set_limits(limits);
    size_listener_buffers();
}

void memory_task::set_listener(std::optional<evutil_socket_t> it)
{
    listener_ = it;
    size_listener_buffers();
}

/// The kernel gives these to connections before they are accepted.
void memory_task::size_listener_buffers()
{
    if (!budget_ || !listener_)
    {
        return;
    }
    constexpr auto most_waiting = std::size_t{1024};
    constexpr auto parts = std::size_t{4};
    set_size(*listener_, SO_RCVBUF,
             std::clamp(budget_->received / most_waiting * parts,
                        least_first_buffer, most_read_ahead));
    set_size(*listener_, SO_SNDBUF, usual_send_buffer);
}

void memory_task::size_buffers(evutil_socket_t fd)
{
    if (!budget_)
    {
        return;
    }
    auto const open = connections_.size();
    set_receive_buffer(fd,
                       memory::share_of(budget_->received / 2, open,
                                        least_receive_buffer, most_read_ahead));
    if (open > memory::assumed_connections)
    {
        set_size(fd, SO_SNDBUF, least_send_buffer);
    }
}

auto memory_task::opened(accounted_connection& it, evutil_socket_t fd)
    -> memory::connection_number
{
    auto const id = memory::connection_number{++last_number_};
    connections_.emplace(id, client{&it, fd, false});
    account_.opened(id, address_of(fd));
    size_buffers(fd);
    return id;
}

void memory_task::closed(memory::connection_number id)
{
    account_.closed(id);
    connections_.erase(id);
    arm();
}

auto memory_task::read_ahead() const -> std::size_t
{
    return budget_
               ? memory::share_of(budget_->received / 2, connections_.size(),
                                  least_read_ahead, most_read_ahead)
               : most_read_ahead;
}

auto memory_task::flow_mark() const -> std::size_t
{
    return account_.readers_press() ? pressed_flow_mark : usual_flow_mark;
}

auto memory_task::received(memory::connection_number id,
                           memory::request_progress const& it) -> bool
{
    auto const now = net::event_loop::now();
    auto const was_waiting = account_.usage().waiting;
    auto const on = account_.received(id, it, now);
    peak_ = std::max(peak_, account_.usage().held());
    if (account_.usage().waiting > was_waiting)
    {
        report(account_.group(id), "paused");
        arm();
    }
    if (on && it.held > memory::small_request)
    {
        grow_receive_buffer(id);
    }
    return on;
}

/// Its body has been reserved, and what waits unread is a part of it.
void memory_task::grow_receive_buffer(memory::connection_number id)
{
    auto& it = connections_.at(id);
    if (budget_ && account_.reserved(id) > memory::small_request &&
        !std::exchange(it.grown, true))
    {
        set_receive_buffer(
            it.fd, std::min(account_.reserved(id), body_receive_buffer));
    }
}

void memory_task::complete(memory::connection_number id, std::size_t bytes)
{
    account_.complete(id, bytes);
    peak_ = std::max(peak_, account_.usage().held());
    arm();
}

void memory_task::ended(memory::connection_number id)
{
    account_.ended(id);
    arm();
}

void memory_task::unsent(memory::connection_number id, std::size_t bytes,
                         bool taken)
{
    account_.unsent(id, bytes, taken, net::event_loop::now());
    peak_ = std::max(peak_, account_.usage().held());
}

void memory_task::limit_unsent()
{
    auto const slowest = account_.slowest_reader();
    if (!slowest)
    {
        return;
    }
    report(memory::client_group::slow_reader, "dropped");
    connections_.at(*slowest).connection->give_up();
}

void memory_task::flow_changed(bool stopped)
{
    if (!stopped)
    {
        --stopped_flows_;
        return;
    }
    ++stopped_flows_;
    report(memory::client_group::slow_reader, "paused");
    arm();
}

void memory_task::report(memory::client_group group,
                         std::string_view what) const
{
    if (on_event)
    {
        on_event({group, what, account_.usage()});
    }
}

void memory_task::arm()
{
    if (!timer_.pending() &&
        (account_.busy() || stopped_flows_ > 0 || peak_ > trimmed_peak))
    {
        timer_ =
            loop_.after_input(period, [this] { tick(net::event_loop::now()); });
    }
}

void memory_task::tick(time_point now)
{
    timer_.cancel();
    auto const due =
        account_.step(now,
                      [this](memory::connection_number id)
                      {
                          auto const it = connections_.find(id);
                          return it != connections_.end() &&
                                 it->second.connection->has_unread();
                      });
    std::for_each(due.begin(), due.end(),
                  [this](memory::decision const& it) { carry_out(it); });
    if (stopped_flows_ > 0)
    {
        check_flow(now);
    }
    trim();
    arm();
}

void memory_task::carry_out(memory::decision const& it)
{
    auto const found = connections_.find(it.connection);
    if (found == connections_.end())
    {
        return;
    }
    auto& to = *found->second.connection;
    std::visit(overloaded{[&](memory::resume_reading const&)
                          {
                              grow_receive_buffer(it.connection);
                              to.resume_reading();
                          },
                          [&](memory::reject_request const&)
                          {
                              report(it.group, "rejected");
                              to.reject_for_memory();
                          },
                          [&](memory::close_stalled const&)
                          {
                              report(it.group, "closed");
                              to.close_stalled();
                          }},
               it.what);
}

void memory_task::check_flow(time_point now)
{
    // Each call may end connections.
    auto const all = connections_;
    for (auto const& [id, it] : all)
    {
        if (connections_.contains(id))
        {
            it.connection->check_flow(now);
        }
    }
}

void memory_task::trim()
{
    constexpr auto part = 4;
    if (budget_ && peak_ > trimmed_peak &&
        account_.usage().held() < peak_ / part)
    {
        ::malloc_trim(0);
        peak_ = account_.usage().held();
    }
}

} // namespace primrosedeal::http1
