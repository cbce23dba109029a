#include "serve/data_plane.hpp"

#include "entry/answers.hpp"
#include "membership/record.hpp"
#include "serve/operators_port.hpp"
#include "serve/usage_form.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

// After a drain starts, new connections are served until the balancer has
// noticed; then the listener closes and what is in flight runs to its end.
namespace primrosedeal::serve
{

namespace
{

constexpr auto tick_period = duration{100ms};
constexpr auto shortest_usage_period = duration{250ms};
constexpr auto usage_period_per_host = duration{30ms};

auto server_limits_of(settings::host_settings const& from) -> net::server_limits
{
    auto it = net::server_limits{};
    it.max_body_bytes = from.max_body_bytes;
    it.max_header_bytes = from.max_header_bytes;
    it.receive_timeout = from.receive_timeout;
    it.send_timeout = from.send_timeout;
    return it;
}

constexpr auto peer_prefix = std::string_view{"/peer/"};
constexpr auto peer_orders_path = std::string_view{"/peer/orders"};

struct service_path
{
    service_id service;
    std::string verb;
    /// With its leading slash; `/` if there is none.
    std::string rest;
};

/// Nothing if `path` is not `/v1/services/SERVICE/VERB[/REST]`.
auto parse_service_path(std::string_view path) -> std::optional<service_path>
{
    constexpr auto prefix = std::string_view{"/v1/services/"};
    if (!path.starts_with(prefix))
    {
        return std::nullopt;
    }
    path.remove_prefix(prefix.size());
    auto const slash = path.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto it = service_path{};
    it.service = service_id{std::string{path.substr(0, slash)}};
    path.remove_prefix(slash + 1);
    auto const end = std::min(path.find('/'), path.size());
    it.verb = std::string{path.substr(0, end)};
    it.rest = end == path.size() ? "/" : std::string{path.substr(end)};
    return it;
}

} // namespace

data_plane::data_plane(net::event_loop& loop,
                       settings::host_settings const& settings,
                       incarnation start, std::uint64_t seed,
                       metrics::process_metrics& counters,
                       std::function<void(to_control)> send_to_control)
    : loop_(loop), settings_(settings), counters_(counters),
      to_control_(std::move(send_to_control)),
      places_(settings.domain, seed, counters),
      admitter_(admission::admitter_settings{}),
      completions_(loop, settings.host, settings.domain, mix64(seed),
                   {settings.max_open_requests, settings.caller_buffer_bytes},
                   places_, admitter_, counters,
                   [this](target::event it)
                   { to_control_(target_seen{std::move(it)}); }),
      orders_(loop, {settings.host, start}, settings.peer_secret,
              mix64(seed ^ 1U), places_, counters,
              [this](claim_wanted it) { to_control_(std::move(it)); }),
      lookups_(loop, places_, counters),
      server_(loop, server_limits_of(settings),
              [this](net::server_request it,
                     std::shared_ptr<net::responder> const& answer)
              { on_request(std::move(it), answer); })
{
    tick();
    usage_timer_ = loop_.after(shortest_usage_period, [this] { tell_usage(); });
}

data_plane::~data_plane() = default;

auto data_plane::listen() -> std::uint16_t
{
    return server_.listen(settings_.listen_callers);
}

void data_plane::on_message(to_data const& it)
{
    std::visit([this](auto const& m) { take(m); }, it);
}

void data_plane::take(targets_changed const& it)
{
    places_.set_targets(it.view);
}

void data_plane::take(configuration_changed const& it)
{
    configuration_ = it.view;
}

void data_plane::take(load_reported const& it)
{
    places_.reported(it.target, it.report);
}

void data_plane::take(claim_answer const& it)
{
    orders_.on_platform(it.event);
}

void data_plane::take(usage_heard const& it)
{
    if (auto const digest = read_usage(it.digest))
    {
        admitter_.on_digest(it.host, *digest, net::event_loop::now());
    }
}

void data_plane::take(peers_changed const& it)
{
    hosts_ = std::max<std::size_t>(it.peers.size(), 1);
    admitter_.set_hosts(hosts_);
    orders_.set_peers(it.peers);
}

void data_plane::take(drain const& /*it*/)
{
    if (std::exchange(draining_, true))
    {
        return;
    }
    listen_until_ = loop_.after(settings_.readiness_grace,
                                [this]
                                {
                                    server_.stop_listening();
                                    stopped_listening_ = true;
                                    check_drained();
                                });
}

void data_plane::on_request(net::server_request it,
                            std::shared_ptr<net::responder> const& answer)
{
    try
    {
        route(std::move(it), answer);
    }
    catch (request_error const& e)
    {
        counters_.refused(e.what_failed().code);
        answer->reply(entry::error_response(e.what_failed()));
    }
    catch (std::exception const& e)
    {
        counters_.refused(reason::internal_error);
        answer->reply(entry::error_response(
            {reason::internal_error, verdict::may_have_run, e.what(), {}}));
    }
}

void data_plane::route(net::server_request it,
                       std::shared_ptr<net::responder> const& answer)
{
    if (it.path.starts_with(peer_prefix))
    {
        route_peer(it, answer);
        return;
    }
    if (!configuration_)
    {
        refuse(reason::not_ready, "this host has no configuration yet", 1s);
    }
    auto request = caller_request{};
    request.organisation = authenticate(it, *configuration_);
    request.configuration = configuration_;
    request.answer = answer;
    request.arrived = net::event_loop::now();
    request.http = std::move(it);
    auto const& http = request.http;
    if (http.path == "/v1/completions" && http.method == net::http_method::post)
    {
        completions_.handle(request);
        return;
    }
    route_service(request);
}

/// `/v1/services/SERVICE/tickets`, `.../calls/PATH`, `.../lookup/PATH`.
void data_plane::route_service(caller_request const& from)
{
    auto const& http = from.http;
    auto const parts = parse_service_path(http.path);
    auto const* const service =
        parts ? configuration::find_service(from.configuration->document,
                                            parts->service)
              : nullptr;
    if (service == nullptr ||
        service->kind != configuration::service_kind::plain)
    {
        refuse(reason::not_found, "no such path or service");
    }
    auto const is_post = http.method == net::http_method::post;
    if (parts->verb == "tickets" && is_post)
    {
        orders_.give_ticket(from);
        return;
    }
    if (parts->verb == "calls" && is_post)
    {
        orders_.call(from, parts->service, parts->rest);
        return;
    }
    auto const& known = *service;
    if (parts->verb == "lookup" && http.method == net::http_method::get)
    {
        if (configuration::is_order_path(known, parts->rest))
        {
            refuse(reason::malformed_request,
                   "calls to this path may not be repeated: use calls/");
        }
        auto const query = http.query.empty() ? "" : "?" + http.query;
        lookups_.handle(from, parts->service, parts->rest + query);
        return;
    }
    refuse(reason::not_found, "no such path or method");
}

void data_plane::route_peer(net::server_request const& it,
                            std::shared_ptr<net::responder> const& answer)
{
    if (!proves_secret(it, settings_.peer_secret))
    {
        refuse(reason::unauthenticated, "the peers' secret was expected");
    }
    if (it.path != peer_orders_path || it.method != net::http_method::post)
    {
        refuse(reason::not_found, "no such path or method");
    }
    orders_.handed_over(it, answer);
}

void data_plane::tick()
{
    admitter_.set_target_backlog(places_.pressure(net::event_loop::now()));
    check_drained();
    tick_ = loop_.after(tick_period, [this] { tick(); });
}

/// More hosts tell less often, so that the gossip's bytes stay bounded.
void data_plane::tell_usage()
{
    auto digest = admitter_.make_digest(net::event_loop::now());
    if (!digest.usages.empty())
    {
        to_control_(usage_digest{
            write_usage(std::move(digest), membership::max_payload_bytes)});
    }
    auto const period = std::max<duration>(
        shortest_usage_period,
        usage_period_per_host * static_cast<std::int64_t>(hosts_));
    usage_timer_ = loop_.after(period, [this] { tell_usage(); });
}

void data_plane::check_drained()
{
    auto const idle = server_.open_requests() == 0 &&
                      completions_.open() == 0 && orders_.open() == 0 &&
                      lookups_.open() == 0;
    if (stopped_listening_ && idle && !std::exchange(drained_, true))
    {
        to_control_(drained{});
    }
}

} // namespace primrosedeal::serve
