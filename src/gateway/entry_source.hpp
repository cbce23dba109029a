#pragma once

#include "core/random.hpp"
#include "external/key_value.hpp"
#include "fleet/feed_message.hpp"
#include "fleet/fleet_view.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/settings.hpp"
#include "gateway/store_follower.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Where this host's copy of the store comes from: its own watch, or the feed
/// of a host of its failure domain that watches. Carries out what
/// `fleet::choose_source` decides, and feeds the hosts that follow this one.
namespace primrosedeal::gateway
{

/// The host that is followed, or is about to be.
struct followed_feed
{
    host_id id;
    std::shared_ptr<void> link;
    time_point heard_at{};
    /// Its first message: what came before has to be known from elsewhere.
    std::optional<external::store_revision> starts_after;
    /// Changes that wait for `starts_after`.
    std::vector<fleet::feed_entry> waiting;
    /// In use: this host asks the store nothing.
    bool in_use = false;
    /// Revision that was known when its use began.
    external::store_revision known;
};

/// A value that is read from the store as it is too large for the feed.
struct large_read
{
    external::store_revision first;
    external::store_revision newest;
    /// The store did not give it.
    bool failed = false;
};

class entry_source
{
public:
    entry_source(net::event_loop& loop, external::key_value_service& store,
                 random_source& random, peer_exchange& peers,
                 fleet::fleet_view const& others, host_settings const& own,
                 follower_events events);
    entry_source(entry_source const&) = delete;
    auto operator=(entry_source const&) -> entry_source& = delete;
    ~entry_source();

    void start();

    /// Chooses the source again and tells followers that this host lives. Call
    /// several times within `fleet::feed_timeout`.
    void tick(time_point now);

    /// Whether changes of the store arrive, by whichever way.
    [[nodiscard]] auto in_contact() const -> bool;

    /// How long the store has answered this host; nothing while it does not,
    /// or while this host follows another.
    [[nodiscard]] auto store_contact(time_point now) const
        -> std::optional<duration>;

    /// Revision up to which every change was delivered.
    [[nodiscard]] auto at() const -> external::store_revision;

    /// Whether an entry is missing that only a peer can give: it is too large
    /// for the feed, and the store did not give it.
    [[nodiscard]] auto needs_peer() const -> bool;

    /// The entries held were replaced by those of a peer, as of `at`.
    void replaced_by_peer(external::store_revision at, time_point now);

private:
    auto own_events() -> follower_events;
    void follow(host_id const& id, time_point now);
    void on_message(std::string_view bytes, time_point now);
    void use_feed_if_caught_up(time_point now);
    /// The same, once the store's answer that is being read was taken whole.
    void use_feed_soon();
    void take(std::vector<fleet::feed_entry> const& entries);
    void want_large(fleet::feed_entry const& it);
    void read_large(std::string const& key);
    void on_large(std::string const& key,
                  external::answer<external::range_result> const& it);
    void read_large_again();
    /// `failed`: the host followed is not to be trusted for a while.
    void leave_feed(std::string const& why, time_point now, bool failed = true);
    void contact_lost(std::string const& why);
    void contact_regained(time_point last_answer);
    void publish(external::watch_event const& it);
    void flush();
    /// Runs `work` soon, unless this object is gone by then.
    void post(std::function<void()> work);
    [[nodiscard]] auto make_message() -> std::string;

    net::event_loop& loop_;
    external::key_value_service& store_;
    peer_exchange& peers_;
    fleet::fleet_view const& others_;
    host_id self_;
    domain_id domain_;
    follower_events events_;
    store_follower follower_;
    std::optional<followed_feed> feed_;
    /// Hosts whose feed failed, and until when they are not followed.
    std::map<host_id, time_point> distrusted_;
    std::map<std::string, large_read> large_reads_;
    /// Changes for the followers' next message.
    std::vector<fleet::feed_entry> unsent_;
    std::size_t unsent_bytes_ = 0;
    bool flush_posted_ = false;
    /// `on_lost` was called and `on_regained` was not yet.
    bool away_ = false;
    time_point last_heard_{};
    net::timer large_retry_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace primrosedeal::gateway
