#include "http1/client.hpp"

#include "http1/request_writer.hpp"
#include "net/connect.hpp"
#include "net/connect_error.hpp"
#include "net/unacknowledged.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace primrosedeal::http1
{

namespace
{

/// Bytes that the kernel keeps in each direction. It would keep several MB of
/// a large body for a target that reads slowly, and as much of an answer that
/// is not read for its client.
constexpr auto socket_buffer = 256 << 10;

void set_socket_options(evutil_socket_t fd)
{
    auto const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &socket_buffer, sizeof socket_buffer);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &socket_buffer, sizeof socket_buffer);
}

} // namespace

auto to_string(call_error it) -> std::string_view
{
    switch (it)
    {
    case call_error::not_connected:
        return "not_connected";
    case call_error::closed_unanswered:
        return "closed_unanswered";
    case call_error::truncated:
        return "truncated";
    case call_error::malformed:
        return "malformed";
    }
    return "unknown";
}

struct client_call::state
{
    state(net::event_loop& on, bool head_request, call_events handlers,
          connection_path its)
        : loop(on), events(std::move(handlers)), path(std::move(its)),
          tunnel(std::get_if<tunnel_route>(&path)), parser(head_request),
          bev(bufferevent_socket_new(
              on.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    {
    }

    state(state const&) = delete;
    auto operator=(state const&) -> state& = delete;

    ~state()
    {
        if (bev != nullptr)
        {
            bufferevent_free(bev);
        }
    }

    void open(net::endpoint const& to, request const& message,
              duration connect_timeout)
    {
        if (bev == nullptr)
        {
            deadline =
                loop.after(0s, [this] { fail(call_error::not_connected); });
            return;
        }
        bufferevent_setcb(bev, on_read, nullptr, on_event, this);
        unsent = request_writer{message};
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        if (!net::connect(bev, tunnel == nullptr ? to : tunnel->helper))
        {
            deadline =
                loop.after(0s, [this] { fail(call_error::not_connected); });
            return;
        }
        deadline = loop.after_input(connect_timeout, [this] { on_timeout(); });
    }

    void on_timeout()
    {
        if (tunnel == nullptr)
        {
            fail(call_error::not_connected);
            return;
        }
        fail_tunnel(helper_connected ? tunnel_refusal::no_answer
                                     : tunnel_refusal::helper_unreachable);
    }

    void fail_tunnel(tunnel_refusal why)
    {
        auto const alive = std::weak_ptr{alive_mark};
        close();
        auto const refused = std::move(events.on_tunnel_refused);
        if (refused)
        {
            refused(why);
        }
        if (!alive.expired())
        {
            fail(call_error::not_connected);
        }
    }

    static void on_read(bufferevent* bev, void* arg)
    {
        auto& self = *static_cast<state*>(arg);
        auto* const in = bufferevent_get_input(bev);
        auto const n = evbuffer_get_length(in);
        if (n == 0)
        {
            return;
        }
        auto bytes = std::string(n, '\0');
        evbuffer_remove(in, bytes.data(), n);
        if (self.tunnel != nullptr)
        {
            self.on_tunnel_bytes(std::move(bytes));
            return;
        }
        self.answered = true;
        self.deliver(self.parser.feed(bytes), false);
    }

    void on_tunnel_bytes(std::string bytes)
    {
        auto const alive = std::weak_ptr{alive_mark};
        if (!connected)
        {
            helper_answer += bytes;
            auto const n = helper_answer.find("\r\n\r\n");
            if (n == std::string::npos)
            {
                if (helper_answer.size() > max_tunnel_head)
                {
                    fail_tunnel(tunnel_refusal::helper_unreachable);
                }
                return;
            }
            constexpr auto empty_line = std::size_t{4};
            bytes = helper_answer.substr(n + empty_line);
            helper_answer.resize(n + empty_line);
            if (auto const refusal = read_connect_answer(helper_answer))
            {
                fail_tunnel(*refusal);
                return;
            }
            leased = names_lease(helper_answer);
            frames = frame_decoder{leased};
            on_connected();
        }
        if (alive.expired() || bytes.empty())
        {
            return;
        }
        auto it = frames.feed(bytes);
        if (it.renewed)
        {
            on_renewed(net::event_loop::now());
        }
        run_over = run_over || it.ended;
        if (!it.bytes.empty())
        {
            answered = true;
            deliver(parser.feed(it.bytes), false);
        }
        // The handlers may have ended the call, or the answer is complete.
        if (!alive.expired() && bev != nullptr && (it.ended || it.malformed))
        {
            on_closed(!it.malformed);
        }
    }

    void on_connected()
    {
        connected = true;
        deadline.cancel();
        if (leased)
        {
            renewed_at = net::event_loop::now();
            schedule_renewal(renewed_at);
        }
        std::exchange(unsent, {}).write(bufferevent_get_output(bev), leased);
        if (events.on_connected)
        {
            events.on_connected();
        }
    }

    void schedule_renewal(time_point now)
    {
        renewal_timer = loop.after_input(
            std::max(renewed_at + lease_renewal_period - now, duration{0}),
            [this] { renew_lease(net::event_loop::now()); });
    }

    /// The next one follows the acknowledgement: before it, a further renewal
    /// would only move the time at which the helper has ended the tunnel.
    void renew_lease(time_point now)
    {
        auto const bytes = write_renewal();
        bufferevent_write(bev, bytes.data(), bytes.size());
        bytes_after_request += bytes.size();
        renewal_pending = true;
        renewed_at = now;
    }

    void on_renewed(time_point now)
    {
        renewal_pending = false;
        schedule_renewal(now);
    }

    [[nodiscard]] auto may_run_until() const -> std::optional<time_point>
    {
        // The helper learns of an end at once if it answered the last renewal.
        auto const helper_answers = !renewal_pending && !connection_failed;
        if (!leased || run_over || helper_answers)
        {
            return std::nullopt;
        }
        return renewed_at + lease_duration + lease_margin;
    }

    static void on_event(bufferevent* bev, short what, void* arg)
    {
        auto& self = *static_cast<state*>(arg);
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            set_socket_options(bufferevent_getfd(bev));
            if (self.tunnel == nullptr)
            {
                self.on_connected();
                return;
            }
            self.helper_connected = true;
            auto const bytes =
                write_connect(self.tunnel->target, self.tunnel->leased);
            bufferevent_write(bev, bytes.data(), bytes.size());
            return;
        }
        if (self.tunnel != nullptr)
        {
            // A helper that closes has ended its connection to the target.
            self.run_over = (what & BEV_EVENT_EOF) != 0;
            self.connection_failed = !self.run_over;
            // The helper ends each tunnel with its last frame.
            self.connected
                ? self.on_closed(false)
                : self.fail_tunnel(tunnel_refusal::helper_unreachable);
            return;
        }
        if (!self.connected && self.events.on_refused &&
            net::refused_by_peer(EVUTIL_SOCKET_ERROR()))
        {
            self.events.on_refused();
        }
        // A failed write takes the error of a reset from the socket, so that
        // the read after it sees an end; libevent reports both at once.
        self.on_closed((what & BEV_EVENT_EOF) != 0 &&
                       (what & BEV_EVENT_ERROR) == 0);
    }

    void on_closed(bool in_good_order)
    {
        if (!connected)
        {
            fail(call_error::not_connected);
        }
        else if (!answered)
        {
            fail(call_error::closed_unanswered);
        }
        else if (in_good_order && request_taken())
        {
            deliver(parser.feed_end(), true);
        }
        else
        {
            fail(call_error::truncated);
        }
    }

    /// Whether the other end has the whole request. A body that ends with its
    /// connection is otherwise not known to be whole: a target that fails
    /// ends its connection in the same way.
    [[nodiscard]] auto request_taken() const -> bool
    {
        return net::unacknowledged_bytes(bev) <= bytes_after_request;
    }

    /// Every handler may destroy this object.
    void deliver(response_progress it, bool ended)
    {
        auto const alive = std::weak_ptr{alive_mark};
        if (it.head && events.on_head)
        {
            events.on_head(std::move(*it.head));
        }
        if (!alive.expired() && !it.body.empty() && events.on_body)
        {
            events.on_body(it.body);
        }
        if (alive.expired())
        {
            return;
        }
        if (it.complete)
        {
            finish();
        }
        else if (ended)
        {
            fail(call_error::truncated);
        }
        else if (it.malformed)
        {
            fail(call_error::malformed);
        }
    }

    void finish()
    {
        run_over = true;
        close();
        auto const done = std::move(events.on_complete);
        if (done)
        {
            done();
        }
    }

    void fail(call_error why)
    {
        close();
        auto const failed = std::move(events.on_error);
        if (failed)
        {
            failed(why);
        }
    }

    void close()
    {
        deadline.cancel();
        renewal_timer.cancel();
        if (bev != nullptr)
        {
            bufferevent_free(std::exchange(bev, nullptr));
        }
    }

    net::event_loop& loop;
    call_events events;
    connection_path path;
    /// Points into `path`; null: a direct connection.
    tunnel_route const* tunnel;
    response_parser parser;
    std::string helper_answer;
    frame_decoder frames;
    /// Queued by the handler that cancels the connect timeout and not before:
    /// libevent could send it on a connection that has just timed out.
    request_writer unsent;
    bufferevent* bev;
    net::timer deadline;
    /// Of renewals.
    std::size_t bytes_after_request = 0;
    bool helper_connected = false;
    bool connected = false;
    bool answered = false;
    /// The helper ends the tunnel unless the lease is renewed.
    bool leased = false;
    bool renewal_pending = false;
    /// The target, or the helper's connection to it, has ended the answer.
    bool run_over = false;
    /// The tunnel's connection was lost without an end.
    bool connection_failed = false;
    /// Time of the last renewal; the request counts as one.
    time_point renewed_at{};
    net::timer renewal_timer;
    std::shared_ptr<int> alive_mark = std::make_shared<int>(0);
};

client_call::client_call(net::event_loop& loop, net::endpoint const& to,
                         request const& message, duration connect_timeout,
                         call_events events, connection_path path)
    : state_(std::make_unique<state>(loop, message.method == "HEAD",
                                     std::move(events), std::move(path)))
{
    state_->open(to, message, connect_timeout);
}

client_call::~client_call() = default;

auto client_call::may_have_sent() const -> bool
{
    return state_->connected;
}

void client_call::pause_reading(bool paused)
{
    auto* const bev = state_->bev;
    if (bev != nullptr && state_->connected && !state_->leased)
    {
        paused ? bufferevent_disable(bev, EV_READ)
               : bufferevent_enable(bev, EV_READ);
    }
}

auto client_call::may_run_until() const -> std::optional<time_point>
{
    return state_->may_run_until();
}

struct fetch::state
{
    net::http_response response;
    std::unique_ptr<client_call> call;
    net::timer deadline;
    handler done;
    net::event_loop* loop = nullptr;
    duration patience{};
    std::size_t max_body = 0;

    /// A large answer on a slow link takes long, but it keeps coming.
    void expect_progress()
    {
        deadline = loop->after_input(patience, [this] { finish(false); });
    }

    void finish(bool answered)
    {
        auto const sent = call && call->may_have_sent();
        auto const report = std::move(done);
        deadline.cancel();
        // The call's own timeout may be due in the same pass of the loop.
        call.reset();
        auto out = answered ? std::optional{std::move(response)} : std::nullopt;
        report(std::move(out), sent);
    }
};

fetch::fetch(net::event_loop& loop, net::endpoint const& to,
             request const& message, duration patience, handler done,
             std::size_t max_body, connection_path path)
    : state_(std::make_unique<state>())
{
    auto* const it = state_.get();
    it->done = std::move(done);
    it->loop = &loop;
    it->patience = patience;
    it->max_body = max_body;
    auto events = call_events{};
    events.on_head = [it](response_head head)
    {
        it->expect_progress();
        it->response.status = head.status;
        it->response.headers = std::move(head.headers);
    };
    events.on_body = [it](std::string_view bytes)
    {
        if (it->response.body.size() + bytes.size() > it->max_body)
        {
            it->finish(false);
            return;
        }
        it->expect_progress();
        it->response.body += bytes;
    };
    events.on_complete = [it]
    {
        it->finish(true);
    };
    events.on_error = [it](call_error)
    {
        it->finish(false);
    };
    it->expect_progress();
    it->call = std::make_unique<client_call>(
        loop, to, message, patience, std::move(events), std::move(path));
}

fetch::~fetch() = default;

} // namespace primrosedeal::http1
