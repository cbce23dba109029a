#include "http1/server_connection.hpp"

#include "http1/open_exchange.hpp"
#include "http1/response_text.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <utility>

// A connection reads one request, hands it over and parses no further until
// the answer is out; it goes on watching for the client's end. The end of a
// connection is a half-close followed by reading until the client's own end,
// since closing a socket with unread bytes would destroy the last answer.
namespace primrosedeal::http1
{

namespace
{

/// Time for a client to take something of the last answer of a connection.
constexpr auto linger = duration{2s};
/// Unsent bytes of an answer at which its client counts as gone.
constexpr auto max_unsent = std::size_t{8} << 20U;
constexpr auto request_timeout = 408;
constexpr auto unavailable = 503;
/// In seconds.
constexpr auto retry_after_full = std::string_view{"0.1"};
constexpr auto retry_after_unready = std::string_view{"0.3"};
/// Bodies that have stalled are closed within about this time.
constexpr auto retry_after_memory = std::string_view{"2"};

} // namespace

server_connection::server_connection(server::state& owner, evutil_socket_t fd,
                                     bool surplus)
    : owner_(owner), bev_(bufferevent_socket_new(owner.loop.base(), fd,
                                                 BEV_OPT_CLOSE_ON_FREE |
                                                     BEV_OPT_DEFER_CALLBACKS)),
      surplus_(surplus)
{
    auto const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(bev_, on_read, on_written, on_event, this);
    number_ = owner.memory.opened(*this, fd);
    bufferevent_setwatermark(bev_, EV_READ, 0, owner.memory.read_ahead());
    evbuffer_add_cb(bufferevent_get_output(bev_), on_output_changed, this);
    counted_ = true;
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    accepted_at_ = net::event_loop::now();
    await_client();
}

server_connection::~server_connection()
{
    close_socket();
}

auto server_connection::idle(time_point now) const -> bool
{
    return bev_ != nullptr && !answering_ && !ending_ &&
           now >= waiting_since_ + owner_.limits.min_idle_time &&
           unsent() == 0 && has_no_request();
}

auto server_connection::describe() const -> held_connection
{
    auto out = held_connection{};
    out.ending = ending_;
    out.surplus = surplus_;
    out.has_unsent = unsent() > 0;
    // A connection that waits for memory is not read, and owes nothing.
    out.owes_request = bev_ != nullptr && !answering_ && !ending_ &&
                       !waiting_ && !out.has_unsent;
    out.in_request = parser_.started();
    out.progressed_at = ending_             ? ended_at_
                        : parser_.started() ? progressed_at_
                                            : waiting_since_;
    return out;
}

void server_connection::close_now()
{
    lost(client_loss::closed);
}

auto server_connection::end_replaced() -> bool
{
    if (has_unread())
    {
        return false;
    }
    if (parser_.started())
    {
        refuse_and_end(request_timeout, {{"Retry-After", "0"}});
    }
    else
    {
        end_idle(end_reason::closed_idle);
    }
    return true;
}

auto server_connection::has_no_request() const -> bool
{
    return !parser_.started() && unread() == 0 && !has_pending_input();
}

void server_connection::keep_sizes(parse_limits const& former)
{
    if (bev_ != nullptr && !ending_ && !has_no_request())
    {
        allow(former);
        arrived_before_change_ = true;
    }
}

void server_connection::end_unanswered()
{
    if (bev_ == nullptr || answering_ || ending_)
    {
        return;
    }
    if (has_no_request())
    {
        end_idle(end_reason::closed_idle);
    }
    else if (parser_.started())
    {
        refuse_and_end(unavailable, {{"Retry-After", "0"}});
    }
}

void server_connection::end_idle(end_reason why)
{
    write(serialise_head({request_timeout, {{"Retry-After", "0"}}},
                         "Content-Length: 0", true));
    announced_ = true;
    end_gently(why);
}

void server_connection::end_gently(end_reason why)
{
    if (bev_ == nullptr || ending_)
    {
        return;
    }
    ending_ = true;
    end_reason_ = why;
    ended_at_ = net::event_loop::now();
    // What follows is read and dropped.
    if (std::exchange(waiting_, false))
    {
        bufferevent_enable(bev_, EV_READ);
    }
    arm(linger);
    if (unsent() == 0)
    {
        half_close();
    }
}

void server_connection::reply(response_head const& head, std::string_view body,
                              bool close)
{
    if (started_)
    {
        // The client would take this head for a part of the body.
        abort();
        return;
    }
    announced_ = close || owner_.closing || !keep_alive_;
    auto const framing = "Content-Length: " + std::to_string(body.size());
    write(serialise_head(head, framing, announced_));
    if (!head_request_)
    {
        write(body);
    }
    owner_.memory.limit_unsent();
    answered();
}

void server_connection::start(response_head const& head)
{
    started_ = true;
    announced_ = owner_.closing || !keep_alive_;
    write(serialise_head(head, "Transfer-Encoding: chunked", announced_));
}

void server_connection::send(std::string_view bytes)
{
    if (bytes.empty() || bev_ == nullptr)
    {
        return;
    }
    char size[20];
    auto const n = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    write({size, static_cast<std::size_t>(n)});
    write(bytes);
    write("\r\n");
    if (unsent() > max_unsent)
    {
        give_up();
    }
    owner_.memory.limit_unsent();
    if (flow_.sent(unsent(), owner_.memory.flow_mark(), net::event_loop::now()))
    {
        bufferevent_setwatermark(bev_, EV_WRITE, flow_.low_mark(), 0);
        owner_.memory.flow_changed(true);
    }
}

void server_connection::on_flow(std::function<void(bool)> work)
{
    flow_.on_change = std::move(work);
}

void server_connection::check_flow(time_point now)
{
    if (flow_.overdue(now))
    {
        owner_.memory.readers_press() ? give_up() : resume_flow(true);
    }
}

void server_connection::resume_flow(bool for_good)
{
    if (flow_.resume(for_good))
    {
        owner_.memory.flow_changed(false);
        bufferevent_setwatermark(bev_, EV_WRITE, 0, 0);
    }
}

void server_connection::give_up()
{
    stop_counting();
    owner_.loop.post(
        [self = weak_from_this()]
        {
            if (auto const it = self.lock())
            {
                it->lost(client_loss::not_reading);
            }
        });
}

void server_connection::finish()
{
    write("0\r\n\r\n");
    answered();
}

void server_connection::abort()
{
    if (answering_)
    {
        release();
        end_gently(end_reason::aborted);
    }
}

void server_connection::on_gone(std::function<void(client_loss)> work)
{
    gone_ = std::move(work);
}

void server_connection::on_read(bufferevent* /*bev*/, void* arg)
{
    auto const self = static_cast<server_connection*>(arg)->shared_from_this();
    self->parse();
}

void server_connection::on_output_changed(evbuffer* /*buffer*/,
                                          evbuffer_cb_info const* info,
                                          void* arg)
{
    auto& self = *static_cast<server_connection*>(arg);
    self.owner_.memory.unsent(self.number_,
                              info->orig_size + info->n_added - info->n_deleted,
                              info->n_deleted > 0);
}

void server_connection::stop_counting()
{
    if (std::exchange(counted_, false))
    {
        evbuffer_remove_cb(bufferevent_get_output(bev_), on_output_changed,
                           this);
        owner_.memory.unsent(number_, 0, false);
    }
}

void server_connection::on_written(bufferevent* /*bev*/, void* arg)
{
    auto const self = static_cast<server_connection*>(arg)->shared_from_this();
    if (self->bev_ != nullptr && self->unsent() <= self->flow_.low_mark())
    {
        self->resume_flow(false);
    }
    // The call may date from before the last answer was queued.
    if (self->bev_ == nullptr || self->unsent() > 0)
    {
        return;
    }
    if (self->ending_)
    {
        self->half_close();
    }
    else if (!self->answering_ && !self->parser_.started())
    {
        self->await_client();
    }
}

auto server_connection::unread() const -> std::size_t
{
    return evbuffer_get_length(bufferevent_get_input(bev_));
}

auto server_connection::has_pending_input() const -> bool
{
    auto n = 0;
    return ::ioctl(bufferevent_getfd(bev_), FIONREAD, &n) == 0 && n > 0;
}

auto server_connection::unsent() const -> std::size_t
{
    return bev_ == nullptr ? 0
                           : evbuffer_get_length(bufferevent_get_output(bev_));
}

void server_connection::on_event(bufferevent* /*bev*/, short what, void* arg)
{
    auto const self = static_cast<server_connection*>(arg)->shared_from_this();
    self->lost((what & BEV_EVENT_EOF) != 0 ? client_loss::closed
                                           : client_loss::reset);
}

void server_connection::parse()
{
    if (bev_ == nullptr || waiting_)
    {
        return;
    }
    auto* const in = bufferevent_get_input(bev_);
    if (ending_)
    {
        drop(in);
        return;
    }
    auto const was_started = parser_.started();
    allow(owner_.sizes());
    while (!answering_ && !waiting_ && evbuffer_get_length(in) > 0 &&
           parser_.error() == parse_error::none && !parser_.complete())
    {
        auto const n = evbuffer_get_contiguous_space(in);
        auto const* const data = reinterpret_cast<char const*>(
            evbuffer_pullup(in, static_cast<ev_ssize_t>(n)));
        auto const taken = parser_.feed({data, n}, sizes_);
        evbuffer_drain(in, parser_.error() == parse_error::none ? taken : n);
        account_progress();
    }
    if (parser_.error() != parse_error::none)
    {
        reject();
    }
    else if (parser_.complete())
    {
        hand_over();
    }
    else if (!answering_ && parser_.started())
    {
        on_progress(was_started);
    }
}

void server_connection::account_progress()
{
    if (parser_.error() == parse_error::none && !parser_.complete() &&
        !owner_.memory.received(number_,
                                {parser_.held() + unread(), parser_.announced(),
                                 parser_.chunked()}))
    {
        waiting_ = true;
        bufferevent_disable(bev_, EV_READ);
    }
}

auto server_connection::has_unread() const -> bool
{
    return bev_ != nullptr && (unread() > 0 || has_pending_input());
}

void server_connection::resume_reading()
{
    auto const self = shared_from_this();
    waiting_ = false;
    progressed_at_ = net::event_loop::now();
    bufferevent_enable(bev_, EV_READ);
    parse();
}

void server_connection::reject_for_memory()
{
    refuse_and_end(unavailable,
                   {{"Retry-After", std::string{retry_after_memory}}});
}

void server_connection::close_stalled()
{
    refuse_and_end(request_timeout,
                   {{"Retry-After", std::string{retry_after_memory}}});
}

void server_connection::allow(parse_limits const& sizes)
{
    sizes_ = parser_.started() || arrived_before_change_
                 ? parse_limits{std::max(sizes_.head, sizes.head),
                                std::max(sizes_.body, sizes.body)}
                 : sizes;
}

void server_connection::drop(evbuffer* in)
{
    auto const n = evbuffer_get_length(in);
    evbuffer_drain(in, n);
    if (n > 0 && !std::exchange(drop_reported_, true) &&
        owner_.on_dropped_input)
    {
        auto const now = net::event_loop::now();
        owner_.on_dropped_input({end_reason_, announced_, requests_,
                                 now - accepted_at_, now - ended_at_, n});
    }
}

void server_connection::on_progress(bool was_started)
{
    if (!was_started ||
        parser_.received() >= progressed_bytes_ + least_progress)
    {
        progressed_at_ = net::event_loop::now();
        progressed_bytes_ = parser_.received();
    }
    if (parser_.head_complete())
    {
        head_overdue_ = false;
        await_client();
    }
    else if (head_overdue_ && !has_pending_input())
    {
        refuse_and_end(request_timeout);
        return;
    }
    else if (!was_started)
    {
        await_client();
    }
    if (parser_.expects_continue() && !continued_ && !waiting_)
    {
        continued_ = true;
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void server_connection::reject()
{
    constexpr auto bad_request = 400;
    constexpr auto content_too_large = 413;
    constexpr auto head_too_large = 431;
    auto const error = parser_.error();
    auto const unknown_sizes =
        error != parse_error::malformed && !owner_.limits.sizes;
    auto const status = unknown_sizes                          ? unavailable
                        : error == parse_error::head_too_large ? head_too_large
                        : error == parse_error::body_too_large
                            ? content_too_large
                            : bad_request;
    if (owner_.on_rejected)
    {
        owner_.on_rejected({status, parser_.problem(), requests_,
                            net::event_loop::now() - accepted_at_});
    }
    refuse_and_end(status, unknown_sizes
                               ? header_list{{"Retry-After",
                                              std::string{retry_after_unready}}}
                               : header_list{});
}

void server_connection::refuse_and_end(int status, header_list headers)
{
    write(serialise_head({status, std::move(headers)}, "Content-Length: 0",
                         true));
    announced_ = true;
    owner_.memory.ended(number_);
    parser_.discard();
    end_gently(end_reason::rejected);
}

void server_connection::hand_over()
{
    if (surplus_)
    {
        refuse_and_end(unavailable,
                       {{"Retry-After", std::string{retry_after_full}}});
        return;
    }
    timer_.cancel();
    owner_.memory.complete(number_, parser_.held());
    auto message = parser_.take();
    arrived_before_change_ = arrived_before_change_ && !has_no_request();
    keep_alive_ = message.keep_alive;
    head_request_ = message.method == "HEAD";
    continued_ = false;
    head_overdue_ = false;
    answering_ = true;
    started_ = false;
    ++requests_;
    owner_.on_request(std::move(message), make_exchange());
}

void server_connection::answered()
{
    release();
    // Otherwise the client may be sending its next request already.
    if (announced_)
    {
        end_gently(end_reason::last_answer);
        return;
    }
    await_client();
    // A request that came meanwhile is parsed from a fresh stack.
    auto const self = weak_from_this();
    owner_.loop.post(
        [self]
        {
            if (auto const it = self.lock())
            {
                it->parse();
            }
        });
}

void server_connection::release()
{
    if (answering_)
    {
        answering_ = false;
        gone_ = nullptr;
        resume_flow(true);
        flow_ = {};
        owner_.memory.ended(number_);
    }
}

void server_connection::lost(client_loss how)
{
    auto const gone = std::move(gone_);
    release();
    close_socket();
    if (gone)
    {
        gone(how);
    }
    owner_.connections.erase(this);
}

void server_connection::write(std::string_view bytes)
{
    if (bev_ != nullptr)
    {
        bufferevent_write(bev_, bytes.data(), bytes.size());
        unsent_left_ = unsent();
    }
}

void server_connection::half_close()
{
    if (bev_ != nullptr)
    {
        ::shutdown(bufferevent_getfd(bev_), SHUT_WR);
    }
}

void server_connection::close_socket()
{
    timer_.cancel();
    if (bev_ != nullptr)
    {
        stop_counting();
        owner_.memory.closed(number_);
        bufferevent_free(std::exchange(bev_, nullptr));
    }
}

auto server_connection::timeout(time_point now) const -> duration
{
    auto const in_head = parser_.started() && !parser_.head_complete();
    auto const first_is_due = surplus_ && !parser_.started();
    return in_head || first_is_due ? owner_.limits.head_timeout
                                   : owner_.idle_timeout(now);
}

void server_connection::await_client()
{
    waiting_since_ = net::event_loop::now();
    arm(timeout(waiting_since_));
}

void server_connection::arm(duration after)
{
    timer_ = owner_.loop.after(after, [this] { timed_out(); });
}

void server_connection::timed_out()
{
    auto const self = shared_from_this();
    auto const now = net::event_loop::now();
    auto const reading = unsent() > 0 && unsent() < unsent_left_;
    if (waiting_)
    {
        arm(owner_.limits.idle_timeout);
    }
    else if (reading && (ending_ || !parser_.started()))
    {
        unsent_left_ = unsent();
        arm(ending_ ? linger : timeout(now));
    }
    else if (ending_)
    {
        lost(client_loss::not_reading);
    }
    else if (auto const left = waiting_since_ + timeout(now) - now; left > 0s)
    {
        // A new configuration allows longer pauses.
        arm(left);
    }
    else if (unread() > 0 || has_pending_input())
    {
        // It came while the loop was busy, and is parsed next.
        head_overdue_ = parser_.started() && !parser_.head_complete();
        arm(owner_.limits.idle_timeout);
    }
    else if (parser_.started())
    {
        refuse_and_end(request_timeout);
    }
    else
    {
        end_idle(end_reason::idle_timeout);
    }
}

auto server_connection::make_exchange() -> std::shared_ptr<exchange>
{
    return std::make_shared<open_exchange<server_connection>>(weak_from_this());
}

} // namespace primrosedeal::http1
