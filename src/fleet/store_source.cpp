#include "fleet/store_source.hpp"

namespace primrosedeal::fleet
{

auto choose_source(source_view const& view) -> store_source
{
    auto first = view.watches_store ? std::optional{view.self} : std::nullopt;
    auto out = watch_store{};
    for (auto const& it : view.peers)
    {
        if (it.feed_failed)
        {
            continue;
        }
        if (it.watches_store && (!first || it.id < *first))
        {
            first = it.id;
        }
        out.hosts_ahead += it.id < view.self ? 1 : 0;
    }
    if (first && *first != view.self)
    {
        return follow_peer{*first};
    }
    return out;
}

} // namespace primrosedeal::fleet
