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
    /// The store stopped answering this process, or answers again after it
    /// last did at `last_answer`.
    std::function<void(std::string const& why)> on_lost;
    std::function<void(time_point last_answer)> on_regained;
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

    /// Ends the watch and asks the store nothing more until `resume`.
    void pause();
    /// Asks the store at once for what is newer than `at`.
    void resume();
    /// Takes an event that the store gave another host.
    void take(external::watch_event const& it);
    /// The entries held are as of `at`.
    void skip_to(external::store_revision at);
    /// What came after `at` has to be read again.
    void rewind_to(external::store_revision at);

    /// Hosts that should ask the store before this one after a failure.
    void set_turn(std::size_t hosts_before)
    {
        hosts_before_ = hosts_before;
    }

    /// Whether the last call was answered.
    [[nodiscard]] auto in_contact() const -> bool
    {
        return in_contact_;
    }

    /// How long every call has been answered; nothing if the last was not.
    [[nodiscard]] auto contact_time(time_point now) const
        -> std::optional<duration>;

    /// Revision up to which the events of the store were delivered.
    [[nodiscard]] auto at() const -> external::store_revision
    {
        return at_;
    }

private:
    void read_all();
    void on_read(external::answer<external::range_result> const& it);
    void ask();
    void open_watch();
    void on_watch_end(external::call_failure const& why);
    void lost(std::string const& why);
    void answered(time_point now);
    void again();

    net::event_loop& loop_;
    external::key_value_service& store_;
    random_source& random_;
    follower_events events_;
    external::store_revision at_;
    std::unique_ptr<external::watch> watch_;
    /// Answers of reads that were started before the last pause are dropped.
    std::uint64_t reads_ = 0;
    net::timer retry_;
    unsigned failures_ = 0;
    std::size_t hosts_before_ = 0;
    bool paused_ = false;
    /// A read of everything is needed: nothing was read yet.
    bool read_needed_ = true;
    bool in_contact_ = false;
    time_point in_contact_since_{};
    time_point last_answer_{};
};

} // namespace primrosedeal::gateway
