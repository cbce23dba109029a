#include "generation/engine_stream.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <utility>

// Refusals are distinguished from token streams by the status alone, because
// the body may arrive after it. The body of a refusal is a small JSON object.
namespace primrosedeal::generation
{

namespace
{

constexpr auto status_ok = 200;
constexpr auto status_not_found = 404;
constexpr auto status_unavailable = 503;

auto loss_of_status(int status) -> attempt_loss
{
    auto const refused =
        status == status_unavailable || status == status_not_found;
    return {retry_reason::target_error, false, refused};
}

} // namespace

struct engine_stream::state : std::enable_shared_from_this<state>
{
    request_id request;
    attempt_id attempt;
    handler on_event;
    event_splitter splitter;
    std::unique_ptr<net::http_call> call;
    std::string refusal;
    int status = 0;
    bool ended = false;

    void emit(any_event it)
    {
        if (on_event && !ended)
        {
            auto const callback = on_event;
            callback(std::move(it));
        }
    }

    void emit_loss(attempt_loss const& loss)
    {
        emit(event::attempt_lost{attempt, loss});
        ended = true;
    }

    void on_body(std::string_view bytes)
    {
        if (status != status_ok)
        {
            constexpr auto max_refusal_bytes = std::size_t{256};
            refusal.append(bytes);
            refusal.resize(std::min(refusal.size(), max_refusal_bytes));
            return;
        }
        auto const self = shared_from_this();
        auto const within_limit = splitter.feed(
            bytes, [this](std::string_view data) { on_data(data); });
        if (!within_limit)
        {
            emit_loss({retry_reason::stream_corrupt, false, false});
        }
    }

    void on_data(std::string_view data)
    {
        if (ended)
        {
            return;
        }
        auto decoded = decode_event(data, request, attempt);
        auto const act = overloaded{
            [this](event::chunk& it) { emit(std::move(it)); },
            [this](event::attempt_finished& it)
            {
                emit(std::move(it));
                ended = true;
            },
            [this](malformed_event&) {
                emit_loss({retry_reason::stream_corrupt, false, false});
            },
        };
        std::visit(act, decoded);
    }

    void on_end(int code)
    {
        auto const self = shared_from_this();
        if (code != status_ok)
        {
            auto loss = loss_of_status(code);
            if (refusal.find("\"leaving\"") != std::string::npos)
            {
                loss.cause = retry_reason::target_leaving;
            }
            emit_loss(loss);
            return;
        }
        emit_loss({retry_reason::connection_reset, false, false});
    }

    void on_error(net::call_error error)
    {
        auto const self = shared_from_this();
        auto const unsent = error == net::call_error::not_connected;
        emit_loss({unsent ? retry_reason::connection_refused
                          : retry_reason::connection_reset,
                   unsent, false});
    }
};

engine_stream::engine_stream(net::event_loop& loop, net::endpoint const& at,
                             spec const& what,
                             action::start_attempt const& attempt,
                             handler on_event)
    : state_(std::make_shared<state>())
{
    state_->request = what.request;
    state_->attempt = attempt.attempt;
    state_->on_event = std::move(on_event);
    auto request = net::http_request{};
    request.method = net::http_method::post;
    request.path = "/generate";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = encode_generate(what, attempt);
    auto events = net::http_events{};
    auto* const s = state_.get();
    events.on_status = [s](int status)
    {
        s->status = status;
    };
    events.on_body = [s](std::string_view bytes)
    {
        s->on_body(bytes);
    };
    events.on_end = [s](int status)
    {
        s->on_end(status);
    };
    events.on_error = [s](net::call_error error)
    {
        s->on_error(error);
    };
    auto limits = net::call_limits{};
    limits.connect_timeout = 500ms;
    // A response may stream for minutes. It is decoded incrementally, so its
    // memory does not depend on the body size.
    limits.max_body_bytes = std::size_t{1} << 40U;
    state_->call =
        net::start_call(loop, at, request, std::move(events), limits);
}

engine_stream::~engine_stream()
{
    state_->ended = true;
    state_->on_event = nullptr;
    state_->call.reset();
}

void engine_stream::pause_reading()
{
    state_->call->pause_reading();
}

void engine_stream::resume_reading()
{
    state_->call->resume_reading();
}

auto probe_engine(net::event_loop& loop, net::endpoint const& at,
                  duration timeout, std::function<void(bool)> const& on_result)
    -> std::unique_ptr<net::http_call>
{
    auto request = net::http_request{};
    request.path = "/health";
    return net::fetch(
        loop, at, request, timeout,
        [on_result](net::http_response const& it)
        { on_result(it.status == status_ok); },
        [on_result](net::call_error, bool) { on_result(false); });
}

} // namespace primrosedeal::generation
