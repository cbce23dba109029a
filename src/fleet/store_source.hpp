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
///
/// When hundreds of hosts start together, each one reads the store and makes
/// itself known there, and each of these writes ends every watch. Until they
/// have heard each other they pause between watches. A host that has watched
/// for long stays the source when one with a lower id starts again, so that its
/// followers do not all go back to the store.
namespace primrosedeal::fleet
{

/// Another host of this host's domain, from its digests.
struct domain_peer
{
    host_id id;
    /// How long the store has answered it; empty if it does not watch the store
    /// or gets no answer.
    std::optional<duration> store_contact;
    /// Its feed to this host failed within `feed_failure_backoff`.
    bool feed_failed = false;
};

struct source_view
{
    host_id self;
    /// As of a peer.
    std::optional<duration> store_contact;
    /// How long this host has run.
    duration age{};
    /// The store lists other hosts.
    bool others_registered = false;
    std::span<domain_peer const> peers;
};

struct watch_store
{
    /// Hosts of the domain that retry the store before this one while it
    /// answers none of them.
    std::size_t hosts_ahead = 0;
    /// Pause between two watches.
    duration pause{};
};

struct follow_peer
{
    host_id id;
};

using store_source = std::variant<watch_store, follow_peer>;

/// Contact after which a host is preferred as the source over those that have
/// had less.
constexpr auto settled_contact = duration{10s};

/// Time in which hosts that start together hear each other. Until then a host
/// follows only a settled one, and pauses between watches unless it is alone.
constexpr auto discovery_time = duration{1s};
constexpr auto start_pause = duration{700ms};

/// The host with the lowest id of those that the store answers, or of the
/// settled ones if there are any, feeds the others. Without such a host every
/// host tries to watch the store, those with higher ids less often.
auto choose_source(source_view const& view) -> store_source;

/// Delay for each host of the domain that asks the store before this one after
/// their feed was lost, and the longest. It leaves the first one time to say
/// that it has contact, and with `feed_timeout` is short beside the time in
/// which a change has to take effect.
constexpr auto feed_loss_slot = duration{50ms};
constexpr auto max_feed_loss_delay = duration{400ms};

/// Time after the loss of its feed in which this host looks for another one
/// before it asks the store.
auto feed_loss_delay(source_view const& view) -> duration;

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
