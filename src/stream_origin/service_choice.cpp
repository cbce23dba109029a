#include "stream_origin/service_choice.hpp"

#include <algorithm>
#include <vector>

namespace primrosedeal::stream_origin
{

namespace
{

auto has_streams(routes::route_table const& table, service_id const& id) -> bool
{
    auto const* const service = table.find(id);
    if (service == nullptr || service->engine)
    {
        return true;
    }
    auto const& all = table.all().routes;
    return std::any_of(all.begin(), all.end(),
                       [&](routes::route const& it)
                       {
                           return it.kind == routes::request_kind::streaming &&
                                  routes::allows(it, id);
                       });
}

/// Services that the stream may have begun at.
auto candidates(std::optional<origin> const& known,
                versions_by_service const& recorded) -> std::vector<service_id>
{
    auto out = std::vector<service_id>{};
    for (auto const& [service, versions] : recorded)
    {
        if (!known || versions.contains(known->version))
        {
            out.push_back(service);
        }
    }
    return out;
}

/// The only service that the route allows, if there is no other.
auto single_service(routes::route const& it) -> std::optional<service_id>
{
    auto out = std::optional<service_id>{};
    for (auto const& share : it.split)
    {
        if (!routes::allows(it, share.service))
        {
            continue;
        }
        if (out && *out != share.service)
        {
            return std::nullopt;
        }
        out = share.service;
    }
    return out;
}

} // namespace

auto stream_services(versions_by_service const& recorded,
                     routes::route_table const& table) -> versions_by_service
{
    auto out = recorded;
    std::erase_if(out, [&](auto const& it)
                  { return !has_streams(table, it.first); });
    return out;
}

auto choose_service(std::optional<origin> const& known,
                    routes::route const& route,
                    versions_by_service const& recorded) -> service_choice
{
    if (known && known->service)
    {
        return routes::allows(route, *known->service)
                   ? service_choice{only_service{*known->service}}
                   : service_choice{service_gone{*known->service}};
    }
    auto const possible = candidates(known, recorded);
    if (possible.empty())
    {
        // Nothing is recorded, by which the version is not known either.
        auto const single = single_service(route);
        return single ? service_choice{only_service{*single}}
                      : service_choice{service_unknown{}};
    }
    return possible.size() == 1 && routes::allows(route, possible.front())
               ? service_choice{only_service{possible.front()}}
               : service_choice{service_unknown{}};
}

} // namespace primrosedeal::stream_origin
