#pragma once

#include "membership/gossip.hpp"
#include "membership/session.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Runs the membership protocol of one entry host over its connections to the
/// other entry hosts.
///
/// Pass it the entry hosts of each host list and publish records. All functions
/// must be called on the loop's thread, where the callbacks run too; from other
/// threads use `net::mailbox`. Destroy the task on the loop's thread or after
/// the loop has stopped.
namespace primrosedeal::membership
{

struct task_settings
{
    host_id self;
    domain_id domain;
    /// Must be larger than at any earlier start of this host, for example
    /// milliseconds since 1970.
    incarnation start;
    /// Listening address; port 0 selects a free port.
    net::endpoint listen;
    /// Shared by all hosts; must not be empty.
    std::string secret;
    /// Seed of the random generator.
    std::uint64_t seed = 0;
    gossip_settings gossip;
    session_limits sessions;
    std::size_t max_sessions = 256;
};

struct task_callbacks
{
    /// A host was added or its record changed.
    std::function<void(member const&)> on_member;
    /// A newer record was published by this or another host.
    std::function<void(record const&, host_id const& from)> on_record;
    /// This host continues under a new incarnation, to be used for all further
    /// records.
    std::function<void(incarnation)> on_new_incarnation;
    /// Returns the body that another host fetches by name, or nullopt if there
    /// is none.
    std::function<std::optional<std::string>(std::string_view name)> body_for;
};

struct task_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_refused = 0;
    std::uint64_t sessions_refused = 0;
    std::uint64_t links_replaced = 0;
};

class membership_task
{
public:
    /// Starts listening. Throws std::runtime_error if that fails and
    /// std::invalid_argument if the secret is empty.
    membership_task(net::event_loop& loop, task_settings settings,
                    task_callbacks callbacks);
    membership_task(membership_task const&) = delete;
    auto operator=(membership_task const&) -> membership_task& = delete;
    ~membership_task();

    void publish(record const& it);

    /// Adds the entry hosts of the host list that are not known yet.
    void add_hosts(std::vector<member> const& hosts);

    /// Announces that this host shuts down. The loop must run on briefly for
    /// the announcement to be sent.
    void leave();

    /// Fetches a body, such as a configuration, from `peer` over a separate
    /// connection. `done` receives nullopt on failure. `name` is sent as a
    /// header and must be printable ASCII of at most about 3 KB.
    void fetch_body(host_id const& peer, std::string const& name,
                    std::function<void(std::optional<std::string>)> done);

    [[nodiscard]] auto members() const -> std::vector<member>;
    [[nodiscard]] auto self() const -> member const&;
    /// Number of established links.
    [[nodiscard]] auto link_count() const -> std::size_t;
    [[nodiscard]] auto protocol() const -> gossip const&;
    [[nodiscard]] auto counters() const -> task_counters;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::membership
