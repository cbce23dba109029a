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

auto list_is_current(copy_view const& view) -> bool
{
    auto const has_peer_copy =
        view.peer_copy_age && *view.peer_copy_age <= peer_copy_lifetime;
    auto const hears_most = 2 * (view.hosts_heard + 1) > view.hosts_known;
    return view.in_contact || has_peer_copy ||
           (hears_most && !view.answers_others);
}

} // namespace primrosedeal::fleet
