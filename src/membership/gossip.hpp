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

/// What one entry host tells which other, and whom it believes alive: the
/// decisions of membership, without sockets or clocks.
///
/// Feed events to `gossip::handle` and carry out the actions. Everything it
/// sends fits a byte budget each second, most urgent records first.
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
    message it;
};

/// A connection to `peer` is proven and ready.
struct link_up
{
    host_id peer;
    /// Made by this side; the side that made a link closes it.
    bool dialled = false;
};

struct link_down
{
    host_id peer;
};

/// Entry hosts by the host list or settings; their incarnation is ignored.
struct hosts_listed
{
    std::vector<member> hosts;
};

struct publish
{
    record it;
};

/// This host shuts down: tells the others at once.
struct leave
{
};

/// Time passed; send it every `tick_period`.
struct tick
{
};

using event = std::variant<received, link_up, link_down, hosts_listed, publish,
                           leave, tick>;

constexpr auto tick_period = duration{100ms};

struct send
{
    host_id to;
    message it;
};

/// Make a connection; `peer` is empty for a seed whose id isn't known. Does
/// nothing where one is up or being made.
struct open_link
{
    host_id peer;
    net::endpoint address;
};

/// The connection went silent: make a new one in its place.
struct replace_link
{
    host_id peer;
    net::endpoint address;
};

struct close_link
{
    host_id peer;
};

/// A newer record of any topic but `member`. `from` is this host for its own.
struct deliver
{
    record it;
    host_id from;
};

struct member_changed
{
    member it;
};

/// Others held this host for suspect or dead: it goes on as `start`.
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
    /// Ticks on which records waited for the byte budget.
    std::uint64_t budget_waits = 0;
};

class gossip
{
public:
    /// `self.start` must be larger than at any earlier start of this host.
    gossip(member self, gossip_settings settings, time_point now);

    auto handle(event const& it, time_point now, random_source& random)
        -> std::vector<action>;

    /// All hosts known, this one included, by id.
    [[nodiscard]] auto members() const -> std::vector<member>;

    [[nodiscard]] auto self() const -> member const&
    {
        return self_;
    }

    /// Hosts with which a link is up.
    [[nodiscard]] auto linked() const -> std::size_t;

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
        bool wanted = false;
        time_point unwanted_since{};
        time_point next_open{};
        probe_state probing;
        pending_keys pending;
    };

    /// A probe made on behalf of another host.
    struct probe_errand
    {
        host_id subject;
        host_id requester;
        std::uint64_t number = 0;
        time_point deadline;
        bool pinged = false;
    };

    void take(received const& it);
    void take(link_up const& it);
    void take(link_down const& it);
    void take(hosts_listed const& it);
    void take(publish const& it);
    void take(leave const&);
    void take(tick const&);

    void heard_from(host_id const& peer);
    void answer(received const& it);
    void compare_digest(received const& it);
    void accept(record const& it, host_id const& from);
    void accept_member(record const& it, host_id const& from);
    void refute(incarnation heard);
    void store_and_spread(record const& it, host_id const& from);
    void spread(record const& it, host_id const& except);
    void declare(host_id const& peer, host_state state);

    void refill();
    void choose_links();
    void probe_link(host_id const& peer, peer_link& it);
    void carry_out(host_id const& peer, peer_link& it, probe_step step);
    void ask_helpers(host_id const& peer, peer_link& it);
    void start_errand(received const& it);
    void run_errands();
    void contact_lost_hosts();
    void close_unwanted();
    void exchange_digests();

    void flush();
    auto fill(message& out, std::set<record_key>& pending, std::size_t limit)
        -> bool;
    auto start_of(std::set<record_key> const& pending)
        -> std::set<record_key>::const_iterator;
    void send_to(host_id const& peer, message it);
    [[nodiscard]] auto is_known(net::endpoint const& address) const -> bool;
    void open(host_id const& peer, peer_link& it);
    [[nodiscard]] auto is_alone(host_id const& except) const -> bool;
    [[nodiscard]] auto up_links() const -> std::vector<host_id>;
    auto shuffled(std::vector<host_id> all) -> std::vector<host_id>;

    member self_;
    gossip_settings settings_;
    record_store store_;
    std::map<host_id, member> members_;
    std::map<host_id, peer_link> links_;
    std::vector<probe_errand> errands_;
    std::array<time_point, urgency_count> next_flush_{};
    time_point next_choice_{};
    time_point next_contact_{};
    time_point next_digest_{};
    time_point last_tick_{};
    double allowance_ = 0;
    /// Sent since the last tick, besides records.
    double control_bytes_ = 0;
    std::uint64_t last_number_ = 0;
    bool links_outdated_ = true;
    bool left_ = false;
    gossip_counters counters_;

    // Valid during `handle` only.
    time_point now_{};
    random_source* random_ = nullptr;
    std::vector<action> out_;
};

} // namespace primrosedeal::membership
