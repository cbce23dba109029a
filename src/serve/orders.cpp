#include "serve/orders.hpp"

#include "core/verdict.hpp"
#include "entry/answers.hpp"
#include "serve/order_forward.hpp"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <stdexcept>
#include <utility>

// Every call to a target has a connection of its own, so "not a byte left" is
// known: `http_call::may_have_sent` turns true when the request is handed to
// the connected socket.
namespace primrosedeal::serve
{

namespace
{

constexpr auto target_timeout = duration{10s};
constexpr auto default_deadline = duration{10s};
constexpr auto status_ok = 200;

auto fresh_secret() -> order::ticket_secret
{
    auto secret = order::ticket_secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
    {
        throw std::runtime_error("no random bytes for the tickets' secret");
    }
    return secret;
}

auto text_of(net::server_request const& it, std::string_view name)
    -> std::string
{
    return std::string{net::find_header(it.headers, name).value_or("")};
}

auto to_response(order::reply const& it) -> net::http_response
{
    if (it.code)
    {
        return entry::error_response({*it.code, it.ran,
                                      it.ran == verdict::not_run
                                          ? "the order did not run"
                                          : "the order may have run; do not "
                                            "send it again under another key",
                                      it.retry_after});
    }
    return {it.status,
            {{"Content-Type", "application/octet-stream"},
             {"Primrosedeal-Verdict", std::string{to_string(it.ran)}}},
            it.body};
}

auto outcome_of(order::reply const& it) -> metrics::outcome
{
    if (!it.code)
    {
        return metrics::outcome::complete;
    }
    return it.ran == verdict::not_run ? metrics::outcome::refused
                                      : metrics::outcome::incomplete;
}

} // namespace

orders::orders(net::event_loop& loop, order::process_id self,
               std::string peer_secret, std::uint64_t seed, placement& places,
               metrics::process_metrics& counters,
               std::function<void(claim_wanted)> to_platform)
    : loop_(loop), self_(self), peer_secret_(std::move(peer_secret)),
      places_(places), counters_(counters),
      to_platform_(std::move(to_platform)),
      book_(std::move(self), fresh_secret(), {}, random_source{seed})
{
}

void orders::give_ticket(caller_request const& from)
{
    auto const ticket = book_.issue_ticket(from.organisation, from.arrived,
                                           net::event_loop::wall_now());
    if (!ticket)
    {
        refuse(reason::overloaded, "too many tickets are unused", 1s);
    }
    auto const body = nlohmann::json{{"ticket", *ticket}};
    from.answer->reply(
        {status_ok, {{"Content-Type", "application/json"}}, body.dump()});
    counters_.request_ended(metrics::request_kind::ticket,
                            metrics::outcome::complete);
}

void orders::call(caller_request const& from, service_id const& service,
                  std::string const& path)
{
    auto const key = text_of(from.http, "Idempotency-Key");
    if (!order::is_valid_chosen_key(key) && !order::has_ticket_prefix(key))
    {
        refuse(reason::malformed_request,
               "Idempotency-Key: a ticket or 1 to 200 printable characters "
               "were expected");
    }
    auto call = std::make_shared<order::target_call>();
    call->service = service;
    call->path = path;
    call->body = from.http.body;
    call->content_type = text_of(from.http, "Content-Type");
    auto it = order::order_requested{};
    it.key = {from.organisation, key};
    it.call = std::move(call);
    it.deadline = from.arrived + default_deadline;
    // Without the caller's word this may be a copy of an order that ran through
    // another host, so "not run" could be false.
    it.repeat = !net::find_header(from.http.headers, "Primrosedeal-First-Ask");
    places_.request(service, from.organisation);
    ask(std::move(it), {from.answer, false});
}

void orders::handed_over(net::server_request const& it,
                         std::shared_ptr<net::responder> const& answer)
{
    auto const order = read_handed_order(it.body);
    if (!order || !(order->owner == self_))
    {
        constexpr auto not_the_owner = 409;
        answer->reply({not_the_owner, {}, ""});
        return;
    }
    auto asked = order::order_requested{};
    asked.key = order->key;
    asked.call = std::make_shared<order::target_call>(order->call);
    asked.deadline = net::event_loop::now() + order->remaining;
    asked.repeat = order->repeat;
    asked.forwarded = true;
    ask(std::move(asked), {answer, true});
}

void orders::on_platform(order::event const& it)
{
    feed(it);
}

void orders::set_peers(std::vector<peer_entry> peers)
{
    peers_ = std::move(peers);
}

void orders::ask(order::order_requested it, open_ask const& from)
{
    it.request_id = order::order_request_id{++next_ask_};
    auto const id = it.request_id;
    asks_.emplace(id, from);
    from.answer->on_close(
        [this, id]
        {
            asks_.erase(id);
            feed(order::caller_disconnected{id});
        });
    feed(it);
}

void orders::feed(order::event const& it)
{
    perform(book_.on_event(it, net::event_loop::now()));
    arm_timer();
}

void orders::perform(order::actions const& actions)
{
    for (auto const& it : actions)
    {
        std::visit([this](auto const& a) { perform_one(a); }, it);
    }
}

void orders::perform_one(order::write_claim const& it)
{
    to_platform_({it});
}

void orders::perform_one(order::read_claim const& it)
{
    to_platform_({it});
}

void orders::perform_one(order::mark_abandoned const& it)
{
    to_platform_({it});
}

void orders::perform_one(order::dispatch const& it)
{
    auto wanted = placement_request{};
    wanted.service = it.call->service;
    wanted.organisation = it.key.organisation;
    wanted.item.excluded = it.tried;
    if (!it.tried.empty())
    {
        wanted.retry = retry_reason::connection_refused;
    }
    auto const answer = places_.place(wanted, net::event_loop::now());
    auto const* const found = std::get_if<placed>(&answer);
    if (found == nullptr)
    {
        report(it, order::no_target{});
        return;
    }
    send(it, found->target);
}

void orders::send(order::dispatch const& it, target_entry const& target)
{
    auto then = order::actions{};
    auto const now = net::event_loop::now();
    auto const permitted = book_.permit_send(it.key, it.attempt, now, then);
    if (!permitted)
    {
        places_.finished(target.what.id, now);
        perform(then);
        return;
    }
    auto request = net::http_request{};
    request.method = net::http_method::post;
    request.path = it.call->path;
    request.headers = {
        {"X-Call-Id", it.key.organisation.value() + "/" + it.key.text}};
    if (!it.call->content_type.empty())
    {
        request.headers.push_back({"Content-Type", it.call->content_type});
    }
    request.body = it.call->body;
    auto const id = target.what.id;
    sent_[it.key] = net::fetch(
        loop_, target.at, request, target_timeout,
        [this, it, id](net::http_response answer)
        {
            places_.finished(id, net::event_loop::now());
            report(it, order::target_response{answer.status,
                                              std::move(answer.body)});
        },
        [this, it, id](net::call_error, bool may_have_sent)
        {
            places_.finished(id, net::event_loop::now());
            may_have_sent ? report(it, order::call_interrupted{})
                          : report(it, order::not_connected{id});
        });
    perform(then);
}

/// Tells the coordinator, after the call's own event has returned.
void orders::report(order::dispatch const& of, order::dispatch_result outcome)
{
    loop_.post(
        [this, key = of.key, attempt = of.attempt, outcome = std::move(outcome)]
        {
            sent_.erase(key);
            feed(order::dispatch_completed{key, attempt, outcome});
        });
}

void orders::perform_one(order::send_reply const& it)
{
    auto const node = asks_.extract(it.request_id);
    if (node.empty())
    {
        return;
    }
    auto const& to = node.mapped();
    to.answer->on_close(nullptr);
    if (to.from_peer)
    {
        to.answer->reply({status_ok, {}, write_reply(it.content)});
        return;
    }
    if (it.content.code)
    {
        counters_.refused(*it.content.code);
    }
    counters_.request_ended(metrics::request_kind::order,
                            outcome_of(it.content));
    to.answer->reply(to_response(it.content));
}

void orders::perform_one(order::forward const& it)
{
    auto const* const at = peer_address(it.owner.host);
    auto const ask = it.request_id;
    if (at == nullptr)
    {
        loop_.post([this, ask] { feed(order::forward_failed{ask}); });
        return;
    }
    auto const remaining = it.deadline - net::event_loop::now();
    auto request = net::http_request{};
    request.method = net::http_method::post;
    request.path = "/peer/orders";
    request.headers = {{"Authorization", "Bearer " + peer_secret_}};
    request.body =
        write_handed_order({it.owner, it.key, *it.call, remaining, it.repeat});
    forwarded_[ask] = net::fetch(
        loop_, *at, request, remaining + target_timeout,
        [this, ask](net::http_response const& answer)
        {
            auto const reply = read_reply(answer.body);
            forwarded_.erase(ask);
            if (answer.status == status_ok && reply)
            {
                feed(order::forward_completed{ask, *reply});
                return;
            }
            feed(order::forward_failed{ask});
        },
        [this, ask](net::call_error, bool)
        {
            forwarded_.erase(ask);
            feed(order::forward_failed{ask});
        });
}

auto orders::peer_address(host_id const& host) const -> net::endpoint const*
{
    for (auto const& it : peers_)
    {
        if (it.host == host)
        {
            return &it.callers_at;
        }
    }
    return nullptr;
}

void orders::arm_timer()
{
    auto const at = book_.next_timer();
    if (!at)
    {
        timer_.cancel();
        return;
    }
    timer_ = loop_.after(*at - net::event_loop::now(),
                         [this] { feed(order::timer_due{}); });
}

} // namespace primrosedeal::serve
