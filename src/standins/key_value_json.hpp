#pragma once

#include "standins/key_value_store.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The etcd v3 JSON gateway's text form, as the service side sees it.
/// Readers return nothing for a body that is not such a request.
namespace primrosedeal::standins
{

struct lease_request
{
    lease_id id;
    std::chrono::seconds ttl{};
};

struct watch_request
{
    key_range keys;
    store_revision from;
};

auto parse_range(std::string_view body) -> std::optional<range_operation>;
auto parse_put(std::string_view body) -> std::optional<put_operation>;
auto parse_delete(std::string_view body) -> std::optional<delete_operation>;
auto parse_transaction(std::string_view body)
    -> std::optional<store_transaction>;
auto parse_lease(std::string_view body) -> std::optional<lease_request>;
auto parse_watch(std::string_view body) -> std::optional<watch_request>;

auto range_body(std::vector<stored_value> const& values, store_revision at)
    -> std::string;
auto put_body(store_revision at) -> std::string;
auto delete_body(std::int64_t deleted, store_revision at) -> std::string;
auto transaction_body(transaction_outcome const& it, store_revision at)
    -> std::string;
auto lease_body(lease_request const& it, store_revision at) -> std::string;
auto keep_alive_body(lease_request const& it, store_revision at) -> std::string;
/// One line of a watch, with its line end.
auto watch_created_line(store_revision at) -> std::string;
auto watch_line(std::vector<store_event> const& events, store_revision at)
    -> std::string;

} // namespace primrosedeal::standins
