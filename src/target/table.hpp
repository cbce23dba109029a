#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

/// What one entry host knows of the targets, as a pure state machine.
///
/// Feed every event to `table::handle`, carry out the actions it returns and
/// read `table::usable` when routing. Nothing here cancels work in flight.
/// Not thread-safe: it lives in one task.
namespace primrosedeal::target
{

enum class target_state
{
    /// Takes new work.
    live,
    /// Takes no new work in this incarnation, ever.
    leaving,
    /// Own connections raised a doubt; takes new work as a last resort.
    suspect,
    /// Own connections failed; probed, takes no new work.
    failed,
};

auto to_string(target_state it) -> std::string_view;

/// A target as the host list describes it.
struct description
{
    target_id id;
    incarnation start;
    service_id service;
    net::endpoint address;
    domain_id domain;
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
    /// Generations that the target runs side by side.
    std::uint32_t slots = 0;

    friend auto operator==(description const&, description const&)
        -> bool = default;
};

/// Incarnation `start` of `id`, and every earlier one, takes no new work.
struct leaving_mark
{
    target_id id;
    incarnation start;

    friend auto operator==(leaving_mark const&, leaving_mark const&)
        -> bool = default;
};

struct listed_target
{
    description it;
    bool leaving = false;
};

/// A copy of the host list; it may be older than one seen before.
struct list_snapshot
{
    std::uint64_t version = 0;
    std::vector<listed_target> targets;
};

enum class outcome
{
    /// The connection was refused: nothing listens there.
    refused,
    /// The connection broke before the answer ended.
    reset,
    /// Nothing came within the time that the caller allowed.
    silent,
    /// An answer to a request came.
    answered,
    /// The answer to a health probe came.
    probe_answered,
    /// A health probe was refused, broke or got no answer in time.
    probe_failed,
};

/// What this host saw on its own connection to a target.
struct connection_outcome
{
    target_id id;
    incarnation start;
    outcome seen = outcome::answered;
};

/// The target refused work and said that it is leaving.
struct leaving_refusal
{
    target_id id;
    incarnation start;
};

/// Time passed; send it about every `tick_period`.
struct tick
{
};

using event = std::variant<list_snapshot, connection_outcome, leaving_refusal,
                           leaving_mark, tick>;

constexpr auto tick_period = duration{100ms};

/// Ask the target's health and report the outcome as an event.
struct probe
{
    target_id id;
    incarnation start;
    net::endpoint address;
};

/// Tell the other entry hosts, in the order given.
struct spread_mark
{
    leaving_mark mark;
};

/// For one log line and a counter.
struct state_change
{
    target_id id;
    incarnation start;
    target_state to = target_state::live;
};

using action = std::variant<spread_mark, probe, state_change>;

struct limits
{
    std::size_t max_targets = 4096;
    /// Leaving marks kept; the oldest of unlisted targets goes first.
    std::size_t max_marks = 8192;
    std::size_t max_probes_per_tick = 16;
    /// Failed probes in a row that turn a suspect target into a failed one.
    std::uint32_t probes_to_fail = 2;
    duration probe_timeout = 1s;
    duration first_probe_delay = 200ms;
    duration longest_probe_delay = 5s;
    /// An unlisted target and its mark are forgotten after this time.
    duration forget_after = std::chrono::hours{1};
};

/// One target as routing sees it.
struct target_view
{
    description it;
    target_state state = target_state::live;
};

struct table_counters
{
    std::uint64_t old_lists = 0;
    std::uint64_t empty_lists = 0;
    std::uint64_t dropped_targets = 0;
    std::uint64_t dropped_marks = 0;
    std::uint64_t probes = 0;
};

class table
{
public:
    explicit table(limits it = {}) : limits_(it) {}

    /// Takes in one event. Spread actions come first, then probes.
    auto handle(event const& it, time_point now, random_source& random)
        -> std::vector<action>;

    /// Live and suspect targets of `service`, live ones first, by id within
    /// a state. Valid until the next `handle`. Costs a look-up.
    [[nodiscard]] auto usable(service_id const& service) const
        -> std::vector<target_view> const&;

    /// Any target that is known, whatever its state.
    [[nodiscard]] auto find(target_id const& id) const
        -> std::optional<target_view>;

    /// Every target, by id, for the operators.
    [[nodiscard]] auto all() const -> std::vector<target_view>;

    /// Whether new work may go to this incarnation. Ask right before sending.
    [[nodiscard]] auto takes_new_work(target_id const& id,
                                      incarnation start) const -> bool;

    /// Every mark held, for a host that has just joined.
    [[nodiscard]] auto marks() const -> std::vector<leaving_mark>;

    /// Version of the newest list seen, if any was.
    [[nodiscard]] auto list_version() const -> std::optional<std::uint64_t>
    {
        return list_version_;
    }

    [[nodiscard]] auto counters() const -> table_counters const&
    {
        return counters_;
    }

private:
    /// Own evidence on one incarnation; it starts afresh with a new one.
    struct evidence
    {
        target_state state = target_state::live;
        std::uint32_t probes_failed = 0;
        time_point next_probe{};
        std::optional<time_point> probe_sent;
    };

    struct entry
    {
        description it;
        evidence own;
        target_state shown = target_state::live;
        bool listed = true;
        time_point unlisted_at{};
    };

    struct mark_entry
    {
        incarnation start;
        time_point learnt_at{};
    };

    using actions = std::vector<action>;

    void take(list_snapshot const& it, time_point now, actions& out);
    void take(connection_outcome const& it, time_point now,
              random_source& random, actions& out);
    void take(leaving_refusal const& it, time_point now, actions& out);
    void take(leaving_mark const& it, time_point now, actions& out);
    void take(tick const& it, time_point now, random_source& random,
              actions& out);

    void take_listed(listed_target const& it, time_point now, actions& out);
    void take_unlisted(list_snapshot const& it, time_point now, actions& out);
    auto learn_mark(leaving_mark const& it, time_point now, actions& out)
        -> bool;
    void learn_and_spread(leaving_mark const& it, time_point now, actions& out);
    void suspect(entry& it, target_state at_least, time_point now);
    void probe_failed(entry& it, time_point now, random_source& random);
    void refresh(entry& it, actions& out);
    void rebuild(service_id const& service);
    void forget_old(time_point now);
    void drop_oldest_mark();
    [[nodiscard]] auto has_left(target_id const& id, incarnation start) const
        -> bool;
    [[nodiscard]] auto probe_delay(std::uint32_t failed,
                                   random_source& random) const -> duration;

    limits limits_;
    std::map<target_id, entry> entries_;
    std::map<target_id, mark_entry> left_;
    std::set<target_id> doubted_;
    std::map<service_id, std::vector<target_view>> usable_;
    std::set<service_id> changed_;
    std::optional<std::uint64_t> list_version_;
    table_counters counters_;
};

} // namespace primrosedeal::target
