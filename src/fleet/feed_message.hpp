#pragma once

#include "external/key_value.hpp"

#include <optional>
#include <string>
#include <vector>

/// What the host that watches the store tells those that follow it.
namespace primrosedeal::fleet
{

/// One change of the store.
struct feed_entry
{
    std::string key;
    /// Nothing: removed, or too large for a message.
    std::optional<std::string> value;
    /// The follower reads the value from the store itself: a large value sent
    /// to every follower would take seconds on a small host's link.
    bool too_large = false;
    external::store_revision at;
};

struct feed_message
{
    /// The store answers the sender.
    bool in_contact = false;
    /// Revision up to which the sender knows the store, after `entries`.
    external::store_revision at;
    /// Changes since the message before, in order.
    std::vector<feed_entry> entries;
};

/// Longest value in bytes that is passed on, and most bytes of all values in
/// one message. Both fit the link's messages with their keys.
constexpr auto max_feed_value = std::size_t{8} << 10U;
constexpr auto max_feed_bytes = std::size_t{10} << 10U;

auto encode(feed_message const& it) -> std::string;

/// Nothing if `bytes` are not a message.
auto decode_feed_message(std::string_view bytes) -> std::optional<feed_message>;

} // namespace primrosedeal::fleet
