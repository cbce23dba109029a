#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/load_tracker.hpp"
#include "external/key_value.hpp"
#include "http1/message.hpp"
#include "request_limit/limit_table.hpp"
#include "rollout/order.hpp"
#include "routes/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The information that the gateway needs from messages, independent of header
/// names, paths and formats on the wire. An adapter implements `protocol`; it
/// only translates and takes no decisions.
namespace primrosedeal::gateway
{

/// Metadata of a client's request.
struct request_metadata
{
    request_id id;
    std::string host;
    /// Time from arrival after which the client stops waiting.
    std::optional<duration> client_timeout;
    /// Last event that the client received before it reconnected.
    std::optional<std::uint64_t> resume_after;
    /// The request that brought the first event of the stream that this one
    /// resumes.
    std::optional<request_id> resumes;
    std::optional<std::string> key;
    /// Zero for plain calls.
    dispatch::work_size size;
    /// The client's estimate of the output; empty if it is unusable.
    std::optional<token_count> length_hint;
    /// Ids of the parts of the prompt that other requests may share.
    std::vector<std::string> shared_parts;
};

/// Identifies a copy of a running request's KV cache.
struct copy_reference
{
    /// The target at which `name` identifies the copy.
    net::endpoint naming_target;
    /// The request id for a backup that grows with the run, else a handle.
    std::string name;
};

/// A request to the target of a run to copy its KV cache to another target
/// while the run continues. A repeated request copies only what was added
/// since.
struct copy_request
{
    request_id run;
    net::endpoint to;
};

/// The values that an attempt adds to the client's request.
struct attempt_spec
{
    target_id target;
    duration time_left{};
    std::optional<organisation_id> organisation;
    std::optional<std::uint64_t> resume_after;
    std::optional<copy_reference> continue_from;
    std::optional<net::endpoint> copy_to;
    /// Scheduling priority at the target, 0 is the highest; empty for plain
    /// calls.
    std::optional<int> scheduling_priority;
};

/// Metadata of a target's response.
struct response_metadata
{
    /// The response carries the id of another request.
    bool request_id_mismatch = false;
    /// The response carries the target's signature.
    bool is_signed = false;
    /// The target states that it has not run the request and will not.
    bool not_executed = false;
    /// The target leaves: it wants no new requests.
    bool target_leaves = false;
    /// The target has turned the request away, and wants none from this host
    /// for so long.
    std::optional<duration> pause;
    /// The body has a content encoding: it was changed in transit.
    bool encoded = false;
    /// Requests that the target takes from all hosts together.
    std::optional<request_limit::request_rate> request_limit;
    /// The response states a limit that is not a number of requests.
    bool unreadable_request_limit = false;
    /// Requests a second that the target may reject for want of room, over all
    /// hosts, before it crashes.
    std::optional<request_limit::request_rate> rejection_limit;
    bool unreadable_rejection_limit = false;
};

/// The configuration read from the store, or the error in it.
struct configuration_entry
{
    std::optional<routes::configuration> parsed;
    std::string error;
    /// As the operators wrote it.
    std::string text;
    /// Members that cannot be read and have their defaults in `parsed`, as JSON
    /// pointers.
    std::vector<std::string> unreadable;
};

/// A host of this system and its address for peers; empty if it was removed.
struct host_entry
{
    host_id id;
    std::optional<net::endpoint> peer_address;
};

/// Versions of the recent streams of a host, as that host has written them.
struct origins_entry
{
    std::string bytes;
};

/// Versions that the streams of a service may have begun at, as a host has
/// written them; empty if the entry was removed.
struct versions_entry
{
    service_id service;
    std::optional<std::string> bytes;
};

/// The era of the store in which the records of versions are complete, as a
/// host has written it.
struct confirmation_entry
{
    external::store_era era;
};

/// An order to move the traffic of a service to one version. The revision that
/// identifies it is that of the item.
struct rollout_order_entry
{
    service_id service;
    software_version version;
    duration length{};
    /// Why the order cannot be read; empty if it can.
    std::string problem;
};

/// The status of such an order.
struct rollout_status_entry
{
    service_id service;
    rollout::state what = rollout::state::in_progress;
    software_version version;
    std::string problem;
};

/// The item of a rollout was removed.
struct rollout_entry_removed
{
    service_id service;
    bool is_status = false;
};

/// An item that the gateway does not use.
struct other_entry
{
};

/// A decoded item of the store.
using store_entry =
    std::variant<configuration_entry, directory::entry_written, host_entry,
                 origins_entry, versions_entry, confirmation_entry,
                 rollout_order_entry, rollout_status_entry,
                 rollout_entry_removed, other_entry>;

class protocol
{
public:
    protocol() = default;
    protocol(protocol const&) = delete;
    auto operator=(protocol const&) -> protocol& = delete;
    virtual ~protocol() = default;

    [[nodiscard]] virtual auto read_request(http1::request const& it) const
        -> request_metadata = 0;
    [[nodiscard]] virtual auto make_attempt(http1::request const& it,
                                            attempt_spec const& spec) const
        -> http1::request = 0;
    [[nodiscard]] virtual auto read_response(http1::response_head const& it,
                                             request_id const& id) const
        -> response_metadata = 0;
    /// Whether a target states in a response, to whatever request, that it
    /// leaves.
    [[nodiscard]] virtual auto
    states_leaving(http1::header_list const& headers) const -> bool = 0;
    [[nodiscard]] virtual auto make_copy_request(copy_request const& it) const
        -> http1::request = 0;
    /// The name of the copy; empty if the copy was not completed.
    [[nodiscard]] virtual auto
    read_copy_name(net::http_response const& it) const
        -> std::optional<std::string> = 0;
    /// The request that frees the copy `name` at target `at`.
    [[nodiscard]] virtual auto make_release(net::endpoint const& at,
                                            std::string const& name) const
        -> http1::request = 0;
    /// A query that a model engine answers whatever it works on.
    [[nodiscard]] virtual auto make_status_query(net::endpoint const& at) const
        -> http1::request = 0;
    [[nodiscard]] virtual auto is_readiness_query(std::string_view target) const
        -> bool = 0;

    [[nodiscard]] virtual auto read_configuration(std::string const& text) const
        -> configuration_entry = 0;
    /// `value` is empty for an item that was removed.
    [[nodiscard]] virtual auto
    read_entry(std::string const& key,
               std::optional<std::string> const& value) const
        -> store_entry = 0;
    /// Whether `key` is the key of a target's entry.
    [[nodiscard]] virtual auto is_target_key(std::string_view key) const
        -> bool = 0;
    [[nodiscard]] virtual auto origins_key(host_id const& id) const
        -> std::string = 0;
    [[nodiscard]] virtual auto versions_key(service_id const& id) const
        -> std::string = 0;
    /// Of `versions_key` for all services.
    [[nodiscard]] virtual auto versions_prefix() const -> std::string = 0;
    [[nodiscard]] virtual auto confirmation_key() const -> std::string = 0;
    [[nodiscard]] virtual auto write_confirmation(external::store_era era) const
        -> std::string = 0;
    [[nodiscard]] virtual auto host_key(host_id const& id) const
        -> std::string = 0;
    [[nodiscard]] virtual auto rollout_order_key(service_id const& id) const
        -> std::string = 0;
    [[nodiscard]] virtual auto rollout_status_key(service_id const& id) const
        -> std::string = 0;
    [[nodiscard]] virtual auto
    write_rollout_status(rollout_status_entry const& it) const
        -> std::string = 0;
};

} // namespace primrosedeal::gateway
