#include "net/http_server.hpp"

#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

// A request whose answer is owed pauses its connection, so that a pipelined
// one cannot start meanwhile; libevhtp resumes it when the answer is out. A
// paused connection does not read, so a caller that left is noticed by the
// failing write of the next chunk; libevhtp frees a broken connection only
// after it is resumed.
namespace primrosedeal::net
{

namespace
{

auto to_method(htp_method it) -> std::optional<http_method>
{
    switch (it)
    {
    case htp_method_GET:
        return http_method::get;
    case htp_method_POST:
        return http_method::post;
    case htp_method_PUT:
        return http_method::put;
    case htp_method_DELETE:
        return http_method::remove;
    default:
        return std::nullopt;
    }
}

void add_headers(evhtp_request_t* raw, std::vector<http_header> const& headers)
{
    for (auto const& it : headers)
    {
        evhtp_headers_add_header(
            raw->headers_out,
            evhtp_header_new(it.name.c_str(), it.value.c_str(), 1, 1));
    }
}

class request_responder final : public responder
{
public:
    request_responder(event_loop& loop, evhtp_request_t* raw, std::size_t& open)
        : loop_(loop), raw_(raw), open_(open)
    {
        ++open_;
    }

    request_responder(request_responder const&) = delete;
    auto operator=(request_responder const&) -> request_responder& = delete;

    void reply(http_response const& it) override
    {
        if (raw_ == nullptr || std::exchange(answered_, true))
        {
            return;
        }
        add_headers(raw_, it.headers);
        evbuffer_add(raw_->buffer_out, it.body.data(), it.body.size());
        auto* const raw = raw_;
        evhtp_send_reply(raw, static_cast<evhtp_res>(it.status));
        evhtp_request_resume(raw);
    }

    void start_stream(int status,
                      std::vector<http_header> const& headers) override
    {
        if (raw_ == nullptr)
        {
            return;
        }
        add_headers(raw_, headers);
        evhtp_send_reply_chunk_start(raw_, static_cast<evhtp_res>(status));
    }

    void send(std::string_view chunk) override
    {
        if (raw_ == nullptr || chunk.empty())
        {
            return;
        }
        auto* const buf = evbuffer_new();
        evbuffer_add(buf, chunk.data(), chunk.size());
        evhtp_send_reply_chunk(raw_, buf);
        evbuffer_free(buf);
    }

    void finish() override
    {
        if (raw_ == nullptr || std::exchange(answered_, true))
        {
            return;
        }
        auto* const raw = raw_;
        evhtp_send_reply_chunk_end(raw);
        evhtp_request_resume(raw);
    }

    void abort() override
    {
        if (raw_ == nullptr)
        {
            return;
        }
        shutdown(raw_->conn->sock, SHUT_RDWR);
        break_off();
    }

    [[nodiscard]] auto buffered_bytes() const -> std::size_t override
    {
        return raw_ == nullptr ? 0
                               : evbuffer_get_length(bufferevent_get_output(
                                     evhtp_connection_get_bev(raw_->conn)));
    }

    [[nodiscard]] auto closed() const -> bool override
    {
        return raw_ == nullptr;
    }

    void on_close(std::function<void()> work) override
    {
        on_close_ = std::move(work);
    }

    void on_drain(std::function<void()> work) override
    {
        on_drain_ = std::move(work);
    }

    /// The request is gone: answered and sent, or its connection broke.
    void detach()
    {
        if (std::exchange(raw_, nullptr) == nullptr)
        {
            return;
        }
        close_count();
        if (!std::exchange(answered_, true))
        {
            if (on_close_)
            {
                std::exchange(on_close_, nullptr)();
            }
        }
    }

    /// The connection broke while the answer was owed.
    void break_off()
    {
        if (raw_ == nullptr || answered_)
        {
            return;
        }
        auto* const conn = raw_->conn;
        detach();
        loop_.post([conn] { evhtp_connection_resume(conn); });
    }

    void drained()
    {
        if (answered_)
        {
            close_count();
        }
        else if (on_drain_)
        {
            auto const call = on_drain_;
            call();
        }
    }

    /// The handler let go of the responder.
    void released()
    {
        on_close_ = nullptr;
        on_drain_ = nullptr;
        if (!answered_)
        {
            constexpr auto internal_error = 500;
            reply({internal_error, {}, ""});
        }
    }

private:
    void close_count()
    {
        if (std::exchange(counted_, false))
        {
            --open_;
        }
    }

    event_loop& loop_;
    evhtp_request_t* raw_;
    std::size_t& open_;
    std::function<void()> on_close_;
    std::function<void()> on_drain_;
    bool answered_ = false;
    bool counted_ = true;
};

/// Held by libevhtp's hooks until the request is freed.
struct hook_state
{
    std::shared_ptr<request_responder> target;
};

/// What a handler holds; the last one to let go ends an unanswered request.
auto handle_of(std::shared_ptr<request_responder> const& it)
    -> std::shared_ptr<responder>
{
    return {it.get(), [it](responder*)
            {
                it->released();
            }};
}

/// libevhtp takes hooks of every shape through one untyped pointer.
template <class Hook>
auto as_hook(Hook it) -> evhtp_hook
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(it));
}

auto collect_headers(evhtp_request_t* raw) -> std::vector<http_header>
{
    auto headers = std::vector<http_header>{};
    auto const add = [](evhtp_kv_t* kv, void* arg) -> int
    {
        static_cast<std::vector<http_header>*>(arg)->push_back(
            {std::string(kv->key, kv->klen), std::string(kv->val, kv->vlen)});
        return 0;
    };
    evhtp_kvs_for_each(raw->headers_in, add, &headers);
    return headers;
}

auto take_body(evhtp_request_t* raw) -> std::string
{
    auto const n = evbuffer_get_length(raw->buffer_in);
    auto body = std::string(n, '\0');
    evbuffer_remove(raw->buffer_in, body.data(), n);
    return body;
}

auto to_request(evhtp_request_t* raw) -> server_request
{
    auto it = server_request{};
    it.path = raw->uri->path->full != nullptr ? raw->uri->path->full : "/";
    if (raw->uri->query_raw != nullptr)
    {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        it.query = reinterpret_cast<char const*>(raw->uri->query_raw);
    }
    it.headers = collect_headers(raw);
    it.body = take_body(raw);
    return it;
}

auto header_bytes(server_request const& it) -> std::size_t
{
    auto n = it.path.size() + it.query.size();
    for (auto const& header : it.headers)
    {
        n += header.name.size() + header.value.size();
    }
    return n;
}

auto to_timeval(duration it) -> timeval
{
    constexpr auto per_second = 1'000'000;
    return {it.count() / per_second, it.count() % per_second};
}

void send_plain(evhtp_request_t* raw, int status)
{
    evhtp_send_reply(raw, static_cast<evhtp_res>(status));
}

auto current_responder(evhtp_connection_t* conn)
    -> std::shared_ptr<request_responder>
{
    auto* const current = conn->request;
    if (current == nullptr || current->hooks == nullptr)
    {
        return nullptr;
    }
    auto* const state =
        static_cast<hook_state*>(current->hooks->on_request_fini_arg);
    return state == nullptr ? nullptr : state->target;
}

} // namespace

struct http_server::state
{
    event_loop* loop = nullptr;
    server_limits limits;
    handler on_request;
    evhtp_t* raw = nullptr;
    std::size_t open = 0;

    void dispatch(evhtp_request_t* request)
    {
        auto const method = to_method(request->method);
        if (!method)
        {
            constexpr auto method_not_allowed = 405;
            send_plain(request, method_not_allowed);
            return;
        }
        auto it = to_request(request);
        it.method = *method;
        if (header_bytes(it) > limits.max_header_bytes)
        {
            constexpr auto header_fields_too_large = 431;
            send_plain(request, header_fields_too_large);
            return;
        }
        auto const answer =
            std::make_shared<request_responder>(*loop, request, open);
        watch(request, answer);
        evhtp_request_pause(request);
        // libevhtp breaks the connection if a paused request is answered
        // inside its own callback, so the handler runs right after it.
        loop->post([this, request = std::move(it),
                    handle = handle_of(answer)]() mutable
                   { on_request(std::move(request), handle); });
    }

    static void watch(evhtp_request_t* request,
                      std::shared_ptr<request_responder> const& answer)
    {
        auto* const hook = new hook_state{answer};
        auto const on_fini = [](evhtp_request_t*, void* arg) -> evhtp_res
        {
            auto const held =
                std::unique_ptr<hook_state>{static_cast<hook_state*>(arg)};
            held->target->detach();
            return EVHTP_RES_OK;
        };
        evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                               as_hook<evhtp_hook_request_fini_cb>(on_fini),
                               hook);
        auto const on_write = [](evhtp_connection_t* conn, void*) -> evhtp_res
        {
            if (auto const it = current_responder(conn))
            {
                it->drained();
            }
            return EVHTP_RES_OK;
        };
        auto const on_event = [](evhtp_connection_t* conn, short events, void*)
        {
            constexpr auto broken =
                BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;
            auto const it = current_responder(conn);
            if (it && (events & broken) != 0)
            {
                it->break_off();
            }
        };
        evhtp_connection_set_hook(request->conn, evhtp_hook_on_event,
                                  as_hook<evhtp_hook_event_cb>(on_event),
                                  nullptr);
        evhtp_connection_set_hook(request->conn, evhtp_hook_on_write,
                                  as_hook<evhtp_hook_write_cb>(on_write),
                                  nullptr);
    }
};

http_server::http_server(event_loop& loop, server_limits limits,
                         handler on_request)
    : state_(std::make_unique<state>())
{
    state_->loop = &loop;
    state_->limits = limits;
    state_->on_request = std::move(on_request);
    state_->raw = evhtp_new(loop.base(), nullptr);
    evhtp_enable_flag(state_->raw, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_max_body_size(state_->raw, limits.max_body_bytes);
    auto const receive = to_timeval(limits.receive_timeout);
    auto const send = to_timeval(limits.send_timeout);
    evhtp_set_timeouts(state_->raw, &receive, &send);
    evhtp_set_gencb(
        state_->raw,
        [](evhtp_request_t* request, void* arg)
        { static_cast<state*>(arg)->dispatch(request); },
        state_.get());
}

http_server::~http_server()
{
    stop_listening();
    evhtp_free(state_->raw);
}

auto http_server::listen(endpoint const& at) -> std::uint16_t
{
    constexpr auto backlog = 1024;
    auto const rc =
        evhtp_bind_socket(state_->raw, at.address.c_str(), at.port, backlog);
    if (rc != 0)
    {
        throw std::runtime_error("cannot listen on " + to_string(at));
    }
    auto bound = sockaddr_in{};
    auto n = socklen_t{sizeof(bound)};
    auto const fd = evconnlistener_get_fd(state_->raw->server);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n);
    return ntohs(bound.sin_port);
}

void http_server::stop_listening()
{
    if (state_->raw->server != nullptr)
    {
        evhtp_unbind_socket(state_->raw);
    }
}

auto http_server::open_requests() const -> std::size_t
{
    return state_->open;
}

} // namespace primrosedeal::net
