#include "load/plain_caller.hpp"

#include "load/api.hpp"

#include <nlohmann/json.hpp>

#include <utility>

// The verdict of an order starts as not_run and becomes may_have_run with the
// first request that left under the ticket; only an answer changes it again.
// The path of a call follows the service's name.
namespace primrosedeal::load
{

namespace
{

constexpr auto least_error = 400;
constexpr auto least_retryable = 500;
constexpr auto too_many_requests = 429;

} // namespace

plain_caller::plain_caller(net::event_loop& loop, load_options const& options,
                           planned_call const& call, time_point began,
                           std::function<void()> on_done)
    : loop_(loop), options_(options), call_(call), began_(began),
      on_done_(std::move(on_done)),
      hosts_(options.hosts, mix64(options.seed ^ mix64(call.index)))
{
    result_.index = call.index;
    result_.at = call.at;
}

void plain_caller::start()
{
    ask();
}

auto plain_caller::request() const -> net::http_request
{
    if (auto const* const lookup = std::get_if<planned_lookup>(&call_.what))
    {
        return get("/v1/services/" + options_.lookup_service + "/lookup/" +
                       lookup->path,
                   call_.key);
    }
    auto const base = "/v1/services/" + options_.order_service;
    if (ticket_.empty())
    {
        return post(base + "/tickets", call_.key, "");
    }
    auto it = post(base + "/calls/" + options_.order_path, call_.key,
                   std::get<planned_order>(call_.what).body);
    it.headers.push_back({"Idempotency-Key", ticket_});
    return it;
}

void plain_caller::ask()
{
    auto const on_error = [this](net::call_error, bool may_have_sent)
    {
        sent_ = sent_ || (may_have_sent && !ticket_.empty());
        ask_again("connection broke");
    };
    open_ = net::fetch(
        loop_, hosts_.next(), request(), options_.caller_patience,
        [this](net::http_response const& it) { on_response(it); }, on_error);
}

void plain_caller::on_response(net::http_response const& it)
{
    if (it.status >= least_error)
    {
        on_refusal(it);
    }
    else if (is_order() && ticket_.empty())
    {
        on_ticket(it);
    }
    else
    {
        finish(call_outcome::ran, "");
    }
}

void plain_caller::on_ticket(net::http_response const& it)
{
    auto const body = nlohmann::json::parse(it.body, nullptr, false);
    if (!body.is_object() || !body.contains("ticket"))
    {
        finish(call_outcome::not_run, "bad ticket");
        return;
    }
    ticket_ = body["ticket"].get<std::string>();
    ask();
}

void plain_caller::on_refusal(net::http_response const& it)
{
    auto const why = refusal_reason(it.body, it.status);
    auto const verdict = refusal_verdict(it.body);
    auto const lookup_again = !is_order() && (it.status == too_many_requests ||
                                              it.status >= least_retryable);
    auto const order_again = is_order() && verdict == "not_run" && !sent_ &&
                             it.status >= too_many_requests;
    if (lookup_again || order_again)
    {
        ask_again(why);
        return;
    }
    if (verdict == "ran")
    {
        finish(call_outcome::ran, why);
        return;
    }
    finish(verdict == "not_run" && !sent_ ? call_outcome::not_run
                                          : call_outcome::may_have_run,
           why);
}

void plain_caller::ask_again(std::string const& why)
{
    open_.reset();
    if (over_)
    {
        return;
    }
    if (result_.reconnects >= options_.max_reconnects)
    {
        finish(sent_ ? call_outcome::may_have_run : call_outcome::not_run,
               "gave up: " + why);
        return;
    }
    ++result_.reconnects;
    retry_ = loop_.after(retry_delay(options_, result_.reconnects),
                         [this] { ask(); });
}

void plain_caller::give_up()
{
    if (!over_)
    {
        finish(ticket_.empty() ? call_outcome::not_run
                               : call_outcome::may_have_run,
               "not over in time");
    }
}

void plain_caller::finish(call_outcome outcome, std::string problem)
{
    over_ = true;
    open_.reset();
    retry_.cancel();
    result_.outcome = outcome;
    result_.took = net::event_loop::now() - (began_ + result_.at);
    result_.problem = std::move(problem);
    on_done_();
}

} // namespace primrosedeal::load
