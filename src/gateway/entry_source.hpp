#pragma once

#include "core/random.hpp"
#include "external/key_value.hpp"
#include "fleet/feed_message.hpp"
#include "fleet/fleet_view.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/settings.hpp"
#include "gateway/store_watcher.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Keeps this host's copy of the store up to date, either by its own watch or
/// by the feed of a host of its failure domain that watches the store. Applies
/// the decision of `fleet::choose_source`, and feeds the hosts that follow this
/// one.
namespace primrosedeal::gateway
{

/// The feed of the host that is followed, or will be once this host has caught
/// up.
struct followed_feed
{
    host_id id;
    std::shared_ptr<void> link;
    /// Ends with the feed. The link may outlive it for a moment, and its
    /// callbacks do nothing by then.
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    time_point last_message_at{};
    /// Revision of the feed's first message; earlier changes must come from
    /// another source.
    std::optional<external::store_revision> starts_after;
    /// Changes received before this host has reached `starts_after`.
    std::vector<fleet::feed_entry> buffered;
    /// The feed is the source, and this host's own watch is paused.
    bool in_use = false;
    /// Revision delivered when the feed became the source; older changes are
    /// skipped.
    external::store_revision base_revision;
};

/// A value that is read from the store because it is too large for the feed.
/// The feed announced changes of it from `first` to `newest` that it has not
/// delivered.
struct large_read
{
    external::store_revision first;
    external::store_revision newest;
    /// The last read failed.
    bool failed = false;
};

/// Changes up to `until` have been delivered, except those of the keys
/// `missing` from their revision on.
struct redelivery
{
    [[nodiscard]] auto needs(external::watch_event const& it) const -> bool;
    /// The value of `key` as of `at` has been delivered.
    void delivered(std::string const& key, external::store_revision at);

    external::store_revision until;
    std::map<std::string, external::store_revision> missing;
};

class entry_source
{
public:
    entry_source(net::event_loop& loop, external::key_value_service& store,
                 random_source& random, peer_exchange& peers,
                 fleet::fleet_view const& other_hosts, host_settings const& own,
                 store_watcher_events events);
    entry_source(entry_source const&) = delete;
    auto operator=(entry_source const&) -> entry_source& = delete;
    ~entry_source();

    void start(time_point now);

    /// Re-evaluates the source and sends a heartbeat to followers. Must be
    /// called several times per `fleet::feed_timeout`.
    void tick(time_point now);

    /// Whether changes of the store arrive, by its own watch or a feed.
    [[nodiscard]] auto in_contact() const -> bool;

    /// How long the store has answered this host; empty while it does not, or
    /// while this host follows another.
    [[nodiscard]] auto store_contact(time_point now) const
        -> std::optional<duration>;

    /// Revision up to which all changes have been delivered.
    [[nodiscard]] auto delivered_revision() const -> external::store_revision;

    /// Whether an entry is missing that only a peer can provide: it is too
    /// large for the feed, and reading it from the store failed.
    [[nodiscard]] auto needs_peer() const -> bool;

    /// Must be called when the entries have been replaced by those of a peer,
    /// as of revision `at`.
    void replaced_by_peer(external::store_revision at, time_point now);

private:
    auto make_watcher_events() -> store_watcher_events;
    [[nodiscard]] auto domain_peers() const -> std::vector<fleet::domain_peer>;
    [[nodiscard]] auto view_of(std::vector<fleet::domain_peer> const& peers,
                               time_point now) const -> fleet::source_view;
    /// How often the store is asked while this host watches it.
    void set_pace(time_point now);
    void follow(host_id const& id, time_point now);
    void on_message(std::string_view bytes, time_point now);
    void switch_to_feed_if_caught_up(time_point now);
    /// The same from the event loop, after the current response of the store
    /// has been processed.
    void schedule_feed_switch();
    void apply_entries(std::vector<fleet::feed_entry> const& entries);
    void request_large_value(fleet::feed_entry const& it);
    void read_large_value(std::string const& key);
    void on_large_value(std::string const& key,
                        external::answer<external::range_result> const& it);
    void retry_large_values();
    /// `failed`: the host is not followed again for
    /// `fleet::feed_failure_backoff`.
    void stop_following(std::string const& why, time_point now,
                        bool failed = true);
    void contact_lost(std::string const& why);
    void contact_regained(time_point last_answer);
    void publish(external::watch_event const& it);
    void flush();
    /// Runs `work` from the event loop, unless this object has been destroyed.
    void post(std::function<void()> work);
    [[nodiscard]] auto make_message() -> std::string;

    net::event_loop& loop_;
    external::key_value_service& store_;
    peer_exchange& peers_;
    fleet::fleet_view const& other_hosts_;
    host_id self_;
    domain_id domain_;
    store_watcher_events events_;
    store_watcher watcher_;
    time_point started_at_{};
    std::optional<followed_feed> feed_;
    /// Hosts whose feed failed, and the time until which they are excluded.
    std::map<host_id, time_point> excluded_hosts_;
    std::map<std::string, large_read> large_reads_;
    /// Of this host's own watch, which begins before a missing large value.
    redelivery redelivery_;
    /// Changes to send with the next message to followers.
    std::vector<fleet::feed_entry> unsent_;
    std::size_t unsent_bytes_ = 0;
    bool flush_posted_ = false;
    /// `on_lost` has been called without a later `on_regained`.
    bool loss_reported_ = false;
    time_point last_feed_message_at_{};
    net::timer large_retry_timer_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace primrosedeal::gateway
