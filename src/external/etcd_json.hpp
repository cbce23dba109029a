#pragma once

#include "external/key_value.hpp"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

/// The JSON form of the etcd v3 gateway: base64 keys and values, 64-bit
/// numbers as text. Pure functions; readers return nothing for text that is
/// not such an answer and skip members they don't know.
namespace primrosedeal::external::etcd
{

auto encode_base64(std::string_view bytes) -> std::string;
auto decode_base64(std::string_view text) -> std::optional<std::string>;

auto write_range(range_request const& it) -> std::string;
auto write_transaction(transaction const& it) -> std::string;
auto write_lease_grant(lease_id id, std::chrono::seconds ttl) -> std::string;
auto write_lease(lease_id id) -> std::string;
auto write_watch(range_request const& it, store_revision from) -> std::string;

auto read_range(std::string_view text) -> std::optional<range_result>;
auto read_transaction(std::string_view text)
    -> std::optional<transaction_result>;
/// Also for a renewal, whose members stand one level lower.
auto read_lease(std::string_view text) -> std::optional<lease_grant>;

/// One line of a watch's answer.
struct watch_line
{
    bool opened = false;
    /// The service ended the watch and says why.
    std::optional<std::string> ended;
    std::vector<watch_event> events;
};

auto read_watch_line(std::string_view line) -> std::optional<watch_line>;

} // namespace primrosedeal::external::etcd
