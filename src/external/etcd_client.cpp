#include "external/etcd_client.hpp"

#include "external/etcd_json.hpp"

#include <map>

// A call over budget is answered from a posted task, never inside the call
// that made it, so that a caller's state is settled before its answer comes.
// An answer that can't be read counts as lost: the call may have run.
namespace primrosedeal::external
{
namespace
{

/// A watch line longer than this ends the watch; two base64 values fit.
constexpr auto max_watch_line = std::size_t{4} << 20U;

auto json_post(char const* path, std::string body) -> net::http_request
{
    auto request = net::http_request{};
    request.method = net::http_method::post;
    request.path = path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    return request;
}

auto over_budget() -> call_failure
{
    return {call_fault::over_budget, "over this process's call budget"};
}

auto failure_of(net::http_response const& it) -> call_failure
{
    // The gateway answers 4xx where it did nothing; a 5xx may come from the
    // way there, after the service took the call.
    auto const refused = it.status >= 400 && it.status < 500;
    return {refused ? call_fault::refused : call_fault::lost,
            "status " + std::to_string(it.status)};
}

class open_watch : public watch
{
public:
    explicit open_watch(watch_handlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    void open(net::event_loop& loop, net::endpoint const& to,
              net::http_request const& request, duration connect_timeout)
    {
        auto events = net::http_events{};
        events.on_body = [this](std::string_view chunk)
        {
            on_body(chunk);
        };
        events.on_end = [this](int status)
        {
            end({call_fault::lost, "ended, status " + std::to_string(status)});
        };
        events.on_error = [this](net::call_error)
        {
            end({call_fault::lost, "connection broke"});
        };
        auto limits = net::call_limits{};
        limits.connect_timeout = connect_timeout;
        limits.max_body_bytes = ~std::size_t{0};
        call_ = net::start_call(loop, to, request, std::move(events), limits);
    }

    void fail_soon(net::event_loop& loop, call_failure const& why)
    {
        refusal_ = loop.after(0s, [this, why] { end(why); });
    }

private:
    void on_body(std::string_view chunk)
    {
        auto const alive = std::weak_ptr{alive_};
        buffer_ += chunk;
        auto at = buffer_.find('\n');
        while (at != std::string::npos)
        {
            auto const line = buffer_.substr(0, at);
            buffer_.erase(0, at + 1);
            on_line(line);
            if (alive.expired() || ended_)
            {
                return;
            }
            at = buffer_.find('\n');
        }
        if (buffer_.size() > max_watch_line)
        {
            end({call_fault::lost, "line too long"});
        }
    }

    void on_line(std::string const& line)
    {
        auto const alive = std::weak_ptr{alive_};
        auto const it = etcd::read_watch_line(line);
        if (!it || it->ended)
        {
            end({call_fault::refused, it ? *it->ended : "unreadable line"});
            return;
        }
        if (it->opened && handlers_.on_open)
        {
            handlers_.on_open();
        }
        for (auto const& event : it->events)
        {
            if (alive.expired())
            {
                return;
            }
            handlers_.on_event(event);
        }
    }

    void end(call_failure const& why)
    {
        if (ended_)
        {
            return;
        }
        ended_ = true;
        auto const handler = handlers_.on_end;
        handler(why);
    }

    watch_handlers handlers_;
    std::unique_ptr<net::http_call> call_;
    net::timer refusal_;
    std::string buffer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool ended_ = false;
};

} // namespace

struct etcd_client::state : std::enable_shared_from_this<state>
{
    state(net::event_loop& on, etcd_settings with)
        : loop(on), settings(std::move(with)), budget(settings.budget),
          verdict(settings.health)
    {
    }

    template <class Result>
    void call(call_purpose purpose, char const* path, std::string body,
              std::optional<Result> (*read)(std::string_view),
              answer_handler<Result> done)
    {
        auto const now = net::event_loop::now();
        if (!budget.allow(purpose, now))
        {
            loop.post([done] { done(over_budget()); });
            return;
        }
        auto const number = next_call++;
        auto const weak = weak_from_this();
        auto const on_response =
            [weak, number, now, read, done](net::http_response const& it)
        {
            if (auto const self = weak.lock())
            {
                self->finish(number, now, read_answer<Result>(it, read), done);
            }
        };
        auto const on_error =
            [weak, number, now, done](net::call_error, bool may_have_sent)
        {
            if (auto const self = weak.lock())
            {
                auto const fault =
                    may_have_sent ? call_fault::lost : call_fault::not_sent;
                self->finish<Result>(number, now,
                                     call_failure{fault, "no answer"}, done);
            }
        };
        calls[number] =
            net::fetch(loop, settings.address, json_post(path, std::move(body)),
                       settings.call_timeout, on_response, on_error);
    }

    template <class Result>
    static auto read_answer(net::http_response const& it,
                            std::optional<Result> (*read)(std::string_view))
        -> answer<Result>
    {
        if (it.status != 200)
        {
            return failure_of(it);
        }
        auto result = read(it.body);
        if (!result)
        {
            return call_failure{call_fault::lost, "unreadable answer"};
        }
        return std::move(*result);
    }

    template <class Result>
    void finish(std::uint64_t number, time_point started,
                answer<Result> const& it, answer_handler<Result> done)
    {
        auto const now = net::event_loop::now();
        auto const* failure = std::get_if<call_failure>(&it);
        if (failure == nullptr || failure->fault == call_fault::refused)
        {
            verdict.on_answer(now - started, now);
        }
        else
        {
            verdict.on_failure(now);
        }
        // The call owns the lambda that runs this; let it go last.
        auto const ended = std::move(calls[number]);
        calls.erase(number);
        done(it);
    }

    net::event_loop& loop;
    etcd_settings settings;
    call_budget budget;
    service_health verdict;
    std::uint64_t next_call = 0;
    std::map<std::uint64_t, std::unique_ptr<net::http_call>> calls;
};

etcd_client::etcd_client(net::event_loop& loop, etcd_settings settings)
    : state_(std::make_shared<state>(loop, std::move(settings)))
{
}

etcd_client::~etcd_client() = default;

void etcd_client::range(call_purpose purpose, range_request const& request,
                        answer_handler<range_result> done)
{
    state_->call<range_result>(purpose, "/v3/kv/range",
                               etcd::write_range(request), etcd::read_range,
                               std::move(done));
}

void etcd_client::commit(call_purpose purpose, transaction const& request,
                         answer_handler<transaction_result> done)
{
    state_->call<transaction_result>(purpose, "/v3/kv/txn",
                                     etcd::write_transaction(request),
                                     etcd::read_transaction, std::move(done));
}

void etcd_client::grant_lease(lease_id id, std::chrono::seconds ttl,
                              answer_handler<lease_grant> done)
{
    state_->call<lease_grant>(call_purpose::lease, "/v3/lease/grant",
                              etcd::write_lease_grant(id, ttl),
                              etcd::read_lease, std::move(done));
}

void etcd_client::keep_alive(lease_id id, answer_handler<lease_grant> done)
{
    state_->call<lease_grant>(call_purpose::lease, "/v3/lease/keepalive",
                              etcd::write_lease(id), etcd::read_lease,
                              std::move(done));
}

void etcd_client::revoke_lease(lease_id id, answer_handler<lease_grant> done)
{
    state_->call<lease_grant>(call_purpose::lease, "/v3/lease/revoke",
                              etcd::write_lease(id), etcd::read_lease,
                              std::move(done));
}

auto etcd_client::watch_range(call_purpose purpose,
                              range_request const& request, store_revision from,
                              watch_handlers handlers) -> std::unique_ptr<watch>
{
    auto result = std::make_unique<open_watch>(std::move(handlers));
    if (!state_->budget.allow(purpose, net::event_loop::now()))
    {
        result->fail_soon(state_->loop, over_budget());
        return result;
    }
    result->open(state_->loop, state_->settings.address,
                 json_post("/v3/watch", etcd::write_watch(request, from)),
                 state_->settings.call_timeout);
    return result;
}

auto etcd_client::budget() const -> call_budget const&
{
    return state_->budget;
}

auto etcd_client::health_now() const -> health
{
    return state_->verdict.state(net::event_loop::now());
}

} // namespace primrosedeal::external
