#include "serve/operators_port.hpp"

#include <openssl/crypto.h>

#include <utility>

namespace primrosedeal::serve
{

namespace
{

auto plain(int status, std::string body) -> net::http_response
{
    return {status,
            {{"Content-Type", "text/plain; charset=utf-8"}},
            std::move(body)};
}

} // namespace

auto proves_secret(net::server_request const& it, std::string const& secret)
    -> bool
{
    auto const header = net::find_header(it.headers, "Authorization");
    auto const expected = "Bearer " + secret;
    return header && header->size() == expected.size() &&
           CRYPTO_memcmp(header->data(), expected.data(), expected.size()) == 0;
}

operators_port::operators_port(net::event_loop& loop, net::endpoint const& at,
                               std::string secret,
                               metrics::process_metrics& counters,
                               operators_view view)
    : secret_(std::move(secret)), counters_(counters), view_(std::move(view)),
      server_(loop, {},
              [this](net::server_request const& it,
                     std::shared_ptr<net::responder> const& answer)
              { answer->reply(respond(it)); })
{
    server_.listen(at);
}

auto operators_port::respond(net::server_request const& it)
    -> net::http_response
{
    constexpr auto ok = 200;
    constexpr auto unauthorised = 401;
    constexpr auto not_found = 404;
    constexpr auto unavailable = 503;
    if (it.path == "/healthz")
    {
        return plain(ok, "ok\n");
    }
    if (it.path == "/readyz")
    {
        auto const why = view_.why_not_ready();
        return why ? plain(unavailable, *why + "\n") : plain(ok, "ready\n");
    }
    if (it.path == "/metrics")
    {
        view_.refresh_metrics();
        return plain(ok, counters_.text());
    }
    if (it.path != "/status")
    {
        return plain(not_found, "no such path\n");
    }
    if (!proves_secret(it, secret_))
    {
        return plain(unauthorised, "the operators' secret was expected\n");
    }
    return {ok, {{"Content-Type", "application/json"}}, view_.status()};
}

} // namespace primrosedeal::serve
