#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// What gossip carries: records, of which the newest version wins.
///
/// A record is opaque to membership but for `topic::member`. Records of
/// topics that this release doesn't know are stored and passed on.
namespace primrosedeal::membership
{

enum class topic : std::uint8_t
{
    member = 0,
    leaving_mark = 1,
    configuration = 2,
    usage = 3,
    load = 4,
};

/// Which records go first and how surely they arrive.
enum class urgency : std::uint8_t
{
    /// Sent with the next tick over every link, repaired by digests.
    urgent = 0,
    /// Sent within half a second over every link, repaired by digests.
    normal = 1,
    /// Sent within a second over a few links; lost ones aren't repaired,
    /// since their writer publishes again.
    bulk = 2,
};

constexpr auto urgency_count = std::size_t{3};

struct record_key
{
    membership::topic topic = topic::member;
    std::string name;

    friend auto operator==(record_key const&, record_key const&)
        -> bool = default;
    // clang-tidy 14 takes the defaulted comparison with 0 for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr,modernize-use-trailing-return-type)
    friend auto operator<=>(record_key const&, record_key const&) = default;
};

/// Compared in this order. A key with one writer uses the writer's
/// incarnation as epoch; a key that many write uses 0 and a number that all
/// agree on, such as a revision.
struct record_version
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    friend auto operator==(record_version const&, record_version const&)
        -> bool = default;
    // clang-tidy 14 takes the defaulted comparison with 0 for a pointer.
    // NOLINTBEGIN(modernize-use-nullptr,modernize-use-trailing-return-type)
    friend auto operator<=>(record_version const&,
                            record_version const&) = default;
    // NOLINTEND(modernize-use-nullptr,modernize-use-trailing-return-type)
};

struct record
{
    record_key key;
    record_version version;
    membership::urgency urgency = urgency::normal;
    std::string payload;
    /// Zero: kept until replaced. Whole seconds.
    std::chrono::seconds lifetime{0};
    /// Time since it was published, summed over the hosts it came by.
    std::chrono::seconds age{0};
};

constexpr auto max_key_bytes = std::size_t{128};
constexpr auto max_payload_bytes = std::size_t{1024};

enum class host_state : std::uint8_t
{
    alive = 0,
    suspect = 1,
    dead = 2,
};

auto to_string(host_state it) -> std::string_view;

/// An entry host as gossip knows it.
struct member
{
    host_id id;
    net::endpoint address;
    domain_id domain;
    incarnation start;
    host_state state = host_state::alive;

    friend auto operator==(member const&, member const&) -> bool = default;
};

/// The record of `it`: its version is (incarnation, state), so a suspicion
/// beats the life it doubts, and only a new incarnation beats a death.
auto to_record(member const& it) -> record;

/// Nothing if the payload is malformed.
auto to_member(record const& it) -> std::optional<member>;

} // namespace primrosedeal::membership
