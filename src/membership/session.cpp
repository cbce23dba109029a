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

// nghttp2 encodes and decodes frames; a bufferevent transfers the bytes.
// Messages are DATA of one stream, each preceded by its length in four bytes,
// big endian. nghttp2 must not be called for output inside its own callbacks,
// so output is flushed after the input has been parsed.
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

/// Headers of the connection's only request or response.
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
        // nghttp2 takes non-const pointers but only copies the bytes.
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-*)
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

auto handshake_field(handshake& it, std::string_view name) -> std::string*
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
    handshake own_headers;
    handshake peer_headers;
    std::size_t header_bytes = 0;
    std::string input_buffer;
    std::string output_buffer;
    std::uint64_t sent_bytes = 0;
    bool ready = false;
    bool ends_after_output = false;
    bool closed = false;
    bool parsing_input = false;
    net::timer handshake_timer;
    net::timer ping_timer;
    net::timer pong_timer;

    state(net::event_loop& owner_loop, session_identity own_identity,
          session_limits own_limits, session_events callbacks, bool client)
        : loop(owner_loop), identity(std::move(own_identity)),
          limits(own_limits), events(std::move(callbacks)), is_client(client)
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
        return !own_headers.body.empty();
    }

    void start(int fd)
    {
        bev = bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            bev,
            [](bufferevent*, void* arg)
            { static_cast<state*>(arg)->read_input(); },
            nullptr,
            [](bufferevent*, short what, void* arg)
            { static_cast<state*>(arg)->on_socket_event(what); },
            this);
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        create_h2_session();
        handshake_timer = loop.after(limits.handshake_timeout,
                                     [this]
                                     {
                                         if (!ready)
                                         {
                                             close();
                                         }
                                     });
    }

    void create_h2_session()
    {
        nghttp2_session_callbacks* handlers = nullptr;
        nghttp2_session_callbacks_new(&handlers);
        nghttp2_session_callbacks_set_on_header_callback(handlers, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(handlers,
                                                             on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(handlers,
                                                                  on_data);
        nghttp2_session_callbacks_set_on_stream_close_callback(handlers,
                                                               on_stream_end);
        if (is_client)
        {
            nghttp2_session_client_new(&h2, handlers, this);
        }
        else
        {
            nghttp2_session_server_new(&h2, handlers, this);
        }
        nghttp2_session_callbacks_del(handlers);
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
        own_headers.nonce = make_nonce();
        own_headers.proof =
            make_proof(identity.secret, client_role, identity.self.value(),
                       own_headers.nonce);
        auto headers = std::vector<nghttp2_nv>{
            header(":method", "POST"),
            header(":scheme", "http"),
            header(":authority", "primrosedeal"),
            header(":path", is_fetch() ? body_path : link_path),
            header("x-host", identity.self.value()),
            header("x-nonce", own_headers.nonce),
            header("x-proof", own_headers.proof)};
        if (is_fetch())
        {
            headers.push_back(header("x-body", own_headers.body));
        }
        auto provider = output_provider();
        stream =
            nghttp2_submit_request(h2, nullptr, headers.data(), headers.size(),
                                   is_fetch() ? nullptr : &provider, this);
    }

    auto output_provider() -> nghttp2_data_provider
    {
        auto it = nghttp2_data_provider{};
        it.source.ptr = this;
        it.read_callback = read_output;
        return it;
    }

    void respond(std::string const& status)
    {
        own_headers.proof =
            make_proof(identity.secret, server_role, identity.self.value(),
                       peer_headers.nonce);
        auto const accepted = status == "200";
        auto const headers = std::array<nghttp2_nv, 3>{
            header(":status", status), header("x-host", identity.self.value()),
            header("x-proof", own_headers.proof)};
        auto provider = output_provider();
        nghttp2_submit_response(h2, stream, headers.data(),
                                accepted ? headers.size() : 1,
                                accepted ? &provider : nullptr);
    }

    /// Called when the request's headers are complete.
    void serve_request()
    {
        auto const expected = make_proof(identity.secret, client_role,
                                         peer_headers.host, peer_headers.nonce);
        if (identity.secret.empty() || peer_headers.host.empty() ||
            peer_headers.host.size() > max_key_bytes ||
            !same_proof(expected, peer_headers.proof))
        {
            respond("403");
            nghttp2_session_terminate_session(h2, NGHTTP2_NO_ERROR);
            return;
        }
        if (peer_headers.path == link_path)
        {
            respond("200");
            become_ready();
            return;
        }
        auto body = events.body_for && peer_headers.path == body_path
                        ? events.body_for(peer_headers.body)
                        : std::nullopt;
        ends_after_output = true;
        output_buffer = body.value_or("");
        respond(body ? "200" : "404");
    }

    /// Called when the response's headers are complete.
    void on_response()
    {
        auto const expected = make_proof(identity.secret, server_role,
                                         peer_headers.host, own_headers.nonce);
        if (peer_headers.status != "200" ||
            !same_proof(expected, peer_headers.proof))
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
            events.on_ready(host_id{peer_headers.host});
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
                           flush_output();
                       });
    }

    void read_input()
    {
        auto const keep_alive = shared_from_this();
        auto* const buf = bufferevent_get_input(bev);
        constexpr auto chunk_bytes = std::size_t{16384};
        auto chunk = std::array<std::uint8_t, chunk_bytes>{};
        while (!closed && evbuffer_get_length(buf) > 0)
        {
            auto const n = evbuffer_remove(buf, chunk.data(), chunk.size());
            parsing_input = true;
            auto const used = nghttp2_session_mem_recv(
                h2, chunk.data(), static_cast<std::size_t>(n));
            parsing_input = false;
            if (used < 0)
            {
                close();
                return;
            }
        }
        flush_output();
    }

    void on_socket_event(short what)
    {
        auto const keep_alive = shared_from_this();
        if ((what & BEV_EVENT_CONNECTED) != 0)
        {
            auto const on = 1;
            setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
                       sizeof(on));
            flush_output();
            return;
        }
        close();
    }

    void flush_output()
    {
        if (closed || parsing_input)
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
        auto const unsent = output_buffer.size() + evbuffer_get_length(buf);
        auto const over_limit = ready && unsent > limits.max_unsent_bytes;
        auto const finished = nghttp2_session_want_read(h2) == 0 &&
                              nghttp2_session_want_write(h2) == 0 &&
                              evbuffer_get_length(buf) == 0;
        if (n < 0 || over_limit || finished)
        {
            close();
        }
    }

    void receive_data(std::string_view data)
    {
        input_buffer.append(data);
        if (is_fetch())
        {
            if (input_buffer.size() > limits.max_body_bytes)
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
        parse_messages();
    }

    void parse_messages()
    {
        auto at = std::size_t{0};
        while (!closed && input_buffer.size() - at >= length_bytes)
        {
            auto n = std::uint32_t{0};
            std::memcpy(&n, input_buffer.data() + at, length_bytes);
            n = ntohl(n);
            if (n > max_message_bytes)
            {
                close();
                return;
            }
            if (input_buffer.size() - at - length_bytes < n)
            {
                break;
            }
            if (events.on_message)
            {
                events.on_message(std::string_view{input_buffer}.substr(
                    at + length_bytes, n));
            }
            at += length_bytes + n;
        }
        input_buffer.erase(0, at);
    }

    void end_stream(std::int32_t id)
    {
        if (id != stream)
        {
            return;
        }
        if (is_fetch() && events.on_body)
        {
            auto const complete = peer_headers.status == "200" && !closed;
            std::exchange(events.on_body, nullptr)(
                complete ? std::optional{input_buffer} : std::nullopt);
        }
        if (is_client || ready)
        {
            close();
        }
    }

    /// Resources are released later from the loop, since nghttp2 or libevent
    /// may be inside a callback.
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
            [keep_alive = shared_from_this()]
            {
                keep_alive->release();
                auto const final_events = std::exchange(keep_alive->events, {});
                if (final_events.on_body)
                {
                    final_events.on_body(std::nullopt);
                }
                if (final_events.on_closed)
                {
                    final_events.on_closed();
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
        if (auto* const to = handshake_field(self.peer_headers, field))
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
            self.serve_request();
        }
        else if (frame->headers.cat == NGHTTP2_HCAT_RESPONSE)
        {
            self.on_response();
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
            self.receive_data({reinterpret_cast<char const*>(data), n});
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
                            std::size_t max_bytes, std::uint32_t* flags,
                            nghttp2_data_source* source, void*) -> ssize_t
    {
        auto& self = *static_cast<state*>(source->ptr);
        auto const n = std::min(max_bytes, self.output_buffer.size());
        std::copy_n(self.output_buffer.data(), n, to);
        self.output_buffer.erase(0, n);
        if (self.output_buffer.empty() && self.ends_after_output)
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
    it->flush_output();
    return std::shared_ptr<session>{new session{std::move(it)}};
}

auto session::dial(net::event_loop& loop, net::endpoint const& to,
                   session_identity const& identity, session_limits limits,
                   session_events events, std::string const& body)
    -> std::shared_ptr<session>
{
    auto it = std::make_shared<state>(loop, identity, limits, std::move(events),
                                      true);
    it->own_headers.body = body;
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
        it.output_buffer.push_back(
            static_cast<char>(bytes.size() >> (bits * (n - 1))));
    }
    it.output_buffer.append(bytes);
    nghttp2_session_resume_data(it.h2, it.stream);
    it.flush_output();
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
