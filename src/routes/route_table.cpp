#include "routes/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

// Prefixes begin and end with a slash, so the candidates for a path are its
// parts up to each slash. A lookup costs one hash table access per segment,
// independent of the number of routes of a host.
namespace primrosedeal::routes
{

namespace
{

auto to_lower(std::string_view text) -> std::string
{
    auto out = std::string{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return out;
}

/// The form in which hosts are compared: without port, case or the dot that
/// ends a fully qualified name.
auto to_host_key(std::string_view host) -> std::string
{
    auto const literal_end = host.starts_with('[') ? host.find(']') : 0;
    host = host.substr(0, host.find(':', std::min(literal_end, host.size())));
    if (host.ends_with('.'))
    {
        host.remove_suffix(1);
    }
    return to_lower(host);
}

} // namespace

auto to_string(request_kind it) -> std::string_view
{
    switch (it)
    {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::non_idempotent:
        return "non_idempotent";
    case request_kind::streaming:
        return "streaming";
    }
    return "unknown";
}

route_table::route_table(configuration it) : configuration_(std::move(it))
{
    for (auto const& route : configuration_.routes)
    {
        auto const key = to_host_key(route.host);
        auto& held = by_host_[key][route.path_prefix];
        // A route that names the host in this form goes before one that does
        // not.
        if (held == nullptr || key == to_lower(route.host))
        {
            held = &route;
        }
    }
    for (auto const& organisation : configuration_.organisations)
    {
        for (auto const& key : organisation.keys)
        {
            by_key_[key] = &organisation;
        }
    }
    for (auto const& service : configuration_.services)
    {
        by_service_[service.id.value()] = &service;
    }
}

auto route_table::match(std::string_view host,
                        std::string_view request_target) const -> route const*
{
    auto const host_routes = by_host_.find(to_host_key(host));
    if (host_routes == by_host_.end())
    {
        return nullptr;
    }
    auto path = request_target.substr(0, request_target.find_first_of("?#"));
    while (!path.empty())
    {
        auto const slash = path.rfind('/');
        if (slash == std::string_view::npos)
        {
            return nullptr;
        }
        auto const it =
            host_routes->second.find(std::string{path.substr(0, slash + 1)});
        if (it != host_routes->second.end())
        {
            return it->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

auto route_table::find_organisation(std::string_view key) const
    -> organisation const*
{
    auto const it = by_key_.find(std::string{key});
    return it == by_key_.end() ? nullptr : it->second;
}

auto route_table::find(service_id const& id) const -> service const*
{
    auto const it = by_service_.find(id.value());
    return it == by_service_.end() ? nullptr : it->second;
}

namespace
{

auto total_weight(route const& it) -> std::uint64_t
{
    return std::accumulate(it.split.begin(), it.split.end(), std::uint64_t{0},
                           [](std::uint64_t sum, service_share const& s)
                           { return sum + s.weight; });
}

} // namespace

auto allows(route const& it, service_id const& service) -> bool
{
    if (total_weight(it) == 0)
    {
        return !it.split.empty() && it.split.front().service == service;
    }
    return std::any_of(it.split.begin(), it.split.end(),
                       [&](auto const& share) {
                           return share.weight > 0 && share.service == service;
                       });
}

auto choose_service(route const& it, random_source& random) -> service_id const*
{
    auto const total = total_weight(it);
    if (total == 0)
    {
        return it.split.empty() ? nullptr : &it.split.front().service;
    }
    auto remaining = random.below(total);
    for (auto const& share : it.split)
    {
        if (remaining < share.weight)
        {
            return &share.service;
        }
        remaining -= share.weight;
    }
    return &it.split.back().service;
}

} // namespace primrosedeal::routes
