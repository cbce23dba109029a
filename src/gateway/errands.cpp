#include "gateway/errands.hpp"

namespace primrosedeal::gateway
{

void errands::start(net::event_loop& loop, net::endpoint const& to,
                    http1::request const& message, duration patience)
{
    auto const id = next_++;
    calls_[id] = std::make_unique<http1::fetch>(
        loop, to, message, patience,
        [this, id, &loop](std::optional<net::http_response> const&, bool)
        {
            // The call is still on the stack.
            loop.post([this, id] { calls_.erase(id); });
        });
}

} // namespace primrosedeal::gateway
