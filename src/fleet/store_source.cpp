#include "fleet/store_source.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::fleet
{

namespace
{

/// Hosts are preferred as the source in this order. A host that follows
/// another one is behind it in this order by both hosts' views, since reported
/// contact is never longer than the actual one; so two hosts do not follow each
/// other.
using preference = std::pair<bool, host_id>;

auto settled(std::optional<duration> const& contact) -> bool
{
    return contact && *contact >= settled_contact;
}

} // namespace

auto choose_source(source_view const& view) -> store_source
{
    auto first = std::optional<preference>{};
    if (view.store_contact)
    {
        first = preference{!settled(view.store_contact), view.self};
    }
    auto out = watch_store{};
    for (auto const& it : view.peers)
    {
        if (it.feed_failed)
        {
            continue;
        }
        auto const rank = preference{!settled(it.store_contact), it.id};
        auto const waits =
            view.age < discovery_time && !settled(it.store_contact);
        if (it.store_contact && !waits && (!first || rank < *first))
        {
            first = rank;
        }
        out.hosts_ahead += it.id < view.self ? 1 : 0;
    }
    if (first && first->second != view.self)
    {
        return follow_peer{first->second};
    }
    if (view.others_registered && view.age < discovery_time)
    {
        out.pause = start_pause;
    }
    return out;
}

auto feed_loss_delay(source_view const& view) -> duration
{
    auto const ahead = std::count_if(
        view.peers.begin(), view.peers.end(),
        [&](auto const& it) { return !it.feed_failed && it.id < view.self; });
    return std::min(feed_loss_slot * ahead, max_feed_loss_delay);
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
