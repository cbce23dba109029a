#include "gateway/background_calls.hpp"

namespace primrosedeal::gateway
{

void background_calls::start(net::event_loop& loop, net::endpoint const& to,
                             http1::request const& message, duration timeout)
{
    auto const id = next_++;
    calls_[id] = std::make_unique<http1::fetch>(
        loop, to, message, timeout,
        [this, id, &loop](std::optional<net::http_response> const&, bool)
        {
            // The handler runs inside the call, so the call is destroyed later.
            loop.post([this, id] { calls_.erase(id); });
        });
}

} // namespace primrosedeal::gateway
