#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>
#include <span>
#include <variant>

/// Decides which hosts watch the store and which receive its changes from
/// another host of their failure domain.
///
/// Load pattern: a domain's engines crash and register again, so the store
/// changes a hundred times within a second while dozens of hosts watch it.
/// Every change ends every watch, and the store bills each call. Therefore one
/// host of a domain watches the store and forwards the changes to the others
/// over links inside the domain. Hosts derive this role from each other's
/// digests; if two hosts of a domain both watch, the only cost is extra calls.
namespace primrosedeal::fleet
{

/// Another host of this host's domain, from its digests.
struct domain_peer
{
    host_id id;
    /// It watches the store, and the store answers it.
    bool watches_store = false;
    /// Its feed to this host failed within `feed_failure_backoff`.
    bool feed_failed = false;
};

struct source_view
{
    host_id self;
    /// This host watches the store, and the store answers it.
    bool watches_store = false;
    std::span<domain_peer const> peers;
};

struct watch_store
{
    /// Hosts of the domain that retry the store before this one while it
    /// answers none of them.
    std::size_t hosts_ahead = 0;
};

struct follow_peer
{
    host_id id;
};

using store_source = std::variant<watch_store, follow_peer>;

/// The host with the lowest id that the store answers feeds the others. Without
/// such a host every host tries to watch the store, those with higher ids less
/// often.
auto choose_source(source_view const& view) -> store_source;

/// What a host knows of how current its copy of the store is.
struct copy_view
{
    /// Changes arrive, by its own watch or a feed.
    bool in_contact = false;
    /// Age of the last copy of a peer that was in contact.
    std::optional<duration> peer_copy_age;
    /// The store answers some other host.
    bool answers_others = false;
    std::size_t hosts_heard = 0;
    /// Hosts of the fleet, including this one.
    std::size_t hosts_known = 1;
};

/// A peer's copy counts as current for this time: a few polls.
constexpr auto peer_copy_lifetime = duration{1500ms};

/// Whether the store can have no entry that the host does not know. While the
/// store answers nobody it takes no entries either; a host knows this only if
/// it hears most others.
auto list_is_current(copy_view const& view) -> bool;

/// A feed times out after this time without a message. It spans several message
/// periods and is short compared with the seconds within which a change has to
/// take effect.
constexpr auto feed_timeout = duration{1s};

/// A host whose feed failed is not followed again for this time.
constexpr auto feed_failure_backoff = duration{3s};

} // namespace primrosedeal::fleet
