#pragma once

#include "configuration/peer_form.hpp"
#include "configuration/stored_form.hpp"
#include "external/backoff.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// How one host learns and adopts accepted revisions.
///
/// A host adopts only higher revisions, from the key-value service or from a
/// peer, and never goes back. Of each failure domain a few hosts, chosen from
/// the membership view alone, hold a watch on the service; the others learn
/// of a revision from peers and fetch it there, so that the domain's calls to
/// the service don't grow with its hosts. Nothing accepted lapses while the
/// service is away.
namespace primrosedeal::configuration
{

struct follower_settings
{
    /// Hosts of a failure domain that hold the watch.
    unsigned watch_holders = 2;
    /// Time between two looks of a watch's holder at the head, in case its
    /// watch has gone silent.
    duration refresh = 4s;
    /// Time that a starting host waits for a peer before it reads itself.
    duration peer_patience = 1s;
    /// Time after which a call of this host counts as failed.
    duration call_timeout = 3s;
    external::backoff_settings backoff{200ms, 5s};
};

/// Read the head, or with `only_if_not` skip the value while the head is
/// still as of then. Answer by `on_head`, `on_head_unchanged` or
/// `on_store_failure`.
struct read_head_step
{
    std::optional<external::store_revision> only_if_not;
};

/// Read these parts; answer by `on_parts` or `on_store_failure`.
struct read_parts_step
{
    std::vector<part_name> names;
};

/// Watch the head from `from` on; deliver by `on_watch_value`, and its end
/// by `on_watch_end`.
struct open_watch_step
{
    external::store_revision from;
};

struct close_watch_step
{
};

/// Ask the peer; answer by `on_peer_answer` or `on_peer_failure`.
struct ask_peer_step
{
    host_id peer;
    peer_request request;
};

/// `follower::current` has changed.
struct adopted_step
{
    revision number;
};

using follower_step =
    std::variant<read_head_step, read_parts_step, open_watch_step,
                 close_watch_step, ask_peer_step, adopted_step>;
using follower_steps = std::vector<follower_step>;

struct follower_counters
{
    std::uint64_t adopted_from_store = 0;
    std::uint64_t adopted_from_peers = 0;
    std::uint64_t older_ignored = 0;
    std::uint64_t unreadable = 0;
};

class follower
{
public:
    follower(host_id self, follower_settings settings, time_point started,
             std::uint64_t seed)
        : self_(std::move(self)), settings_(settings), started_(started),
          random_(seed)
    {
    }

    /// Call every 100 ms or so. `domain_hosts` are the live hosts of the own
    /// failure domain; whether `self` is among them makes no difference.
    auto on_tick(time_point now, std::vector<host_id> const& domain_hosts)
        -> follower_steps;

    auto on_head(std::string const& head, external::store_revision modified,
                 time_point now) -> follower_steps;
    /// The service answered and holds no head.
    void on_head_absent(external::store_revision at, time_point now);
    void on_head_unchanged(time_point now);
    auto on_parts(std::map<part_name, std::string> const& parts, time_point now)
        -> follower_steps;
    void on_store_failure(time_point now);

    auto on_watch_value(std::string const& head,
                        external::store_revision modified, time_point now)
        -> follower_steps;
    void on_watch_end(time_point now);

    /// A peer says that it has revision `number`.
    auto on_peer_revision(host_id const& peer, revision number, time_point now)
        -> follower_steps;
    auto on_peer_answer(peer_answer const& it, time_point now)
        -> follower_steps;
    void on_peer_failure(host_id const& peer, time_point now);

    /// What to answer a peer; nothing while this host has no revision.
    [[nodiscard]] auto answer(peer_request const& request) const
        -> std::optional<peer_answer>;

    /// The document in force on this host; null until there is one.
    [[nodiscard]] auto current() const -> std::shared_ptr<document const>
    {
        return document_;
    }

    /// The revision in force; 0: none.
    [[nodiscard]] auto number() const -> revision
    {
        return encoded_.number;
    }

    /// Why the host is not ready; nothing once it has a revision.
    [[nodiscard]] auto not_ready() const -> std::optional<std::string>;

    [[nodiscard]] auto counters() const -> follower_counters const&
    {
        return counters_;
    }

    [[nodiscard]] auto holds_watch() const -> bool
    {
        return holder_;
    }

private:
    struct question
    {
        host_id peer;
        time_point asked;
    };
    struct rumour
    {
        host_id peer;
        revision number;
    };

    void tick_holder(time_point now, follower_steps& steps);
    void tick_other(time_point now, follower_steps& steps);
    void tick_peers(time_point now, follower_steps& steps);
    void read_store(time_point now, follower_steps& steps);
    auto consider(std::string const& head, time_point now) -> follower_steps;
    auto adopt(std::string const& head,
               std::map<part_name, std::string> const& more,
               std::uint64_t follower_counters::*counter) -> follower_steps;
    [[nodiscard]] auto missing(head_summary const& it) const
        -> std::vector<part_name>;

    host_id self_;
    follower_settings settings_;
    time_point started_;
    random_source random_;
    encoded_document encoded_;
    std::shared_ptr<document const> document_;
    follower_counters counters_;
    bool holder_ = false;
    bool watching_ = false;
    bool store_empty_ = false;
    unsigned failures_ = 0;
    std::optional<time_point> reading_since_;
    time_point next_read_{};
    std::optional<external::store_revision> head_modified_;
    std::string pending_head_;
    std::optional<question> question_;
    std::optional<rumour> rumour_;
};

/// Whether `self` is among the `count` hosts that hold the watch, by
/// rendezvous hashing over `hosts` and `self`.
auto is_watch_holder(host_id const& self, std::vector<host_id> const& hosts,
                     unsigned count) -> bool;

} // namespace primrosedeal::configuration
