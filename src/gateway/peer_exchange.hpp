#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "external/key_value.hpp"
#include "gateway/link_monitor.hpp"
#include "membership/session.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;

/// Exchange of store entries between hosts. A host that the store does not
/// answer fetches the entries that a peer holds; and the host of a failure
/// domain that watches the store sends its changes to the others over links.
namespace primrosedeal::gateway
{

/// A value of the store and the revision that wrote it.
struct versioned_entry
{
    std::string value;
    external::store_revision mod_revision;
};

using entry_map = std::map<std::string, versioned_entry>;

/// A peer's copy of the store, as a difference to the requester's revision.
struct peer_state
{
    /// The peer has been in contact with the store for long enough that missing
    /// entries are real removals, so its copy is up to date.
    bool fresh = false;
    /// Store revision of this copy.
    external::store_revision as_of;
    /// All keys that the peer holds; not set if the requester already has
    /// revision `as_of`.
    std::optional<std::set<std::string>> keys;
    /// Entries that are newer than the requester's revision.
    entry_map newer;
};

/// The response of a host that holds `entries` as of `at` to a peer that holds
/// revision `held`.
auto make_peer_state(external::store_revision held, entry_map const& entries,
                     external::store_revision at, bool fresh) -> peer_state;

/// Applies `it`, which must have been requested with the revision of `own`, to
/// `own`. Returns nothing if `it` has no changes, or if one of its keys has a
/// value in neither of them.
auto merge(entry_map const& own, peer_state const& it)
    -> std::optional<entry_map>;

/// All entries must be of the era of `as_of`.
auto encode(peer_state const& it) -> std::string;
/// Returns nothing if `bytes` are not an encoded state. `otherwise` is the era
/// of a state that names none, as earlier versions of this program send it.
auto decode_peer_state(std::string const& bytes,
                       external::store_era otherwise = {})
    -> std::optional<peer_state>;

class peer_exchange
{
public:
    /// Makes this host's state for a peer that holds the given revision.
    using state_source = std::function<peer_state(external::store_revision)>;
    using state_handler = std::function<void(peer_state const&)>;

    peer_exchange(net::event_loop& loop, membership::session_identity identity,
                  state_source own, state_handler on_state);
    peer_exchange(peer_exchange const&) = delete;
    auto operator=(peer_exchange const&) -> peer_exchange& = delete;
    ~peer_exchange();

    /// Throws std::runtime_error with the address if listening fails.
    void listen(net::endpoint const& at);

    /// Sets the address that the store has for a peer; empty: removed.
    void update_peer(host_id const& id, std::optional<net::endpoint> const& at);

    /// Hosts known from the store, including this one.
    [[nodiscard]] auto known_peers() const
        -> std::map<host_id, net::endpoint> const&
    {
        return peers_;
    }

    /// Increases with every change of `known_peers`.
    [[nodiscard]] auto peer_changes() const -> std::uint64_t
    {
        return peer_changes_;
    }

    /// `source` makes the origins of streams that this host knows, encoded.
    void set_origin_source(std::function<std::string()> source);

    /// Receives the result of a fetch; nothing if it failed.
    using body_handler = std::function<void(std::optional<std::string>)>;

    /// Fetches the origins that `from` knows. `on_result` is called once,
    /// unless this object is destroyed before.
    void fetch_origins(host_id const& from, body_handler on_result);

    /// Sets the text of the configuration that this host uses, for others to
    /// fetch. The store's entry may be older.
    void set_configuration(std::string text);

    /// Like `fetch_origins`, of the text of the configuration that `from` uses.
    void fetch_configuration(host_id const& from, body_handler on_result);

    /// `greeting` makes the first message of the link to each new follower.
    void set_greeting(std::function<std::string()> greeting);

    /// Sends `bytes` to all followers.
    void publish(std::string_view bytes);
    void drop_followers();
    [[nodiscard]] auto followers() const -> std::size_t;

    /// Opens a link to `to` that is closed when the result is destroyed.
    /// `on_closed` is the last callback; none runs after the destruction.
    auto follow(net::endpoint const& to,
                std::function<void(std::string_view)> on_message,
                std::function<void()> on_closed) -> std::shared_ptr<void>;

    /// Requests entries newer than `held` from a peer, chosen at random from
    /// `preferred` if any of these is known, else from all known peers and
    /// `seeds`; and from another one if the first has no fresh copy or does not
    /// answer soon. Does nothing while an earlier request is open: states are
    /// large for the links of small hosts.
    void fetch_from_peers(std::vector<host_id> const& preferred,
                          std::vector<net::endpoint> const& seeds,
                          net::endpoint const& self,
                          external::store_revision held, random_source& random);

    /// Bytes of messages on links, and of states.
    [[nodiscard]] auto feed_traffic() const -> traffic_bytes const&
    {
        return feed_traffic_;
    }
    [[nodiscard]] auto state_traffic() const -> traffic_bytes const&
    {
        return state_traffic_;
    }

private:
    void accept(int fd);
    void greet(std::uint64_t id);
    void fetch_body(host_id const& from, std::string_view name,
                    body_handler on_result);
    void fetch_state(net::endpoint const& from, external::store_revision held);
    /// Asks `next_peer_`, if it has not been asked.
    void fetch_from_next(external::store_revision held);
    [[nodiscard]] auto body_for(std::string_view name)
        -> std::optional<std::string>;
    auto packed_configuration() -> std::optional<std::string>;
    void send_to_follower(std::uint64_t id, std::string_view bytes);

    net::event_loop& loop_;
    membership::session_identity identity_;
    state_source state_source_;
    state_handler on_state_;
    evconnlistener* listener_ = nullptr;
    std::map<host_id, net::endpoint> peers_;
    std::uint64_t peer_changes_ = 0;
    std::uint64_t next_session_ = 0;
    std::size_t open_fetches_ = 0;
    /// The peer to ask if the first one does not help.
    std::optional<net::endpoint> next_peer_;
    net::timer next_peer_timer_;
    /// Peers that did not answer. They are asked for their whole state next
    /// time, since earlier versions of this program do not know eras.
    std::set<net::endpoint> without_era_;
    std::map<std::uint64_t, std::shared_ptr<membership::session>> sessions_;
    std::function<std::string()> greeting_;
    std::function<std::string()> origin_source_;
    std::string configuration_;
    /// `configuration_` as it is sent, once it was asked for.
    std::optional<std::string> packed_configuration_;
    /// Accepted sessions that are links to followers.
    std::set<std::uint64_t> followers_;
    traffic_bytes feed_traffic_;
    traffic_bytes state_traffic_;
};

} // namespace primrosedeal::gateway
