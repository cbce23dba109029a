#include "gateway/response_heads.hpp"

#include <string>

namespace primrosedeal::gateway
{

auto forwarded(http1::response_head const& it) -> http1::response_head
{
    auto out = http1::response_head{it.status, {}};
    for (auto const& header : it.headers)
    {
        if (!http1::is_hop_by_hop(header.name, it.headers))
        {
            out.headers.push_back(header);
        }
    }
    return out;
}

auto make_error_head(int status, std::optional<duration> retry_after)
    -> http1::response_head
{
    auto out = http1::response_head{status, {}};
    out.headers.push_back({"Content-Type", "application/json"});
    if (retry_after)
    {
        out.headers.push_back(
            {"Retry-After", std::to_string(to_seconds(*retry_after))});
    }
    return out;
}

} // namespace primrosedeal::gateway
