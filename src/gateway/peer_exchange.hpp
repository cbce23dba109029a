#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "membership/session.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct evconnlistener;

/// What hosts give each other when the store does not answer one of them:
/// the entries of the store that a peer holds.
namespace primrosedeal::gateway
{

/// Copy of the store's entries that matter to a gateway.
struct peer_state
{
    /// The peer is in contact with the store, so its copy is up to date.
    bool fresh = false;
    std::map<std::string, std::string> entries;
};

auto encode(peer_state const& it) -> std::string;
/// Nothing if `bytes` are not a state.
auto decode_peer_state(std::string const& bytes) -> std::optional<peer_state>;

class peer_exchange
{
public:
    using state_source = std::function<peer_state()>;
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

    /// Asks a few peers, drawn from the known ones and from `seeds`.
    void ask(std::vector<net::endpoint> const& seeds, net::endpoint const& self,
             random_source& random);

private:
    void accept(int fd);
    void fetch(net::endpoint const& from);

    net::event_loop& loop_;
    membership::session_identity identity_;
    state_source own_;
    state_handler on_state_;
    evconnlistener* listener_ = nullptr;
    std::map<host_id, net::endpoint> peers_;
    std::uint64_t next_session_ = 0;
    std::map<std::uint64_t, std::shared_ptr<membership::session>> sessions_;
};

} // namespace primrosedeal::gateway
