#pragma once

#include "membership/record.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between entry hosts and their msgpack form.
namespace primrosedeal::membership
{

enum class message_kind : std::uint8_t
{
    /// Records only.
    push = 0,
    /// Answer at once with `ack` and the same number.
    ping = 1,
    ack = 2,
    /// Probe `subject` on the sender's behalf.
    probe_request = 3,
    /// `subject` answered the probe asked for.
    probe_answered = 4,
    /// `subject` did not.
    probe_unanswered = 5,
    /// The sender's digest; answer with what differs and one's own digest.
    digest = 6,
    /// The same, but without asking for a digest back.
    digest_reply = 7,
};

constexpr auto digest_buckets = std::size_t{128};
using digest = std::array<std::uint32_t, digest_buckets>;

struct message
{
    message_kind kind = message_kind::push;
    /// Incarnation of the sender.
    incarnation start{};
    /// Pairs a ping with its ack and a request with its outcome.
    std::uint64_t number = 0;
    host_id subject{};
    std::vector<record> records{};
    std::optional<digest> summary{};
};

constexpr auto max_message_bytes = std::size_t{16384};
constexpr auto max_records_per_message = std::size_t{512};

auto encode(message const& it) -> std::string;

/// Size that `it` adds to an encoded message, at most.
auto encoded_bytes(record const& it) -> std::size_t;

/// Nothing if `bytes` is no message or breaks a limit; never throws on any
/// input. Fields and kinds of later releases are skipped: an unknown kind is
/// read as `push`.
auto decode(std::string_view bytes) -> std::optional<message>;

} // namespace primrosedeal::membership
