#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Versioned records that gossip replicates to every host. For each key the
/// newest version wins.
///
/// Membership interprets only records of `topic::member`; all other payloads
/// are opaque. Records of topics unknown to this release are stored and
/// forwarded.
namespace primrosedeal::membership
{

enum class topic : std::uint8_t
{
    member = 0,
    target_leaving = 1,
    configuration = 2,
    usage = 3,
    load = 4,
};

/// Sending order and delivery guarantee of a record.
enum class urgency : std::uint8_t
{
    /// Sent over every link on the next tick; losses are repaired by digests.
    urgent = 0,
    /// Sent over every link within half a second; losses are repaired by
    /// digests.
    normal = 1,
    /// Sent over a few links within a second. Losses are not repaired, since
    /// the writer publishes periodically.
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

/// Ordered by epoch, then sequence. A key with a single writer uses the
/// writer's incarnation as epoch. A key with several writers uses epoch 0 and
/// a sequence that all writers agree on, such as a revision.
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
    /// In whole seconds; zero retains the record until it is replaced.
    std::chrono::seconds lifetime{0};
    /// Time since publication, accumulated over the hosts that forwarded the
    /// record.
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

/// Replicated state of an entry host.
struct member
{
    host_id id;
    net::endpoint address;
    domain_id domain;
    incarnation start;
    host_state state = host_state::alive;

    friend auto operator==(member const&, member const&) -> bool = default;
};

/// Encodes `it` as a record with the version (incarnation, state): `suspect`
/// and `dead` override `alive` of the same incarnation, and only a newer
/// incarnation overrides `dead`.
auto to_record(member const& it) -> record;

/// Returns nullopt if `it` is not a member record or is malformed.
auto to_member(record const& it) -> std::optional<member>;

} // namespace primrosedeal::membership
