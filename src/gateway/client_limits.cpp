#include "gateway/client_limits.hpp"

#include "gateway/response_body.hpp"
#include "memory/budget.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

namespace
{

/// File descriptors reserved for the store, peers, files and connections to
/// targets.
constexpr auto reserved_descriptors = std::size_t{600};

/// Time beside the bound on changes for which clients may go by the limits of
/// the configuration before.
constexpr auto change_bound_margin = duration{2s};

/// Share of the descriptors for the connections of one port for queries, and
/// their number.
constexpr auto query_descriptor_share = std::size_t{32};
constexpr auto least_query_connections = std::size_t{4};
constexpr auto most_query_connections = std::size_t{32};
constexpr auto query_sizes =
    http1::parse_limits{std::size_t{8} << 10U, std::size_t{1} << 10U};

/// A tunnel holds bytes at both ends, received and not yet sent.
constexpr auto buffers_of_a_tunnel = std::size_t{4};
constexpr auto least_tunnel_buffer = std::size_t{8} << 10U;

} // namespace

auto apply_client_limits(host_settings const& settings,
                         routes::route_table const* table)
    -> http1::server_limits
{
    auto out = http1::server_limits{};
    auto const descriptors = settings.max_descriptors;
    out.connections.most = descriptors > 2 * reserved_descriptors
                               ? descriptors - reserved_descriptors
                               : descriptors / 2;
    out.memory = memory::make_budget(settings.memory_limit);
    limit_buffered(out.memory->collected);
    if (table != nullptr)
    {
        auto const& limits = table->limits();
        out.sizes = {limits.head_bytes, limits.body_bytes};
        out.head_timeout = limits.head_timeout;
        out.idle_timeout = limits.idle_timeout;
        out.former_limits_known = settings.change_bound + change_bound_margin;
    }
    return out;
}

auto make_query_limits(host_settings const& settings) -> http1::server_limits
{
    auto out = http1::server_limits{};
    out.connections.most =
        std::clamp(settings.max_descriptors / query_descriptor_share,
                   least_query_connections, most_query_connections);
    out.connections.most_surplus = out.connections.most;
    out.sizes = query_sizes;
    return out;
}

auto make_tunnel_limits(host_settings const& settings) -> tunnel_limits
{
    auto out = tunnel_limits{};
    auto const all = memory::make_budget(settings.memory_limit).tunnels;
    out.buffer = std::clamp(all / (buffers_of_a_tunnel * out.connections),
                            least_tunnel_buffer, out.buffer);
    return out;
}

} // namespace primrosedeal::gateway
