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

/// The task of one entry host that talks with the other entry hosts.
///
/// Make it, give it the entry hosts of the host list from time to time, and
/// publish records. Its functions and callbacks run on its loop's thread; from
/// elsewhere use `net::mailbox`. Destroy it only with its loop stopped or on
/// the loop's thread.
namespace primrosedeal::membership
{

struct task_settings
{
    host_id self;
    domain_id domain;
    /// Larger than at any earlier start of this host: milliseconds since
    /// 1970, say.
    incarnation start;
    /// Where to listen; port 0 takes any that is free.
    net::endpoint listen;
    /// The same on all hosts; must not be empty.
    std::string secret;
    /// Of this process's random choices.
    std::uint64_t seed = 0;
    gossip_settings gossip;
    session_limits sessions;
    std::size_t max_sessions = 256;
};

struct task_callbacks
{
    /// A host is new or its state changed.
    std::function<void(member const&)> on_member;
    /// A newer record, published here or by another host.
    std::function<void(record const&, host_id const& from)> on_item;
    /// This host goes on under a new incarnation: publish under it.
    std::function<void(incarnation)> on_new_incarnation;
    /// Body that another host fetches, by name.
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
    /// Listens. Throws std::runtime_error if it cannot, and
    /// std::invalid_argument without a secret.
    membership_task(net::event_loop& loop, task_settings settings,
                    task_callbacks callbacks);
    membership_task(membership_task const&) = delete;
    auto operator=(membership_task const&) -> membership_task& = delete;
    ~membership_task();

    void publish(record const& it);

    /// Entry hosts as the host list names them.
    void learn_hosts(std::vector<member> const& hosts);

    /// Tells the others that this host goes. Let the loop run on for a
    /// moment after it.
    void leave();

    /// Fetches a body, such as a configuration, from `peer` over a
    /// connection of its own; `done` gets nothing if that fails. `name` travels
    /// as a header: printable ASCII, at most about 3 KB.
    void fetch_body(host_id const& peer, std::string const& name,
                    std::function<void(std::optional<std::string>)> done);

    [[nodiscard]] auto members() const -> std::vector<member>;
    [[nodiscard]] auto self() const -> member const&;
    /// Hosts with which a link is up.
    [[nodiscard]] auto linked() const -> std::size_t;
    [[nodiscard]] auto decisions() const -> gossip const&;
    [[nodiscard]] auto counters() const -> task_counters;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::membership
