#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "dispatch/load_book.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What one host tells all others several times a second.
///
/// Digests carry absolute values rather than deltas, so the next digest repairs
/// the effect of a lost or late one.
namespace primrosedeal::fleet
{

/// Requests and further attempts for one service since the host's start.
struct service_count
{
    std::uint64_t requests = 0;
    /// Attempts that reached no target are taken off again, so a span of time
    /// may have less than none.
    std::int64_t further_attempts = 0;
};

struct digest
{
    host_id host;
    domain_id domain;
    /// Start of the process; its counts begin anew with it.
    incarnation start;
    /// Grows with every digest of a process.
    std::uint64_t sequence = 0;
    /// What the host has running at each target; absent: nothing.
    std::map<target_id, dispatch::target_load> loads;
    std::map<service_id, service_count> counts;
    /// Targets that the host has just found unreachable or silent.
    std::vector<target_id> lost;
    /// Targets whose address another one has answered at: they are gone.
    std::vector<target_id> replaced;
    /// How long the store has answered the host without a failed call; nothing
    /// while it does not, or where the host does not ask it.
    std::optional<duration> store_contact;
};

/// Largest digest in bytes; one datagram. What does not fit is left out.
constexpr auto max_digest_bytes = std::size_t{8} << 10U;

auto encode(digest const& it) -> std::string;

/// Nothing if `bytes` are not a digest.
auto decode_digest(std::string const& bytes) -> std::optional<digest>;

} // namespace primrosedeal::fleet
