#pragma once

#include "membership/record.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between entry hosts and their msgpack encoding.
namespace primrosedeal::membership
{

enum class message_kind : std::uint8_t
{
    /// Records only.
    push = 0,
    /// Requests an immediate `ack` with the same `request_id`.
    ping = 1,
    ack = 2,
    /// Requests a probe of `subject` on the sender's behalf.
    probe_request = 3,
    /// Outcome of a `probe_request`: `subject` responded.
    probe_answered = 4,
    /// Outcome of a `probe_request`: `subject` did not respond in time.
    probe_unanswered = 5,
    /// The sender's digest. The receiver replies with the records that differ
    /// and with its own digest.
    digest = 6,
    /// As `digest`, but requests no digest in return.
    digest_reply = 7,
};

constexpr auto digest_buckets = std::size_t{128};
using digest = std::array<std::uint32_t, digest_buckets>;

struct message
{
    message_kind kind = message_kind::push;
    /// Incarnation of the sender.
    incarnation start{};
    /// Matches a ping with its ack and a probe request with its outcome.
    std::uint64_t request_id = 0;
    host_id subject{};
    std::vector<record> records{};
    std::optional<digest> summary{};
};

constexpr auto max_message_bytes = std::size_t{16384};
constexpr auto max_records_per_message = std::size_t{512};

auto encode(message const& it) -> std::string;

/// Upper bound of the bytes that `it` adds to an encoded message.
auto encoded_bytes(record const& it) -> std::size_t;

/// Returns nullopt if `bytes` is malformed or exceeds a limit; never throws.
/// Unknown fields are skipped and an unknown kind is read as `push`, for
/// compatibility with later releases.
auto decode(std::string_view bytes) -> std::optional<message>;

} // namespace primrosedeal::membership
