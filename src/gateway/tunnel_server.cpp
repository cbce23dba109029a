#include "gateway/tunnel_server.hpp"

#include "http1/request_meter.hpp"
#include "net/connect.hpp"
#include "net/connect_error.hpp"
#include "net/socket_address.hpp"
#include "net/unacknowledged.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

// Each end is read only while little of what it sent waits for the other end,
// so that a slow reader holds up its sender and nobody else. An end of the host
// or a failure of the target ends the tunnel at once. What a target sent before
// its end still goes to the host.
namespace primrosedeal::gateway
{

namespace
{

using http1::tunnel_refusal;

constexpr auto backlog = 128;

void set_nodelay(bufferevent* bev)
{
    auto const on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
               sizeof on);
}

auto queued_in(bufferevent* bev) -> std::size_t
{
    return evbuffer_get_length(bufferevent_get_input(bev));
}

auto queued_out(bufferevent* bev) -> std::size_t
{
    return evbuffer_get_length(bufferevent_get_output(bev));
}

/// libevent calls the reader again and again while bytes stay at a watermark,
/// so that these are always taken.
void set_reading(bufferevent* bev, bool on)
{
    on ? bufferevent_enable(bev, EV_READ) : bufferevent_disable(bev, EV_READ);
}

class tunnel;

} // namespace

struct tunnel_server::state
{
    state(net::event_loop& on, tunnel_limits its, tunnel_events handlers)
        : loop(on), limits(its), events(std::move(handlers))
    {
    }

    void accept(evutil_socket_t fd);

    net::event_loop& loop;
    tunnel_limits limits;
    tunnel_events events;
    evconnlistener* listener = nullptr;
    ev_token_bucket_cfg* rate = nullptr;
    bufferevent_rate_limit_group* group = nullptr;
    /// Tunnels that were admitted and have not ended.
    std::size_t open = 0;
    std::map<tunnel*, std::shared_ptr<tunnel>> tunnels;
};

namespace
{

class tunnel : public std::enable_shared_from_this<tunnel>
{
public:
    tunnel(tunnel_server::state& owner, evutil_socket_t fd)
        : owner_(owner), host_(bufferevent_socket_new(
                             owner.loop.base(), fd,
                             BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    {
        set_nodelay(host_);
        bufferevent_setcb(host_, on_host_read, on_host_written, on_host_event,
                          this);
        bufferevent_setwatermark(host_, EV_READ, 0, owner.limits.buffer);
        bufferevent_setwatermark(host_, EV_WRITE, owner.limits.buffer / 2, 0);
        bufferevent_enable(host_, EV_READ | EV_WRITE);
        arm(owner.limits.head_timeout);
    }

    tunnel(tunnel const&) = delete;
    auto operator=(tunnel const&) -> tunnel& = delete;

    ~tunnel()
    {
        close();
    }

private:
    enum class phase
    {
        reading_head,
        connecting,
        open,
        /// The host gets its last bytes.
        ending,
    };

    static void on_host_read(bufferevent* /*bev*/, void* arg)
    {
        auto const self = static_cast<tunnel*>(arg)->shared_from_this();
        switch (self->phase_)
        {
        case phase::reading_head:
            self->read_head();
            break;
        case phase::open:
            self->pass_to_target();
            break;
        case phase::ending:
            evbuffer_drain(bufferevent_get_input(self->host_),
                           queued_in(self->host_));
            break;
        case phase::connecting:
            if (queued_in(self->host_) >= self->owner_.limits.buffer)
            {
                self->finish();
            }
            break;
        }
    }

    static void on_host_written(bufferevent* /*bev*/, void* arg)
    {
        auto const self = static_cast<tunnel*>(arg)->shared_from_this();
        if (self->phase_ == phase::open)
        {
            self->pass_to_host();
        }
        else if (self->phase_ == phase::ending && queued_out(self->host_) == 0)
        {
            ::shutdown(bufferevent_getfd(self->host_), SHUT_WR);
        }
    }

    static void on_host_event(bufferevent* /*bev*/, short /*what*/, void* arg)
    {
        static_cast<tunnel*>(arg)->shared_from_this()->finish(
            tunnel_end::host_closed);
    }

    static void on_target_read(bufferevent* /*bev*/, void* arg)
    {
        static_cast<tunnel*>(arg)->shared_from_this()->pass_to_host();
    }

    static void on_target_written(bufferevent* /*bev*/, void* arg)
    {
        static_cast<tunnel*>(arg)->shared_from_this()->pass_to_target();
    }

    static void on_target_event(bufferevent* /*bev*/, short what, void* arg)
    {
        auto const self = static_cast<tunnel*>(arg)->shared_from_this();
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            self->on_connected();
        }
        else if (self->phase_ == phase::connecting)
        {
            self->refuse(net::refused_by_peer(EVUTIL_SOCKET_ERROR())
                             ? tunnel_refusal::target_refused
                             : tunnel_refusal::target_timed_out);
        }
        else
        {
            // A failed write takes the error of a reset, and the read after it
            // sees an end; libevent reports both at once.
            self->on_target_end((what & BEV_EVENT_EOF) != 0 &&
                                (what & BEV_EVENT_ERROR) == 0);
        }
    }

    void read_head()
    {
        auto* const in = bufferevent_get_input(host_);
        auto const end = evbuffer_search(in, "\r\n\r\n", 4, nullptr);
        constexpr auto empty_line = std::size_t{4};
        auto const n = end.pos < 0
                           ? evbuffer_get_length(in)
                           : static_cast<std::size_t>(end.pos) + empty_line;
        if (n > http1::max_tunnel_head)
        {
            finish();
            return;
        }
        if (end.pos < 0)
        {
            return;
        }
        auto head = std::string(n, '\0');
        evbuffer_remove(in, head.data(), n);
        auto target = http1::read_connect(head);
        if (!target)
        {
            finish();
            return;
        }
        target_id_ = std::move(*target);
        leased_ = http1::names_lease(head);
        frames_ = http1::frame_decoder{leased_};
        connect();
    }

    void connect()
    {
        auto const to = owner_.events.lookup(target_id_);
        if (!to)
        {
            refuse(tunnel_refusal::not_listed);
            return;
        }
        if (!owner_.events.admit())
        {
            refuse(tunnel_refusal::no_capacity);
            return;
        }
        admitted_ = true;
        ++owner_.open;
        phase_ = phase::connecting;
        target_ = bufferevent_socket_new(owner_.loop.base(), -1,
                                         BEV_OPT_CLOSE_ON_FREE |
                                             BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(target_, on_target_read, on_target_written,
                          on_target_event, this);
        bufferevent_setwatermark(target_, EV_READ, 0, owner_.limits.buffer);
        bufferevent_setwatermark(target_, EV_WRITE, owner_.limits.buffer / 2,
                                 0);
        bufferevent_enable(target_, EV_READ | EV_WRITE);
        if (!net::connect(target_, *to))
        {
            refuse(tunnel_refusal::target_refused);
            return;
        }
        arm(owner_.limits.connect_timeout);
    }

    void refuse(tunnel_refusal why)
    {
        auto const held = shared_from_this();
        if (owner_.events.on_refused)
        {
            owner_.events.on_refused(target_id_, why);
        }
        write_to_host(http1::write_connect_answer(why));
        end_gently();
    }

    void on_connected()
    {
        set_nodelay(target_);
        // Not the host's end, whose renewals and close have to be read at once.
        if (owner_.group != nullptr)
        {
            bufferevent_add_to_rate_limit_group(target_, owner_.group);
        }
        phase_ = phase::open;
        opened_ = true;
        active_at_ = net::event_loop::now();
        host_seen_at_ = active_at_;
        arm(leased_ ? owner_.limits.lease : owner_.limits.idle_timeout);
        write_to_host(http1::write_connect_answer(std::nullopt, leased_));
        if (owner_.events.on_opened)
        {
            owner_.events.on_opened(target_id_);
        }
        pass_to_target();
    }

    void write_to_host(std::string const& bytes)
    {
        bufferevent_write(host_, bytes.data(), bytes.size());
    }

    void pass_to_target()
    {
        if (phase_ != phase::open)
        {
            return;
        }
        auto const n = queued_in(host_);
        if (n > 0)
        {
            host_seen_at_ = net::event_loop::now();
            leased_ ? pass_frames_to_target(n) : pass_bytes_to_target(n);
        }
        if (phase_ == phase::open)
        {
            read_host(queued_out(target_) < owner_.limits.buffer,
                      net::event_loop::now());
        }
    }

    /// While the host is not read its silence says nothing.
    void read_host(bool on, time_point now)
    {
        if (on && !std::exchange(reads_host_, on))
        {
            host_seen_at_ = now;
        }
        reads_host_ = on;
        set_reading(host_, on);
    }

    void pass_bytes_to_target(std::size_t n)
    {
        traffic_.to_target += n;
        active_at_ = net::event_loop::now();
        auto* const in = bufferevent_get_input(host_);
        request_.feed({reinterpret_cast<char const*>(
                           evbuffer_pullup(in, static_cast<ev_ssize_t>(n))),
                       n});
        evbuffer_remove_buffer(in, bufferevent_get_output(target_), n);
    }

    void pass_frames_to_target(std::size_t n)
    {
        auto bytes = std::string(n, '\0');
        evbuffer_remove(bufferevent_get_input(host_), bytes.data(), n);
        auto const it = frames_.feed(bytes);
        if (it.malformed || it.ended)
        {
            finish(tunnel_end::host_failed);
            return;
        }
        if (it.renewed)
        {
            write_to_host(http1::write_renewal());
        }
        if (!it.bytes.empty())
        {
            traffic_.to_target += it.bytes.size();
            active_at_ = net::event_loop::now();
            request_.feed(it.bytes);
            bufferevent_write(target_, it.bytes.data(), it.bytes.size());
        }
    }

    void pass_to_host()
    {
        if (phase_ != phase::open)
        {
            return;
        }
        auto* const in = bufferevent_get_input(target_);
        while (evbuffer_get_length(in) > 0)
        {
            auto const n =
                std::min(evbuffer_get_length(in), http1::max_frame_bytes);
            write_to_host(http1::write_frame_head(n));
            evbuffer_remove_buffer(in, bufferevent_get_output(host_), n);
            traffic_.to_host += n;
            active_at_ = net::event_loop::now();
        }
        set_reading(target_, queued_out(host_) < owner_.limits.buffer);
    }

    void on_target_end(bool in_order)
    {
        if (phase_ != phase::open)
        {
            return;
        }
        pass_to_host();
        // The end states that the answer is whole, which is not known of one
        // that ends with its connection before the target has its request.
        if (in_order && request_.whole() &&
            net::unacknowledged_bytes(target_) == 0)
        {
            write_to_host(http1::write_frame_head(0));
        }
        end_ = in_order ? tunnel_end::target_closed : tunnel_end::target_failed;
        end_gently();
    }

    /// A close with unread bytes would destroy the last ones that were sent.
    void end_gently()
    {
        phase_ = phase::ending;
        close_target();
        arm(owner_.limits.linger);
        // Also called once the rest has left.
        bufferevent_setwatermark(host_, EV_WRITE, 0, 0);
        bufferevent_enable(host_, EV_READ | EV_WRITE);
        evbuffer_drain(bufferevent_get_input(host_), queued_in(host_));
    }

    void arm(duration after)
    {
        timer_ = owner_.loop.after_input(after, [this] { on_timer(); });
    }

    void on_timer()
    {
        if (phase_ == phase::connecting)
        {
            refuse(tunnel_refusal::target_timed_out);
            return;
        }
        if (phase_ == phase::open)
        {
            check_open(net::event_loop::now());
            return;
        }
        finish();
    }

    void check_open(time_point now)
    {
        if (!reads_host_)
        {
            host_seen_at_ = now;
        }
        auto const idle_at = active_at_ + owner_.limits.idle_timeout;
        auto const lease_ends_at = host_seen_at_ + owner_.limits.lease;
        auto const end_at =
            leased_ ? std::min(idle_at, lease_ends_at) : idle_at;
        if (now < end_at)
        {
            arm(end_at - now);
            return;
        }
        finish(now < idle_at ? tunnel_end::host_silent : tunnel_end::idle);
    }

    void finish(tunnel_end why = tunnel_end::stopped)
    {
        end_ = why;
        auto const held = shared_from_this();
        phase_ = phase::ending;
        close();
        owner_.tunnels.erase(this);
    }

    void close_target()
    {
        if (target_ != nullptr)
        {
            if (owner_.group != nullptr)
            {
                bufferevent_remove_from_rate_limit_group(target_);
            }
            bufferevent_free(std::exchange(target_, nullptr));
        }
        if (std::exchange(opened_, false) && owner_.events.on_ended)
        {
            owner_.events.on_ended(
                target_id_,
                {traffic_, end_, net::event_loop::now() - host_seen_at_});
        }
        if (std::exchange(admitted_, false))
        {
            --owner_.open;
            owner_.events.on_closed();
        }
    }

    void close()
    {
        timer_.cancel();
        close_target();
        if (host_ != nullptr)
        {
            bufferevent_free(std::exchange(host_, nullptr));
        }
    }

    tunnel_server::state& owner_;
    bufferevent* host_;
    bufferevent* target_ = nullptr;
    phase phase_ = phase::reading_head;
    target_id target_id_;
    tunnel_traffic traffic_;
    time_point active_at_{};
    /// The host renews its lease, and what it sends comes in frames.
    bool leased_ = false;
    http1::frame_decoder frames_;
    http1::request_meter request_;
    /// Time of the last byte from the host, or since which it is read again.
    time_point host_seen_at_{};
    bool reads_host_ = true;
    tunnel_end end_ = tunnel_end::stopped;
    net::timer timer_;
    bool admitted_ = false;
    bool opened_ = false;
};

} // namespace

auto to_string(tunnel_end it) -> std::string_view
{
    switch (it)
    {
    case tunnel_end::target_closed:
        return "target_closed";
    case tunnel_end::target_failed:
        return "target_failed";
    case tunnel_end::host_closed:
        return "host_closed";
    case tunnel_end::host_silent:
        return "host_silent";
    case tunnel_end::host_failed:
        return "host_failed";
    case tunnel_end::idle:
        return "idle";
    case tunnel_end::stopped:
        return "stopped";
    }
    return "unknown";
}

void tunnel_server::state::accept(evutil_socket_t fd)
{
    if (tunnels.size() >= limits.connections)
    {
        ::close(fd);
        return;
    }
    auto it = std::make_shared<tunnel>(*this, fd);
    tunnels.emplace(it.get(), it);
}

tunnel_server::tunnel_server(net::event_loop& loop, tunnel_limits limits,
                             tunnel_events events)
    : state_(std::make_unique<state>(loop, limits, std::move(events)))
{
}

tunnel_server::~tunnel_server()
{
    if (state_->listener != nullptr)
    {
        evconnlistener_free(state_->listener);
    }
    state_->tunnels.clear();
    if (state_->group != nullptr)
    {
        bufferevent_rate_limit_group_free(state_->group);
        ev_token_bucket_cfg_free(state_->rate);
    }
}

auto tunnel_server::listen(net::endpoint const& at) -> std::uint16_t
{
    auto address = net::to_sockaddr(at);
    state_->listener = evconnlistener_new_bind(
        state_->loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg)
        { static_cast<state*>(arg)->accept(fd); },
        state_.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<sockaddr*>(&address), sizeof address);
    if (state_->listener == nullptr)
    {
        throw std::runtime_error("cannot listen on " + net::to_string(at));
    }
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof bound};
    getsockname(evconnlistener_get_fd(state_->listener),
                reinterpret_cast<sockaddr*>(&bound), &n);
    return ntohs(bound.sin_port);
}

void tunnel_server::limit_rate(double bytes_per_second)
{
    if (bytes_per_second <= 0 || state_->group != nullptr)
    {
        return;
    }
    constexpr auto ticks_per_second = 10;
    constexpr auto tick = timeval{0, 1'000'000 / ticks_per_second};
    auto const bytes = static_cast<std::size_t>(
        std::max(1.0, bytes_per_second / ticks_per_second));
    state_->rate = ev_token_bucket_cfg_new(bytes, bytes, bytes, bytes, &tick);
    state_->group =
        bufferevent_rate_limit_group_new(state_->loop.base(), state_->rate);
}

auto tunnel_server::open() const -> std::size_t
{
    return state_->open;
}

} // namespace primrosedeal::gateway
