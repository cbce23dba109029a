#pragma once

#include "configuration/follower.hpp"
#include "configuration/peer_form.hpp"
#include "core/random.hpp"
#include "external/etcd_client.hpp"
#include "net/event_loop.hpp"
#include "serve/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// The `configuration::follower` joined with the key-value service and with
/// peers.
namespace primrosedeal::serve
{

struct configuration_watch_outputs
{
    std::function<void(configuration_changed)> adopted;
    /// Only from hosts that hold the watch, so that announcements do not grow
    /// with the hosts.
    std::function<void(revision)> announce;
    /// Sends a peer's request and gives back its answer; nothing if it failed.
    std::function<void(host_id const&, std::string request,
                       std::function<void(std::optional<std::string>)>)>
        fetch;
    /// Live hosts of the own failure domain.
    std::function<std::vector<host_id>()> domain_hosts;
};

class configuration_watch
{
public:
    configuration_watch(net::event_loop& loop,
                        external::key_value_service& store, host_id self,
                        std::uint64_t seed,
                        configuration_watch_outputs outputs);

    /// `peer` says that it has `number`.
    void on_announcement(host_id const& peer, revision number);

    /// The body for a peer's request; nothing if there is none to give.
    [[nodiscard]] auto answer_peer(std::string const& request) const
        -> std::optional<std::string>;

    [[nodiscard]] auto follower() const -> configuration::follower const&
    {
        return follower_;
    }

private:
    void tick();
    void remind();
    void perform(configuration::follower_steps const& steps);
    void perform_one(configuration::read_head_step const& it);
    void perform_one(configuration::read_parts_step const& it);
    void perform_one(configuration::open_watch_step const& it);
    void perform_one(configuration::close_watch_step const& it);
    void perform_one(configuration::ask_peer_step const& it);
    void perform_one(configuration::adopted_step const& it);
    void
    on_head_answer(external::answer<external::transaction_result> const& it,
                   external::store_revision known);
    void on_watch_event(external::watch_event const& it);

    net::event_loop& loop_;
    external::key_value_service& store_;
    configuration_watch_outputs outputs_;
    host_id self_;
    configuration::follower follower_;
    /// What peers have said; gossip says it once, fetching may fail often.
    std::map<host_id, revision> announced_;
    time_point next_reminder_{};
    random_source random_;
    std::unique_ptr<external::watch> watch_;
    net::timer tick_;
};

} // namespace primrosedeal::serve
