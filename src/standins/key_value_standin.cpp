#include "standins/key_value_standin.hpp"

#include "standins/key_value_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

// After every call, and when a lease ends, each waiting watch is sent what
// happened since the last revision it was told of.
namespace primrosedeal::standins
{

namespace
{

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;

auto refused(std::string_view why) -> net::http_response
{
    return json_response(
        bad_request,
        nlohmann::json{{"error", why}, {"code", 3}, {"message", why}}.dump());
}

} // namespace

key_value_standin::key_value_standin(net::event_loop& loop)
    : loop_(loop),
      server_(loop, [this](net::server_request const& it,
                           std::shared_ptr<net::responder> const& to)
              { return answer(it, to); })
{
}

auto key_value_standin::listen(net::endpoint const& at) -> std::uint16_t
{
    return server_.listen(at);
}

void key_value_standin::set_fault(fault_order it)
{
    server_.set_fault(it);
}

void key_value_standin::put(std::string key, std::string value)
{
    store_.put({std::move(key), std::move(value), {}}, net::event_loop::now());
    deliver();
}

auto key_value_standin::answer(net::server_request const& it,
                               std::shared_ptr<net::responder> const& to)
    -> std::optional<net::http_response>
{
    if (it.path == "/calls")
    {
        return json_response(ok, nlohmann::json(calls_).dump());
    }
    ++calls_[it.path];
    if (it.path == "/v3/watch")
    {
        return open_watch(it, to);
    }
    auto response = call(it, net::event_loop::now());
    deliver();
    schedule_expiry();
    return response;
}

auto key_value_standin::call(net::server_request const& it, time_point now)
    -> net::http_response
{
    if (it.path == "/v3/kv/range")
    {
        if (auto const range = parse_range(it.body))
        {
            auto const values = store_.range(*range, now);
            return json_response(ok, range_body(values, store_.revision()));
        }
    }
    else if (it.path == "/v3/kv/put")
    {
        auto const put = parse_put(it.body);
        if (put && store_.put(*put, now))
        {
            return json_response(ok, put_body(store_.revision()));
        }
    }
    else if (it.path == "/v3/kv/deleterange")
    {
        if (auto const range = parse_delete(it.body))
        {
            auto const n = store_.remove(*range, now);
            return json_response(ok, delete_body(n, store_.revision()));
        }
    }
    else if (it.path == "/v3/kv/txn")
    {
        auto const transaction = parse_transaction(it.body);
        auto const outcome =
            transaction ? store_.commit(*transaction, now) : std::nullopt;
        if (outcome)
        {
            return json_response(ok,
                                 transaction_body(*outcome, store_.revision()));
        }
    }
    else
    {
        return lease_call(it, now);
    }
    return refused("bad request or lease");
}

auto key_value_standin::lease_call(net::server_request const& it,
                                   time_point now) -> net::http_response
{
    auto lease = parse_lease(it.body);
    if (!lease)
    {
        return refused("bad request");
    }
    if (it.path == "/v3/lease/grant")
    {
        return store_.grant(lease->id, lease->ttl, now)
                   ? json_response(ok, lease_body(*lease, store_.revision()))
                   : refused("lease already exists");
    }
    if (it.path == "/v3/lease/keepalive")
    {
        lease->ttl = store_.keep_alive(lease->id, now);
        return json_response(ok, keep_alive_body(*lease, store_.revision()));
    }
    if (it.path == "/v3/lease/revoke")
    {
        return store_.revoke(lease->id, now)
                   ? json_response(ok, put_body(store_.revision()))
                   : refused("requested lease not found");
    }
    return json_response(not_found, "{}");
}

auto key_value_standin::open_watch(net::server_request const& it,
                                   std::shared_ptr<net::responder> const& to)
    -> std::optional<net::http_response>
{
    auto const request = parse_watch(it.body);
    if (!request)
    {
        return refused("bad request");
    }
    auto const next = store_revision{store_.revision().value() + 1};
    auto const from = request->from == store_revision{} ? next : request->from;
    if (!store_.events(request->keys, from))
    {
        return refused("compacted");
    }
    to->start_stream(ok, {{"Content-Type", "application/json"}});
    to->send(watch_created_line(store_.revision()));
    watches_.push_back({request->keys, from, to});
    deliver();
    return std::nullopt;
}

void key_value_standin::deliver()
{
    std::erase_if(watches_, [](auto const& it) { return it.to->closed(); });
    auto const next = store_revision{store_.revision().value() + 1};
    for (auto& it : watches_)
    {
        auto const events = store_.events(it.keys, it.next);
        if (events && !events->empty())
        {
            it.to->send(watch_line(*events, store_.revision()));
        }
        it.next = std::max(it.next, next);
    }
}

void key_value_standin::schedule_expiry()
{
    auto const next = store_.next_expiry();
    if (!next)
    {
        return;
    }
    auto const now = net::event_loop::now();
    expiry_ = loop_.after(std::max(*next - now, duration{1000}),
                          [this]
                          {
                              store_.expire(net::event_loop::now());
                              deliver();
                              schedule_expiry();
                          });
}

} // namespace primrosedeal::standins
