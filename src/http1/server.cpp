#include "http1/server.hpp"

#include "http1/answer_flow.hpp"
#include "http1/memory_task.hpp"
#include "http1/open_exchange.hpp"
#include "http1/response_text.hpp"
#include "net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <map>
#include <optional>
#include <stdexcept>
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
/// Time after which a connection whose last answer is sent may be closed where
/// another one needs its descriptor.
constexpr auto least_linger = duration{200ms};
/// Unsent bytes of an answer at which its client counts as gone.
constexpr auto max_unsent = std::size_t{8} << 20U;
constexpr auto backlog = 1024;
constexpr auto request_timeout = 408;
constexpr auto unavailable = 503;
/// In seconds.
constexpr auto retry_after_full = std::string_view{"0.1"};
constexpr auto retry_after_unready = std::string_view{"0.3"};
/// Bodies that have stalled are closed within about this time.
constexpr auto retry_after_memory = std::string_view{"2"};

} // namespace

class connection;

struct server::state
{
    state(net::event_loop& on, handler handler)
        : loop(on), memory(on), on_request(std::move(handler))
    {
    }

    /// Longest idle time that clients may take for valid.
    [[nodiscard]] auto idle_timeout(time_point now) const -> duration
    {
        return now < former_until
                   ? std::max(limits.idle_timeout, former_idle_timeout)
                   : limits.idle_timeout;
    }

    [[nodiscard]] auto sizes() const -> parse_limits
    {
        return limits.sizes.value_or(parse_limits{});
    }

    net::event_loop& loop;
    memory_task memory;
    handler on_request;
    std::function<void(dropped_input const&)> on_dropped_input;
    std::function<void(rejected_request const&)> on_rejected;
    std::function<void()> on_replaced;
    server_limits limits;
    bool limited = false;
    /// The longest one of limits that clients may still go by.
    duration former_idle_timeout{};
    time_point former_until{};
    evconnlistener* listener = nullptr;
    std::map<connection*, std::shared_ptr<connection>> connections;
    bool closing = false;

    void accepted(evutil_socket_t fd, time_point now);
    /// Closes a connection that has its last answer, or that is over the limit
    /// and stalled; returns whether there was one.
    auto close_spent(time_point now) -> bool;
    /// Whether a further connection may be served: there are few enough, or a
    /// stalled one has been closed for it.
    auto make_room(time_point now) -> bool;
    void free_listener()
    {
        if (listener != nullptr)
        {
            memory.set_listener({});
            evconnlistener_free(std::exchange(listener, nullptr));
        }
    }
};

class connection : public std::enable_shared_from_this<connection>,
                   public accounted_connection
{
public:
    connection(server::state& owner, evutil_socket_t fd, bool surplus)
        : owner_(owner), bev_(bufferevent_socket_new(
                             owner.loop.base(), fd,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)),
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

    connection(connection const&) = delete;
    auto operator=(connection const&) -> connection& = delete;

    ~connection() override
    {
        close_socket();
    }

    [[nodiscard]] auto idle(time_point now) const -> bool
    {
        return bev_ != nullptr && !answering_ && !ending_ &&
               now >= waiting_since_ + owner_.limits.min_idle_time &&
               unsent() == 0 && has_no_request();
    }

    /// Its client owes it something and has sent nothing for a while.
    [[nodiscard]] auto stalled(time_point now) const -> bool
    {
        return bev_ != nullptr && !answering_ && !ending_ && !waiting_ &&
               unsent() == 0 &&
               now >= waiting_since_ + owner_.limits.stall_time;
    }

    /// Since when nothing would be lost if it were closed; empty: something
    /// would.
    [[nodiscard]] auto spent_since(time_point now) const
        -> std::optional<time_point>
    {
        if (bev_ != nullptr && ending_ && unsent() == 0 &&
            now >= ended_at_ + least_linger)
        {
            return ended_at_;
        }
        return surplus_ && stalled(now) ? std::optional{waiting_since_}
                                        : std::nullopt;
    }

    void close_spent()
    {
        lost(client_loss::closed);
    }

    [[nodiscard]] auto ending() const -> bool
    {
        return ending_;
    }

    /// A stalled request is replaced before a connection without one; among
    /// equals, the longest silence first.
    [[nodiscard]] auto replacement_order() const -> std::pair<bool, time_point>
    {
        return {!parser_.started(), waiting_since_};
    }

    /// Ends it for a further one, unless its client has just sent something.
    /// Nothing of its request has run.
    auto end_replaced() -> bool
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

    /// Nothing of a request has arrived that is not answered.
    [[nodiscard]] auto has_no_request() const -> bool
    {
        return !parser_.started() && unread() == 0 && !has_pending_input();
    }

    /// The limits change from `former`.
    void keep_sizes(parse_limits const& former)
    {
        if (bev_ != nullptr && !ending_ && !has_no_request())
        {
            allow(former);
            arrived_before_change_ = true;
        }
    }

    void end_unanswered()
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

    /// The notice answers a request that is on its way.
    void end_idle(end_reason why)
    {
        write(serialise_head({request_timeout, {{"Retry-After", "0"}}},
                             "Content-Length: 0", true));
        announced_ = true;
        end_gently(why);
    }

    void end_gently(end_reason why)
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

    void reply(response_head const& head, std::string_view body, bool close)
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

    void start(response_head const& head)
    {
        started_ = true;
        announced_ = owner_.closing || !keep_alive_;
        write(serialise_head(head, "Transfer-Encoding: chunked", announced_));
    }

    void send(std::string_view bytes)
    {
        if (bytes.empty() || bev_ == nullptr)
        {
            return;
        }
        char size[20];
        auto const n =
            std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
        write({size, static_cast<std::size_t>(n)});
        write(bytes);
        write("\r\n");
        if (unsent() > max_unsent)
        {
            give_up();
        }
        owner_.memory.limit_unsent();
        if (flow_.sent(unsent(), owner_.memory.flow_mark(),
                       net::event_loop::now()))
        {
            bufferevent_setwatermark(bev_, EV_WRITE, flow_.low_mark(), 0);
            owner_.memory.flow_changed(true);
        }
    }

    void on_flow(std::function<void(bool)> work)
    {
        flow_.on_change = std::move(work);
    }

    void check_flow(time_point now) override
    {
        if (flow_.overdue(now))
        {
            owner_.memory.readers_press() ? give_up() : resume_flow(true);
        }
    }

    /// `for_good`: the sender is not stopped again for this answer.
    void resume_flow(bool for_good)
    {
        if (flow_.resume(for_good))
        {
            owner_.memory.flow_changed(false);
            bufferevent_setwatermark(bev_, EV_WRITE, 0, 0);
        }
    }

    /// Ends the connection, from the loop, for a client that does not read.
    void give_up() override
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

    void finish()
    {
        write("0\r\n\r\n");
        answered();
    }

    void abort()
    {
        if (answering_)
        {
            release();
            end_gently(end_reason::aborted);
        }
    }

    void on_gone(std::function<void(client_loss)> work)
    {
        gone_ = std::move(work);
    }

private:
    static void on_read(bufferevent* /*bev*/, void* arg)
    {
        auto const self = static_cast<connection*>(arg)->shared_from_this();
        self->parse();
    }

    static void on_output_changed(evbuffer* /*buffer*/,
                                  evbuffer_cb_info const* info, void* arg)
    {
        auto& self = *static_cast<connection*>(arg);
        self.owner_.memory.unsent(
            self.number_, info->orig_size + info->n_added - info->n_deleted,
            info->n_deleted > 0);
    }

    void stop_counting()
    {
        if (std::exchange(counted_, false))
        {
            evbuffer_remove_cb(bufferevent_get_output(bev_), on_output_changed,
                               this);
            owner_.memory.unsent(number_, 0, false);
        }
    }

    static void on_written(bufferevent* /*bev*/, void* arg)
    {
        auto const self = static_cast<connection*>(arg)->shared_from_this();
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

    /// Bytes that have been received and not been parsed yet.
    [[nodiscard]] auto unread() const -> std::size_t
    {
        return evbuffer_get_length(bufferevent_get_input(bev_));
    }

    /// Whether bytes wait in the kernel: they came while the loop was busy.
    [[nodiscard]] auto has_pending_input() const -> bool
    {
        auto n = 0;
        return ::ioctl(bufferevent_getfd(bev_), FIONREAD, &n) == 0 && n > 0;
    }

    [[nodiscard]] auto unsent() const -> std::size_t
    {
        return bev_ == nullptr
                   ? 0
                   : evbuffer_get_length(bufferevent_get_output(bev_));
    }

    static void on_event(bufferevent* /*bev*/, short what, void* arg)
    {
        auto const self = static_cast<connection*>(arg)->shared_from_this();
        self->lost((what & BEV_EVENT_EOF) != 0 ? client_loss::closed
                                               : client_loss::reset);
    }

    void parse()
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
            evbuffer_drain(in,
                           parser_.error() == parse_error::none ? taken : n);
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

    /// Reads no further for now if there is no room for more of the request.
    void account_progress()
    {
        if (parser_.error() == parse_error::none && !parser_.complete() &&
            !owner_.memory.received(number_,
                                    {parser_.held() + unread(),
                                     parser_.announced(), parser_.chunked()}))
        {
            waiting_ = true;
            bufferevent_disable(bev_, EV_READ);
        }
    }

    [[nodiscard]] auto has_unread() const -> bool override
    {
        return bev_ != nullptr && (unread() > 0 || has_pending_input());
    }

    void resume_reading() override
    {
        auto const self = shared_from_this();
        waiting_ = false;
        bufferevent_enable(bev_, EV_READ);
        parse();
    }

    void reject_for_memory() override
    {
        refuse_and_end(unavailable,
                       {{"Retry-After", std::string{retry_after_memory}}});
    }

    void close_stalled() override
    {
        refuse_and_end(request_timeout,
                       {{"Retry-After", std::string{retry_after_memory}}});
    }

    /// Has `sizes` hold for what comes next, and none less than before for what
    /// has come already.
    void allow(parse_limits const& sizes)
    {
        sizes_ = parser_.started() || arrived_before_change_
                     ? parse_limits{std::max(sizes_.head, sizes.head),
                                    std::max(sizes_.body, sizes.body)}
                     : sizes;
    }

    void drop(evbuffer* in)
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

    /// The head has one deadline as a whole; a body must not stop coming.
    void on_progress(bool was_started)
    {
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

    void reject()
    {
        constexpr auto bad_request = 400;
        constexpr auto content_too_large = 413;
        constexpr auto head_too_large = 431;
        auto const error = parser_.error();
        auto const unknown_sizes =
            error != parse_error::malformed && !owner_.limits.sizes;
        auto const status =
            unknown_sizes                          ? unavailable
            : error == parse_error::head_too_large ? head_too_large
            : error == parse_error::body_too_large ? content_too_large
                                                   : bad_request;
        if (owner_.on_rejected)
        {
            owner_.on_rejected({status, parser_.problem(), requests_,
                                net::event_loop::now() - accepted_at_});
        }
        refuse_and_end(
            status,
            unknown_sizes
                ? header_list{{"Retry-After", std::string{retry_after_unready}}}
                : header_list{});
    }

    void refuse_and_end(int status, header_list headers = {})
    {
        write(serialise_head({status, std::move(headers)}, "Content-Length: 0",
                             true));
        announced_ = true;
        owner_.memory.ended(number_);
        parser_.discard();
        end_gently(end_reason::rejected);
    }

    void hand_over()
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

    auto make_exchange() -> std::shared_ptr<exchange>;

    void answered()
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

    void release()
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

    /// The client or its connection has gone.
    void lost(client_loss how)
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

    void write(std::string_view bytes)
    {
        if (bev_ != nullptr)
        {
            bufferevent_write(bev_, bytes.data(), bytes.size());
            unsent_left_ = unsent();
        }
    }

    void half_close()
    {
        if (bev_ != nullptr)
        {
            ::shutdown(bufferevent_getfd(bev_), SHUT_WR);
        }
    }

    void close_socket()
    {
        timer_.cancel();
        if (bev_ != nullptr)
        {
            stop_counting();
            owner_.memory.closed(number_);
            bufferevent_free(std::exchange(bev_, nullptr));
        }
    }

    /// Longest time that the client may take for what it sends next.
    [[nodiscard]] auto timeout(time_point now) const -> duration
    {
        auto const in_head = parser_.started() && !parser_.head_complete();
        auto const first_is_due = surplus_ && !parser_.started();
        return in_head || first_is_due ? owner_.limits.head_timeout
                                       : owner_.idle_timeout(now);
    }

    void await_client()
    {
        waiting_since_ = net::event_loop::now();
        arm(timeout(waiting_since_));
    }

    void arm(duration after)
    {
        timer_ = owner_.loop.after(after, [this] { timed_out(); });
    }

    void timed_out()
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
        else if (auto const left = waiting_since_ + timeout(now) - now;
                 left > 0s)
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

    server::state& owner_;
    memory::connection_number number_;
    answer_flow flow_;
    /// The account has stopped reading for now.
    bool waiting_ = false;
    bufferevent* bev_;
    request_parser parser_;
    /// The largest ones that were in force for the request being read.
    parse_limits sizes_;
    /// Some of the requests that are still to be parsed were there as the
    /// limits changed.
    bool arrived_before_change_ = false;
    net::timer timer_;
    time_point accepted_at_{};
    /// When a head began, or else the last progress.
    time_point waiting_since_{};
    time_point ended_at_{};
    std::uint64_t requests_ = 0;
    std::function<void(client_loss)> gone_;
    /// After the last write, or as the client was last seen to take some.
    std::size_t unsent_left_ = 0;
    /// Its unsent bytes are among those of the server.
    bool counted_ = false;
    /// Further than the server's limit of connections.
    bool surplus_;
    bool answering_ = false;
    /// The head of the answer has been sent.
    bool started_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    bool continued_ = false;
    /// The last head that was sent said that it ends the connection.
    bool announced_ = false;
    /// Bytes of a head waited to be read as its time ended.
    bool head_overdue_ = false;
    bool ending_ = false;
    end_reason end_reason_ = end_reason::last_answer;
    bool drop_reported_ = false;
};

void server::state::accepted(evutil_socket_t fd, time_point now)
{
    auto const most = limits.max_connections + limits.max_surplus_connections;
    if (connections.size() >= most && !close_spent(now))
    {
        ::close(fd);
        return;
    }
    auto const surplus = !make_room(now);
    auto it = std::make_shared<connection>(*this, fd, surplus);
    connections.emplace(it.get(), it);
}

auto server::state::close_spent(time_point now) -> bool
{
    auto first = std::shared_ptr<connection>{};
    auto first_since = std::optional<time_point>{};
    for (auto const& [key, it] : connections)
    {
        auto const since = it->spent_since(now);
        if (since && (!first || *since < *first_since))
        {
            first = it;
            first_since = since;
        }
    }
    if (first)
    {
        first->close_spent();
    }
    return first != nullptr;
}

auto server::state::make_room(time_point now) -> bool
{
    if (connections.size() < limits.max_connections)
    {
        return true;
    }
    auto serving = std::size_t{0};
    auto first = std::shared_ptr<connection>{};
    for (auto const& [key, it] : connections)
    {
        serving += it->ending() ? 0 : 1;
        if (it->stalled(now) &&
            (!first || it->replacement_order() < first->replacement_order()))
        {
            first = it;
        }
    }
    if (serving < limits.max_connections)
    {
        return true;
    }
    auto const replaced = first && first->end_replaced();
    if (replaced && on_replaced)
    {
        on_replaced();
    }
    return replaced;
}

auto connection::make_exchange() -> std::shared_ptr<exchange>
{
    return std::make_shared<open_exchange<connection>>(weak_from_this());
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
