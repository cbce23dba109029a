#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "external/key_value.hpp"
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

/// What hosts give each other of the store: the entries that a peer holds when
/// the store does not answer one of them, and links over which the host of a
/// domain that watches the store passes its changes on.
namespace primrosedeal::gateway
{

/// An entry of the store and the write that made it.
struct held_entry
{
    std::string value;
    external::store_revision at;
};

using entry_map = std::map<std::string, held_entry>;

/// What a peer tells of its copy of the store: what is newer than the asker's.
struct peer_state
{
    /// The peer is in contact with the store and not in doubt about removals,
    /// so its copy is up to date.
    bool fresh = false;
    /// The store's counter as of this copy.
    external::store_revision at;
    /// All keys that the peer holds; nothing where the asker has `at` already.
    std::optional<std::set<std::string>> keys;
    /// The entries that are newer than the revision the asker holds.
    entry_map newer;
};

/// What a peer that holds `entries` as of `at` tells one that holds `held`.
auto newer_than(external::store_revision held, entry_map const& entries,
                external::store_revision at, bool fresh) -> peer_state;

/// `own` brought up to `it`, which was asked for by the revision of `own`.
/// Nothing if `it` tells nothing new, or an entry is in neither of them.
auto merge(entry_map const& own, peer_state const& it)
    -> std::optional<entry_map>;

auto encode(peer_state const& it) -> std::string;
/// Nothing if `bytes` are not a state.
auto decode_peer_state(std::string const& bytes) -> std::optional<peer_state>;

class peer_exchange
{
public:
    /// The own state for a peer that holds a revision.
    using state_source = std::function<peer_state(external::store_revision)>;
    using state_handler = std::function<void(peer_state const&)>;

    peer_exchange(net::event_loop& loop, membership::session_identity identity,
                  state_source own, state_handler on_state);
    peer_exchange(peer_exchange const&) = delete;
    auto operator=(peer_exchange const&) -> peer_exchange& = delete;
    ~peer_exchange();

    /// Throws std::runtime_error with the address if it cannot listen.
    void listen(net::endpoint const& at);

    /// A peer's address as the store tells it; nothing: it has gone.
    void know(host_id const& id, std::optional<net::endpoint> const& at);

    /// Hosts known from the store, this one included.
    [[nodiscard]] auto known() const -> std::map<host_id, net::endpoint> const&
    {
        return peers_;
    }

    /// Called with the links' first message for each follower.
    void set_greeting(std::function<std::string()> greeting);

    /// Sends `bytes` to all followers.
    void publish(std::string_view bytes);
    void drop_followers();
    [[nodiscard]] auto followers() const -> std::size_t;

    /// Opens a link to `to` for as long as the result lives. `on_closed` is
    /// the last to run, and does not run once the result is destroyed.
    auto follow(net::endpoint const& to,
                std::function<void(std::string_view)> on_message,
                std::function<void()> on_closed) -> std::shared_ptr<void>;

    /// Asks a few peers, drawn from `preferred` if there are any, else from
    /// the known ones and from `seeds`, for what is newer than `held`. Does
    /// nothing while an earlier question is open: states are large for the
    /// links of small hosts.
    void ask(std::vector<host_id> const& preferred,
             std::vector<net::endpoint> const& seeds, net::endpoint const& self,
             external::store_revision held, random_source& random);

private:
    void accept(int fd);
    void greet(std::uint64_t id);
    void fetch(net::endpoint const& from, external::store_revision held);
    [[nodiscard]] auto body_for(std::string_view name) const
        -> std::optional<std::string>;

    net::event_loop& loop_;
    membership::session_identity identity_;
    state_source own_;
    state_handler on_state_;
    evconnlistener* listener_ = nullptr;
    std::map<host_id, net::endpoint> peers_;
    std::uint64_t next_session_ = 0;
    std::size_t questions_ = 0;
    std::map<std::uint64_t, std::shared_ptr<membership::session>> sessions_;
    std::function<std::string()> greeting_;
    /// Accepted sessions that are links.
    std::set<std::uint64_t> followers_;
};

} // namespace primrosedeal::gateway
