#include "net/http_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cerrno>
#include <optional>
#include <utility>

// evhttp reports a refused connection and a broken one alike. What tells
// them apart is whether bytes were drained from the bufferevent's output:
// evhttp writes the request only after the connect, so nothing drained means
// nothing left.
namespace primrosedeal::net
{

namespace
{

class client_call;

/// Outlives its `client_call` until libevent has let go of it.
struct connection
{
    client_call* owner = nullptr;
    evhttp_connection* raw = nullptr;
    bool sent = false;
    bool connect_refused = false;

    ~connection()
    {
        if (raw != nullptr)
        {
            evhttp_connection_free(raw);
        }
    }
};

auto to_evhttp(http_method it) -> evhttp_cmd_type
{
    switch (it)
    {
    case http_method::get:
        return EVHTTP_REQ_GET;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::remove:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

class client_call final : public http_call
{
public:
    client_call(event_loop& loop, http_events events)
        : loop_(loop), events_(std::move(events)),
          connection_(std::make_shared<connection>())
    {
        connection_->owner = this;
    }

    client_call(client_call const&) = delete;
    auto operator=(client_call const&) -> client_call& = delete;

    ~client_call() override
    {
        // We may be inside a callback of this very connection; libevent
        // does not allow freeing it there.
        connection_->owner = nullptr;
        loop_.post([held = std::move(connection_)] {});
    }

    void start(endpoint const& to, http_request const& request,
               call_limits limits)
    {
        auto* const raw = evhttp_connection_base_new(
            loop_.base(), nullptr, to.address.c_str(), to.port);
        connection_->raw = raw;
        evhttp_connection_set_max_body_size(
            raw, static_cast<ev_ssize_t>(limits.max_body_bytes));
        constexpr auto max_header_bytes = 16384;
        evhttp_connection_set_max_headers_size(raw, max_header_bytes);
        constexpr auto no_timeout_s = 1'000'000;
        evhttp_connection_set_timeout(raw, no_timeout_s);
        connect_timer_ = loop_.after(limits.connect_timeout,
                                     [this] { on_connect_timeout(); });
        watch_output();
        send(to, request);
    }

    void pause_reading() override
    {
        set_reading(false);
    }

    void resume_reading() override
    {
        set_reading(true);
    }

    [[nodiscard]] auto may_have_sent() const -> bool override
    {
        return connection_->sent;
    }

private:
    void watch_output()
    {
        auto* const output = bufferevent_get_output(
            evhttp_connection_get_bufferevent(connection_->raw));
        auto const on_change =
            [](evbuffer*, evbuffer_cb_info const* info, void* arg)
        {
            auto* const self = static_cast<connection*>(arg);
            // A queued request counts as sent: it can leave at any moment.
            if (info->n_deleted > 0 || info->n_added > 0)
            {
                self->sent = true;
            }
        };
        evbuffer_add_cb(output, on_change, connection_.get());
    }

    void send(endpoint const& to, http_request const& request)
    {
        auto* const raw =
            evhttp_request_new(&client_call::on_done, connection_.get());
        evhttp_request_set_header_cb(raw, &client_call::on_header);
        evhttp_request_set_chunked_cb(raw, &client_call::on_chunk);
        evhttp_request_set_error_cb(raw, &client_call::on_request_error);
        auto* const headers = evhttp_request_get_output_headers(raw);
        evhttp_add_header(headers, "Host", to_string(to).c_str());
        evhttp_add_header(headers, "Connection", "close");
        for (auto const& it : request.headers)
        {
            evhttp_add_header(headers, it.name.c_str(), it.value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(),
                     request.body.size());
        auto const rc = evhttp_make_request(connection_->raw, raw,
                                            to_evhttp(request.method),
                                            request.path.c_str());
        if (rc != 0)
        {
            retry_ =
                loop_.after(0s, [this] { fail(call_error::not_connected); });
        }
    }

    void set_reading(bool wanted)
    {
        if (finished_ || connection_->raw == nullptr)
        {
            return;
        }
        auto* const bev = evhttp_connection_get_bufferevent(connection_->raw);
        wanted ? bufferevent_enable(bev, EV_READ)
               : bufferevent_disable(bev, EV_READ);
    }

    void on_connect_timeout()
    {
        if (!connection_->sent)
        {
            fail(call_error::not_connected);
        }
    }

    void fail(call_error error)
    {
        if (std::exchange(finished_, true))
        {
            return;
        }
        connect_timer_.cancel();
        auto const call = events_.on_error;
        call(error);
    }

    static auto owner_of(void* arg) -> client_call*
    {
        return static_cast<connection*>(arg)->owner;
    }

    static auto on_header(evhttp_request* raw, void* arg) -> int
    {
        auto* const self = owner_of(arg);
        if (self == nullptr)
        {
            return -1;
        }
        self->connect_timer_.cancel();
        if (self->events_.on_status)
        {
            auto const call = self->events_.on_status;
            call(evhttp_request_get_response_code(raw));
        }
        return 0;
    }

    static void on_chunk(evhttp_request* raw, void* arg)
    {
        auto* const input = evhttp_request_get_input_buffer(raw);
        auto const n = evbuffer_get_length(input);
        auto text = std::string(n, '\0');
        evbuffer_remove(input, text.data(), n);
        auto* const self = owner_of(arg);
        if (self != nullptr && !self->finished_ && self->events_.on_body)
        {
            auto const call = self->events_.on_body;
            call(text);
        }
    }

    static void on_request_error(evhttp_request_error error, void* arg)
    {
        auto* const self = owner_of(arg);
        if (self == nullptr)
        {
            return;
        }
        self->fail(error == EVREQ_HTTP_DATA_TOO_LONG ? call_error::too_large
                                                     : call_error::broken);
    }

    static void on_done(evhttp_request* raw, void* arg)
    {
        auto* const self = owner_of(arg);
        if (self == nullptr)
        {
            return;
        }
        auto const status =
            raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
        if (status == 0)
        {
            self->fail(self->connection_->sent ? call_error::broken
                                               : call_error::not_connected);
            return;
        }
        self->finish(status);
    }

    void finish(int status)
    {
        if (std::exchange(finished_, true))
        {
            return;
        }
        connect_timer_.cancel();
        auto const call = events_.on_end;
        call(status);
    }

    event_loop& loop_;
    http_events events_;
    std::shared_ptr<connection> connection_;
    timer connect_timer_;
    timer retry_;
    bool finished_ = false;
};

/// Collects the answer of a `fetch`.
class fetch_call final : public http_call
{
public:
    std::unique_ptr<http_call> inner;
    http_response response;
    timer deadline;

    void pause_reading() override
    {
        inner->pause_reading();
    }

    void resume_reading() override
    {
        inner->resume_reading();
    }

    [[nodiscard]] auto may_have_sent() const -> bool override
    {
        return inner && inner->may_have_sent();
    }
};

} // namespace

auto start_call(event_loop& loop, endpoint const& to,
                http_request const& request, http_events events,
                call_limits limits) -> std::unique_ptr<http_call>
{
    auto it = std::make_unique<client_call>(loop, std::move(events));
    it->start(to, request, limits);
    return it;
}

auto fetch(event_loop& loop, endpoint const& to, http_request const& request,
           duration timeout,
           std::function<void(http_response)> const& on_response,
           std::function<void(call_error, bool may_have_sent)> const& on_error,
           call_limits limits) -> std::unique_ptr<http_call>
{
    auto it = std::make_unique<fetch_call>();
    auto* const self = it.get();
    auto events = http_events{};
    events.on_body = [self](std::string_view text)
    {
        self->response.body.append(text);
    };
    events.on_end = [self, on_response](int status)
    {
        self->deadline.cancel();
        self->response.status = status;
        auto const call = on_response;
        call(std::move(self->response));
    };
    events.on_error = [self, on_error](call_error error)
    {
        self->deadline.cancel();
        auto const sent = self->may_have_sent();
        auto const call = on_error;
        call(error, sent);
    };
    it->deadline = loop.after(timeout,
                              [self, on_error]
                              {
                                  auto const sent = self->may_have_sent();
                                  self->inner.reset();
                                  auto const call = on_error;
                                  call(call_error::broken, sent);
                              });
    it->inner = start_call(loop, to, request, std::move(events), limits);
    return it;
}

} // namespace primrosedeal::net
