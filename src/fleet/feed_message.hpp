#pragma once

#include "external/key_value.hpp"

#include <optional>
#include <string>
#include <vector>

/// Messages of the feed, by which the host that watches the store forwards its
/// changes to the hosts that follow it.
namespace primrosedeal::fleet
{

/// One change of the store.
struct feed_entry
{
    std::string key;
    /// Nothing: removed, or too large for a message.
    std::optional<std::string> value;
    /// The follower reads the value from the store itself, since sending a
    /// large value to every follower would take seconds on a small host's link.
    bool too_large = false;
    external::store_revision at;
};

struct feed_message
{
    /// The store currently answers the sender.
    bool in_contact = false;
    /// Revision of the store that the sender has received, including `entries`.
    external::store_revision at;
    /// Changes since the previous message, in order, and of the era of `at`.
    std::vector<feed_entry> entries;
};

/// Limits in bytes for one value and for all values in one message. With their
/// keys, both fit one message of the link.
constexpr auto max_feed_value = std::size_t{8} << 10U;
constexpr auto max_feed_bytes = std::size_t{10} << 10U;

auto encode(feed_message const& it) -> std::string;

/// Returns nothing if `bytes` is not a valid message. `otherwise` is the era of
/// a message that names none, as earlier versions of this program send it.
auto decode_feed_message(std::string_view bytes,
                         external::store_era otherwise = {})
    -> std::optional<feed_message>;

} // namespace primrosedeal::fleet
