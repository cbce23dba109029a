#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "dispatch/load_tracker.hpp"
#include "http1/message.hpp"
#include "routes/configuration.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// What the gateway needs to know of messages, without their names on the
/// wire. An adapter implements `protocol` and decides nothing.
namespace primrosedeal::gateway
{

/// What a client's request says beside its bytes.
struct client_facts
{
    request_id id;
    std::string host;
    /// Time that the client will wait.
    std::optional<duration> patience;
    /// Last event that the client has of an earlier attempt.
    std::optional<std::uint64_t> resume_after;
    std::optional<std::string> key;
    /// Zero for plain calls.
    dispatch::work_size size;
};

/// A copy of a running request's memory.
struct kept_copy
{
    /// The target that names the copy.
    net::endpoint at;
    /// The run itself for a copy that grows with it, else a handle.
    std::string name;
};

/// Asks a target to copy a run's memory to another one while it goes on. Asked
/// again, it copies what is new.
struct copy_order
{
    request_id run;
    net::endpoint to;
};

/// What an attempt adds to the client's request.
struct attempt_spec
{
    target_id target;
    duration time_left{};
    std::optional<organisation_id> organisation;
    std::optional<std::uint64_t> resume_after;
    std::optional<kept_copy> continue_from;
    std::optional<net::endpoint> copy_to;
    /// 0 goes first at the target; nothing for plain calls.
    std::optional<int> urgency;
};

/// What a target's answer says beside its bytes.
struct answer_facts
{
    /// It names another request, or none where it names one.
    bool of_another_request = false;
    /// The target signed it as its own.
    bool is_signed = false;
    /// The target did not run the request and will not.
    bool not_executed = false;
    /// The body was changed on the way.
    bool encoded = false;
};

/// The accepted configuration, with the bytes that peers are given.
struct configuration_entry
{
    std::optional<routes::configuration> it;
    std::string error;
};

/// A host of this system and where it takes calls of its peers.
struct host_entry
{
    host_id id;
    std::optional<net::endpoint> peers;
};

struct other_entry
{
};

/// One item of the store by its meaning.
using store_entry = std::variant<configuration_entry, directory::entry_written,
                                 host_entry, other_entry>;

class protocol
{
public:
    protocol() = default;
    protocol(protocol const&) = delete;
    auto operator=(protocol const&) -> protocol& = delete;
    virtual ~protocol() = default;

    [[nodiscard]] virtual auto read_request(http1::request const& it) const
        -> client_facts = 0;
    [[nodiscard]] virtual auto make_attempt(http1::request const& it,
                                            attempt_spec const& spec) const
        -> http1::request = 0;
    [[nodiscard]] virtual auto read_answer(http1::response_head const& it,
                                           request_id const& id) const
        -> answer_facts = 0;
    [[nodiscard]] virtual auto make_copy_order(copy_order const& it) const
        -> http1::request = 0;
    /// The name of a complete copy; nothing if there is none.
    [[nodiscard]] virtual auto read_copied(net::http_response const& it) const
        -> std::optional<std::string> = 0;
    /// Frees the copy `name` at `at`.
    [[nodiscard]] virtual auto make_release(net::endpoint const& at,
                                            std::string const& name) const
        -> http1::request = 0;
    [[nodiscard]] virtual auto is_readiness_query(std::string_view target) const
        -> bool = 0;

    /// `value` is nothing for an item that was removed.
    [[nodiscard]] virtual auto
    read_entry(std::string const& key,
               std::optional<std::string> const& value) const
        -> store_entry = 0;
    /// Whether `key` is that of a target's entry.
    [[nodiscard]] virtual auto names_target(std::string_view key) const
        -> bool = 0;
    [[nodiscard]] virtual auto host_key(host_id const& id) const
        -> std::string = 0;
};

} // namespace primrosedeal::gateway
