#pragma once

#include "core/random.hpp"
#include "membership/message.hpp"
#include "membership/prober.hpp"
#include "membership/record_store.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

/// Membership protocol of one entry host: failure detection and dissemination
/// of records, as a state machine without sockets or clocks.
///
/// Pass events to `gossip::handle` and perform the actions it returns.
/// Outgoing records are limited by a byte budget per second and sent in order
/// of urgency; probes and digests are charged to the same budget.
namespace primrosedeal::membership
{

struct gossip_settings
{
    std::vector<net::endpoint> seeds;
    std::uint64_t bytes_per_second = 8192;
    probe_settings probes;
    store_limits store;
};

struct received
{
    host_id from;
    message content;
};

/// The connection to `peer` is authenticated and ready.
struct link_up
{
    host_id peer;
    /// This host opened the connection. Only that side closes it when the link
    /// is no longer needed.
    bool dialled = false;
};

struct link_down
{
    host_id peer;
};

/// Entry hosts from the host list or settings; incarnation and state are
/// ignored.
struct hosts_listed
{
    std::vector<member> hosts;
};

struct publish
{
    record update;
};

/// This host shuts down; the links are notified immediately.
struct leave
{
};

/// Periodic timer; to be sent every `tick_period`.
struct tick
{
};

using event = std::variant<received, link_up, link_down, hosts_listed, publish,
                           leave, tick>;

constexpr auto tick_period = duration{100ms};

struct send
{
    host_id to;
    message content;
};

/// Connect to `peer`, unless a connection is already up or in progress. `peer`
/// is empty for a seed of unknown id.
struct open_link
{
    host_id peer;
    net::endpoint address;
};

/// The connection is unresponsive: open a new one to replace it.
struct replace_link
{
    host_id peer;
    net::endpoint address;
};

struct close_link
{
    host_id peer;
};

/// A newer record of any topic except `member`. `from` is the neighbour that
/// sent it, or this host for its own records.
struct deliver
{
    record update;
    host_id from;
};

struct member_changed
{
    member current;
};

/// Another host reported this host as suspect or dead. It continues under the
/// incarnation `start`.
struct new_incarnation
{
    incarnation start;
};

using action = std::variant<send, open_link, replace_link, close_link, deliver,
                            member_changed, new_incarnation>;

struct gossip_counters
{
    std::uint64_t suspicions = 0;
    std::uint64_t deaths_declared = 0;
    std::uint64_t refutations = 0;
    std::uint64_t records_accepted = 0;
    std::uint64_t records_malformed = 0;
    /// Flushes, per urgency, that the byte budget or the batch size cut short.
    std::uint64_t budget_waits = 0;
};

class gossip
{
public:
    /// `self.start` must be larger than at any earlier start of this host.
    gossip(member self, gossip_settings settings, time_point now);

    auto handle(event const& it, time_point now, random_source& random)
        -> std::vector<action>;

    /// All known hosts, including this one, ordered by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    [[nodiscard]] auto self() const -> member const&
    {
        return self_;
    }

    /// Number of established links.
    [[nodiscard]] auto link_count() const -> std::size_t;

    [[nodiscard]] auto store() const -> record_store const&
    {
        return store_;
    }

    [[nodiscard]] auto counters() const -> gossip_counters const&
    {
        return counters_;
    }

private:
    using pending_keys = std::array<std::set<record_key>, urgency_count>;

    struct peer_link
    {
        bool up = false;
        bool dialled = false;
        /// Selected by `neighbours_of`.
        bool wanted = false;
        time_point unwanted_since{};
        time_point next_open{};
        probe_state probing;
        pending_keys pending;
    };

    /// A probe of `subject` that `requester` asked this host to make.
    struct delegated_probe
    {
        host_id subject;
        host_id requester;
        std::uint64_t request_id = 0;
        time_point deadline;
        bool pinged = false;
    };

    void on(received const& it);
    void on(link_up const& it);
    void on(link_down const& it);
    void on(hosts_listed const& it);
    void on(publish const& it);
    void on(leave const&);
    void on(tick const&);

    void on_message_from(host_id const& peer);
    void dispatch(received const& it);
    void compare_digest(received const& it);
    void accept(record const& it, host_id const& from);
    void accept_member(record const& it, host_id const& from);
    void refute(incarnation reported);
    void store_and_spread(record const& it, host_id const& from);
    void spread(record const& it, host_id const& except);
    void declare(host_id const& peer, host_state state);

    void refill_budget();
    void choose_links();
    void probe_link(host_id const& peer, peer_link& it);
    void carry_out(host_id const& peer, peer_link& it, probe_step step);
    void request_indirect_probes(host_id const& peer, peer_link& it);
    void start_delegated_probe(received const& it);
    void run_delegated_probes();
    void retry_unreachable_hosts();
    void close_unwanted();
    void exchange_digests();

    void flush();
    auto fill(message& out, std::set<record_key>& pending, std::size_t limit)
        -> bool;
    auto random_start(std::set<record_key> const& pending)
        -> std::set<record_key>::const_iterator;
    void send_to(host_id const& peer, message it);
    [[nodiscard]] auto is_live_address(net::endpoint const& address) const
        -> bool;
    void open(host_id const& peer, peer_link& it);
    [[nodiscard]] auto is_alone(host_id const& except) const -> bool;
    [[nodiscard]] auto up_links() const -> std::vector<host_id>;
    auto shuffled(std::vector<host_id> all) -> std::vector<host_id>;

    member self_;
    gossip_settings settings_;
    record_store store_;
    std::map<host_id, member> members_;
    std::map<host_id, peer_link> links_;
    std::vector<delegated_probe> delegated_probes_;
    std::array<time_point, urgency_count> next_flush_{};
    time_point next_link_choice_{};
    time_point next_unreachable_retry_{};
    time_point next_digest_{};
    time_point last_tick_{};
    double byte_budget_ = 0;
    /// Bytes of messages sent since the last tick, without their records.
    double control_bytes_ = 0;
    std::uint64_t last_request_id_ = 0;
    bool links_outdated_ = true;
    bool has_left_ = false;
    gossip_counters counters_;

    // Valid during `handle` only.
    time_point now_{};
    random_source* random_ = nullptr;
    std::vector<action> out_;
};

} // namespace primrosedeal::membership
