#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <optional>
#include <span>
#include <variant>

/// Which hosts watch the store and which take its changes from a host of their
/// failure domain.
///
/// Load pattern: a domain's engines crash and register again, so the store
/// changes a hundred times within a second while dozens of hosts watch it.
/// Every change ends every watch, and the store bills each call. Here one host
/// of a domain watches and feeds the others over links inside the domain. The
/// role follows from what hosts hear of each other; two hosts that both take
/// it cost calls, nothing else.
namespace primrosedeal::fleet
{

/// Another host of the own domain, from its digests.
struct domain_peer
{
    host_id id;
    /// It watches the store, and the store answers it.
    bool watches_store = false;
    /// Its feed has failed this host a moment ago.
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
    /// Hosts of the domain that try before this one while the store answers
    /// none of them.
    std::size_t before = 0;
};

struct follow_peer
{
    host_id id;
};

using store_source = std::variant<watch_store, follow_peer>;

/// The first host, by id, that is in contact with the store feeds the others.
/// Without such a host everyone tries the store, later ones less often.
auto choose_source(source_view const& view) -> store_source;

/// A feed without a message for this time has failed: several periods of its
/// messages, and short beside the seconds in which changes must be in force.
constexpr auto feed_silence_limit = duration{1s};

/// Time for which a host whose feed failed is not followed again.
constexpr auto feed_distrust = duration{3s};

} // namespace primrosedeal::fleet
