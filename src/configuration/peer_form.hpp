#pragma once

#include "configuration/stored_form.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What hosts say to each other to pass a document on: the asking host names
/// the parts it has, the answer brings the head and only the others.
namespace primrosedeal::configuration
{

struct peer_request
{
    /// What the asking host has; 0: nothing.
    revision have;
    std::vector<part_name> parts;
};

struct peer_answer
{
    std::string head;
    std::map<part_name, std::string> parts;
};

/// CBOR; unknown members are skipped. Readers return nothing for text that
/// is not such a message.
auto write_peer_request(peer_request const& it) -> std::string;
auto read_peer_request(std::string_view bytes) -> std::optional<peer_request>;
auto write_peer_answer(peer_answer const& it) -> std::string;
auto read_peer_answer(std::string_view bytes) -> std::optional<peer_answer>;

/// Cuts a message into pieces of at most `budget` bytes, and back.
auto split_message(std::string_view message, byte_count budget)
    -> std::vector<std::string>;

/// Puts pieces together in order.
class message_joiner
{
public:
    explicit message_joiner(byte_count limit) : limit_(limit) {}

    /// The whole message once the last piece is there. A piece out of turn,
    /// or one that would go over the limit, drops what there was.
    auto add(std::string_view piece) -> std::optional<std::string>;

private:
    byte_count limit_;
    std::string bytes_;
    std::uint32_t next_ = 0;
};

} // namespace primrosedeal::configuration
