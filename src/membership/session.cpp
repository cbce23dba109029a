#include "membership/session.hpp"

#include "membership/message.hpp"
#include "membership/proof.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

// nghttp2 turns bytes into frames and back; a bufferevent carries the bytes.
// Messages go as DATA of one stream, each behind its length in four bytes.
// nghttp2 must not be asked for output inside its own callbacks, so output is
// pumped after input was taken in.
namespace primrosedeal::membership
{

namespace
{

constexpr auto link_path = std::string_view{"/link"};
constexpr auto body_path = std::string_view{"/body"};
constexpr auto client_role = std::string_view{"client"};
constexpr auto server_role = std::string_view{"server"};
constexpr auto length_bytes = std::size_t{4};
constexpr auto max_streams = 1U;

/// Headers of the one request or answer of a connection.
struct handshake
{
    std::string path;
    std::string status;
    std::string host;
    std::string nonce;
    std::string proof;
    std::string body;
};

auto header(std::string_view name, std::string_view value) -> nghttp2_nv
{
    auto const bytes = [](std::string_view it)
    {
        // nghttp2 takes pointers to non-const and copies what they point to.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-*)
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

auto field_of(handshake& it, std::string_view name) -> std::string*
{
    auto const fields =
        std::array<std::pair<std::string_view, std::string*>, 6>{
            {{":path", &it.path},
             {":status", &it.status},
             {"x-host", &it.host},
             {"x-nonce", &it.nonce},
             {"x-proof", &it.proof},
             {"x-body", &it.body}}};
    auto const* const found =
        std::find_if(fields.begin(), fields.end(),
                     [&](auto const& field) { return field.first == name; });
    return found == fields.end() ? nullptr : found->second;
}

} // namespace

struct session::state : std::enable_shared_from_this<session::state>
{
    net::event_loop& loop;
    session_identity identity;
    session_limits limits;
    session_events events;
    bool is_client;
    bufferevent* bev = nullptr;
    nghttp2_session* h2 = nullptr;
    std::int32_t stream = -1;
    handshake sent;
    handshake got;
    std::size_t header_bytes = 0;
    std::string in;
    std::string out;
    std::uint64_t sent_bytes = 0;
    bool ready = false;
    bool ends_after_out = false;
    bool closed = false;
    bool receiving = false;
    net::timer handshake_timer;
    net::timer ping_timer;
    net::timer pong_timer;

    state(net::event_loop& on, session_identity who, session_limits bounds,
          session_events what, bool client)
        : loop(on), identity(std::move(who)), limits(bounds),
          events(std::move(what)), is_client(client)
    {
    }

    state(state const&) = delete;
    auto operator=(state const&) -> state& = delete;

    ~state()
    {
        release();
    }

    void release()
    {
        nghttp2_session_del(std::exchange(h2, nullptr));
        if (bev != nullptr)
        {
            bufferevent_free(std::exchange(bev, nullptr));
        }
    }

    [[nodiscard]] auto is_fetch() const -> bool
    {
        return !sent.body.empty();
    }

    void start(int fd)
    {
        bev = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            bev,
            [](bufferevent*, void* arg)
            { static_cast<state*>(arg)->take_input(); },
            nullptr,
            [](bufferevent*, short what, void* arg)
            { static_cast<state*>(arg)->take_event(what); },
            this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        make_h2();
        handshake_timer = loop.after(limits.handshake_timeout,
                                     [this]
                                     {
                                         if (!ready)
                                         {
                                             close();
                                         }
                                     });
    }

    void make_h2()
    {
        nghttp2_session_callbacks* calls = nullptr;
        nghttp2_session_callbacks_new(&calls);
        nghttp2_session_callbacks_set_on_header_callback(calls, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(calls, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls,
                                                                  on_data);
        nghttp2_session_callbacks_set_on_stream_close_callback(calls,
                                                               on_stream_end);
        if (is_client)
        {
            nghttp2_session_client_new(&h2, calls, this);
        }
        else
        {
            nghttp2_session_server_new(&h2, calls, this);
        }
        nghttp2_session_callbacks_del(calls);
        auto const entries = std::array<nghttp2_settings_entry, 3>{
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
             {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
             {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
              static_cast<std::uint32_t>(limits.max_header_bytes)}}};
        nghttp2_submit_settings(h2, NGHTTP2_FLAG_NONE, entries.data(),
                                entries.size());
    }

    void connect(net::endpoint const& to)
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
        request();
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        auto* const raw = reinterpret_cast<sockaddr*>(&address);
        if (bufferevent_socket_connect(bev, raw, sizeof(address)) != 0)
        {
            close();
        }
    }

    void request()
    {
        sent.nonce = make_nonce();
        sent.proof = make_proof(identity.secret, client_role,
                                identity.self.value(), sent.nonce);
        auto headers = std::vector<nghttp2_nv>{
            header(":method", "POST"),
            header(":scheme", "http"),
            header(":authority", "primrosedeal"),
            header(":path", is_fetch() ? body_path : link_path),
            header("x-host", identity.self.value()),
            header("x-nonce", sent.nonce),
            header("x-proof", sent.proof)};
        if (is_fetch())
        {
            headers.push_back(header("x-body", sent.body));
        }
        auto provider = output();
        stream =
            nghttp2_submit_request(h2, nullptr, headers.data(), headers.size(),
                                   is_fetch() ? nullptr : &provider, this);
    }

    auto output() -> nghttp2_data_provider
    {
        auto it = nghttp2_data_provider{};
        it.source.ptr = this;
        it.read_callback = read_output;
        return it;
    }

    void respond(std::string const& status)
    {
        sent.proof = make_proof(identity.secret, server_role,
                                identity.self.value(), got.nonce);
        auto const accepted = status == "200";
        auto const headers = std::array<nghttp2_nv, 3>{
            header(":status", status), header("x-host", identity.self.value()),
            header("x-proof", sent.proof)};
        auto provider = output();
        nghttp2_submit_response(h2, stream, headers.data(),
                                accepted ? headers.size() : 1,
                                accepted ? &provider : nullptr);
    }

    /// The request's headers are complete.
    void serve()
    {
        auto const expected =
            make_proof(identity.secret, client_role, got.host, got.nonce);
        if (identity.secret.empty() || got.host.empty() ||
            got.host.size() > max_key_bytes || !same_proof(expected, got.proof))
        {
            respond("403");
            nghttp2_session_terminate_session(h2, NGHTTP2_NO_ERROR);
            return;
        }
        if (got.path == link_path)
        {
            respond("200");
            become_ready();
            return;
        }
        auto body = events.body_for && got.path == body_path
                        ? events.body_for(got.body)
                        : std::nullopt;
        ends_after_out = true;
        out = body.value_or("");
        respond(body ? "200" : "404");
    }

    /// The answer's headers are complete.
    void take_answer()
    {
        auto const expected =
            make_proof(identity.secret, server_role, got.host, sent.nonce);
        if (got.status != "200" || !same_proof(expected, got.proof))
        {
            close();
            return;
        }
        if (!is_fetch())
        {
            become_ready();
        }
    }

    void become_ready()
    {
        ready = true;
        handshake_timer.cancel();
        schedule_ping();
        if (events.on_ready)
        {
            events.on_ready(host_id{got.host});
        }
    }

    void schedule_ping()
    {
        ping_timer =
            loop.after(limits.ping_period,
                       [this]
                       {
                           nghttp2_submit_ping(h2, NGHTTP2_FLAG_NONE, nullptr);
                           pong_timer = loop.after(limits.ping_timeout,
                                                   [this] { close(); });
                           schedule_ping();
                           pump();
                       });
    }

    void take_input()
    {
        auto const keep = shared_from_this();
        auto* const buf = bufferevent_get_input(bev);
        constexpr auto chunk_bytes = std::size_t{16384};
        auto chunk = std::array<std::uint8_t, chunk_bytes>{};
        while (!closed && evbuffer_get_length(buf) > 0)
        {
            auto const n = evbuffer_remove(buf, chunk.data(), chunk.size());
            receiving = true;
            auto const used = nghttp2_session_mem_recv(
                h2, chunk.data(), static_cast<std::size_t>(n));
            receiving = false;
            if (used < 0)
            {
                close();
                return;
            }
        }
        pump();
    }

    void take_event(short what)
    {
        auto const keep = shared_from_this();
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            auto const on = 1;
            setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
                       sizeof(on));
            pump();
            return;
        }
        close();
    }

    void pump()
    {
        if (closed || receiving)
        {
            return;
        }
        auto* const buf = bufferevent_get_output(bev);
        std::uint8_t const* data = nullptr;
        auto n = nghttp2_session_mem_send(h2, &data);
        while (n > 0)
        {
            evbuffer_add(buf, data, static_cast<std::size_t>(n));
            sent_bytes += static_cast<std::uint64_t>(n);
            n = nghttp2_session_mem_send(h2, &data);
        }
        auto const unsent = out.size() + evbuffer_get_length(buf);
        auto const stuck = ready && unsent > limits.max_unsent_bytes;
        auto const finished = nghttp2_session_want_read(h2) == 0 &&
                              nghttp2_session_want_write(h2) == 0 &&
                              evbuffer_get_length(buf) == 0;
        if (n < 0 || stuck || finished)
        {
            close();
        }
    }

    void take_data(std::string_view data)
    {
        in.append(data);
        if (is_fetch())
        {
            if (in.size() > limits.max_body_bytes)
            {
                close();
            }
            return;
        }
        if (!ready)
        {
            close();
            return;
        }
        take_messages();
    }

    void take_messages()
    {
        auto at = std::size_t{0};
        while (!closed && in.size() - at >= length_bytes)
        {
            auto n = std::uint32_t{0};
            std::memcpy(&n, in.data() + at, length_bytes);
            n = ntohl(n);
            if (n > max_message_bytes)
            {
                close();
                return;
            }
            if (in.size() - at - length_bytes < n)
            {
                break;
            }
            events.on_message(
                std::string_view{in}.substr(at + length_bytes, n));
            at += length_bytes + n;
        }
        in.erase(0, at);
    }

    void end_stream(std::int32_t id)
    {
        if (id != stream)
        {
            return;
        }
        if (is_fetch() && events.on_body)
        {
            auto const whole = got.status == "200" && !closed;
            std::exchange(events.on_body,
                          nullptr)(whole ? std::optional{in} : std::nullopt);
        }
        if (is_client || ready)
        {
            close();
        }
    }

    /// The rest is let go from the loop, as nghttp2 or libevent may be in
    /// the middle of a callback.
    void close()
    {
        if (std::exchange(closed, true))
        {
            return;
        }
        handshake_timer.cancel();
        ping_timer.cancel();
        pong_timer.cancel();
        bufferevent_disable(bev, EV_READ);
        loop.post(
            [keep = shared_from_this()]
            {
                keep->release();
                auto const told = std::exchange(keep->events, {});
                if (told.on_body)
                {
                    told.on_body(std::nullopt);
                }
                if (told.on_closed)
                {
                    told.on_closed();
                }
            });
    }

    static auto on_header(nghttp2_session*, nghttp2_frame const* frame,
                          std::uint8_t const* name, std::size_t name_bytes,
                          std::uint8_t const* value, std::size_t value_bytes,
                          std::uint8_t, void* arg) -> int
    {
        auto& self = *static_cast<state*>(arg);
        self.header_bytes += name_bytes + value_bytes;
        auto const other =
            self.stream != -1 && self.stream != frame->hd.stream_id;
        if (other || self.header_bytes > self.limits.max_header_bytes)
        {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        self.stream = frame->hd.stream_id;
        // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast)
        auto const field =
            std::string_view{reinterpret_cast<char const*>(name), name_bytes};
        if (auto* const to = field_of(self.got, field))
        {
            to->assign(reinterpret_cast<char const*>(value), value_bytes);
        }
        // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
        return 0;
    }

    static auto on_frame(nghttp2_session*, nghttp2_frame const* frame,
                         void* arg) -> int
    {
        auto& self = *static_cast<state*>(arg);
        if (frame->hd.type == NGHTTP2_PING &&
            (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
        {
            self.pong_timer.cancel();
        }
        if (frame->hd.type != NGHTTP2_HEADERS || self.closed)
        {
            return 0;
        }
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        {
            self.serve();
        }
        else if (frame->headers.cat == NGHTTP2_HCAT_RESPONSE)
        {
            self.take_answer();
        }
        return 0;
    }

    static auto on_data(nghttp2_session*, std::uint8_t, std::int32_t,
                        std::uint8_t const* data, std::size_t n, void* arg)
        -> int
    {
        auto& self = *static_cast<state*>(arg);
        if (!self.closed)
        {
            // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
            self.take_data({reinterpret_cast<char const*>(data), n});
        }
        return 0;
    }

    static auto on_stream_end(nghttp2_session*, std::int32_t id, std::uint32_t,
                              void* arg) -> int
    {
        static_cast<state*>(arg)->end_stream(id);
        return 0;
    }

    static auto read_output(nghttp2_session*, std::int32_t, std::uint8_t* to,
                            std::size_t room, std::uint32_t* flags,
                            nghttp2_data_source* source, void*) -> ssize_t
    {
        auto& self = *static_cast<state*>(source->ptr);
        auto const n = std::min(room, self.out.size());
        std::copy_n(self.out.data(), n, to);
        self.out.erase(0, n);
        if (self.out.empty() && self.ends_after_out)
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        else if (n == 0)
        {
            return NGHTTP2_ERR_DEFERRED;
        }
        return static_cast<ssize_t>(n);
    }
};

session::session(std::shared_ptr<state> it) : state_(std::move(it)) {}

session::~session()
{
    state_->events = {};
    state_->close();
}

auto session::accept(net::event_loop& loop, int fd,
                     session_identity const& identity, session_limits limits,
                     session_events events) -> std::shared_ptr<session>
{
    auto it = std::make_shared<state>(loop, identity, limits, std::move(events),
                                      false);
    it->start(fd);
    it->pump();
    return std::shared_ptr<session>{new session{std::move(it)}};
}

auto session::dial(net::event_loop& loop, net::endpoint const& to,
                   session_identity const& identity, session_limits limits,
                   session_events events, std::string const& body)
    -> std::shared_ptr<session>
{
    auto it = std::make_shared<state>(loop, identity, limits, std::move(events),
                                      true);
    it->sent.body = body;
    it->start(-1);
    it->connect(to);
    return std::shared_ptr<session>{new session{std::move(it)}};
}

void session::send(std::string_view bytes)
{
    auto& it = *state_;
    if (it.closed || !it.ready)
    {
        return;
    }
    constexpr auto bits = 8U;
    for (auto n = length_bytes; n > 0; --n)
    {
        it.out.push_back(static_cast<char>(bytes.size() >> (bits * (n - 1))));
    }
    it.out.append(bytes);
    nghttp2_session_resume_data(it.h2, it.stream);
    it.pump();
}

void session::close()
{
    state_->close();
}

auto session::bytes_sent() const -> std::uint64_t
{
    return state_->sent_bytes;
}

} // namespace primrosedeal::membership
