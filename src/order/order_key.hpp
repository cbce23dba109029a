#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

/// Keys of orders: calls that may not be repeated.
///
/// A key is either chosen by the caller or a ticket, which an entry host gave
/// out. A ticket names the only process that may ever dispatch it. Its digest
/// is keyed by a secret of that process and covers the organisation, so a
/// caller can neither make one up nor use another organisation's.
namespace primrosedeal::order
{

/// Counts the tickets of one process.
using ticket_serial = strong<struct ticket_serial_tag, std::uint64_t>;

/// Secret of one process, drawn from the system's generator at its start and
/// never stored or sent.
using ticket_secret = std::array<unsigned char, 32>;

/// One start of one host: the only place where its tickets are dispatched.
struct process_id
{
    host_id host;
    incarnation start;

    friend auto operator==(process_id const&, process_id const&)
        -> bool = default;
};

/// What identifies an order. Two organisations never share a key.
struct call_key
{
    organisation_id organisation;
    std::string text;

    friend auto operator==(call_key const&, call_key const&) -> bool = default;
    friend auto operator<(call_key const& a, call_key const& b) -> bool
    {
        return std::tie(a.organisation, a.text) <
               std::tie(b.organisation, b.text);
    }
};

struct ticket
{
    process_id owner;
    ticket_serial serial;
    /// For the caller's information; the owner decides by its own clock.
    wall_time expires;

    friend auto operator==(ticket const&, ticket const&) -> bool = default;
};

/// The ticket's text: `t1~HOST~INCARNATION~SERIAL~EXPIRY~DIGEST`, safe in a
/// header, at most `max_key_bytes`.
auto format_ticket(ticket const& it, organisation_id const& organisation,
                   ticket_secret const& secret) -> std::string;

/// Longest key in bytes, of either kind.
inline constexpr std::size_t max_key_bytes = 200;

/// Whether `key` has the form that is kept for tickets. Such a key is never
/// taken for one that a caller chose.
auto looks_like_ticket(std::string_view key) -> bool;

/// Reads a ticket without checking its digest; empty if it is malformed.
auto parse_ticket(std::string_view key) -> std::optional<ticket>;

/// Whether the owner with `secret` gave out `key` to `organisation`. Takes
/// the same time wherever the digests differ.
auto is_genuine(call_key const& key, ticket const& parsed,
                ticket_secret const& secret) -> bool;

/// Whether a caller may choose `key`: 1 to `max_key_bytes` printable ASCII
/// characters without space, and not in the form of a ticket.
auto is_valid_chosen_key(std::string_view key) -> bool;

} // namespace primrosedeal::order
