#pragma once

#include "core/random.hpp"
#include "external/key_value.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Keeps one process's copy of the store up to date: one read of everything,
/// then one watch, and a new read only where the store dropped its history.
namespace primrosedeal::gateway
{

struct follower_events
{
    std::function<void(std::vector<external::stored_value> const&)> on_snapshot;
    std::function<void(external::watch_event const&)> on_entry;
    /// The store stopped answering this process, or answers again.
    std::function<void(std::string const& why)> on_lost;
    std::function<void()> on_regained;
};

class store_follower
{
public:
    store_follower(net::event_loop& loop, external::key_value_service& store,
                   random_source& random, follower_events events);
    store_follower(store_follower const&) = delete;
    auto operator=(store_follower const&) -> store_follower& = delete;
    ~store_follower();

    void start();

    /// Whether the last call was answered.
    [[nodiscard]] auto in_contact() const -> bool
    {
        return in_contact_;
    }

private:
    void read_all();
    void on_read(external::answer<external::range_result> const& it);
    void open_watch();
    void on_watch_end(external::call_failure const& why);
    void lost(std::string const& why);
    void regained();
    void again(std::function<void()> work);

    net::event_loop& loop_;
    external::key_value_service& store_;
    random_source& random_;
    follower_events events_;
    external::store_revision at_;
    std::unique_ptr<external::watch> watch_;
    net::timer retry_;
    unsigned failures_ = 0;
    bool in_contact_ = false;
};

} // namespace primrosedeal::gateway
