#pragma once

#include "core/random.hpp"
#include "external/key_value.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Keeps one process's copy of the store up to date: one read of all keys, then
/// a watch from that revision, and another full read only after the store has
/// lost the history that the watch needs: it has compacted it, or has been
/// restored from a copy.
///
/// Load pattern: the store closes the connections of all waiting watches at
/// once, while it answers every call. A loss of the store makes removals of
/// targets uncertain for longer than a target that leaves goes on serving, so a
/// watch that ends this way is no loss; the next watch is, if the store does
/// not answer it.
namespace primrosedeal::gateway
{

struct store_watcher_events
{
    /// The store was restored from a copy, so changes that it had acknowledged
    /// may be missing from the snapshot that follows.
    std::function<void()> on_restored;
    /// Never older than the entries held, unless the store was restored.
    std::function<void(std::vector<external::stored_value> const&)> on_snapshot;
    std::function<void(external::watch_event const&)> on_entry;
    /// The store has stopped answering this process, or answers again;
    /// `last_answer` is the time of its last answer before the loss.
    std::function<void(std::string const& why)> on_lost;
    std::function<void(time_point last_answer)> on_regained;
};

class store_watcher
{
public:
    store_watcher(net::event_loop& loop, external::key_value_service& store,
                  random_source& random, store_watcher_events events);
    store_watcher(store_watcher const&) = delete;
    auto operator=(store_watcher const&) -> store_watcher& = delete;
    ~store_watcher();

    void start();

    /// Ends the watch and stops all calls to the store until `resume`.
    void pause();
    /// Reconnects after `delay`, from the last revision delivered.
    void resume(duration delay = {});
    /// Applies an event of the store, unless a peer's copy contained it.
    void apply_event(external::watch_event const& it);
    /// Must be called when the entries have been replaced by those as of `at`.
    void advance_to(external::store_revision at);
    /// Changes after `at` will be delivered again.
    void rewind_to(external::store_revision at);

    /// Number of hosts that should retry before this one after a failure.
    void set_retry_rank(std::size_t hosts_ahead)
    {
        hosts_ahead_ = hosts_ahead;
    }

    /// Time from an answer of the store to the next watch; zero: none.
    void set_pause(duration it)
    {
        pause_between_ = it;
    }

    /// Whether the store answered the last call.
    [[nodiscard]] auto in_contact() const -> bool
    {
        return in_contact_;
    }

    /// How long the store has answered every call; empty if the last one
    /// failed.
    [[nodiscard]] auto contact_duration(time_point now) const
        -> std::optional<duration>;

    /// When the store last answered; the epoch if it never has.
    [[nodiscard]] auto last_answer() const -> time_point
    {
        return last_answer_;
    }

    /// Revision up to which events of the store have been delivered.
    [[nodiscard]] auto delivered_revision() const -> external::store_revision
    {
        return delivered_revision_;
    }

private:
    void read_all(external::call_purpose purpose);
    /// `held`: revision delivered when the read began.
    void on_read(external::answer<external::range_result> const& it,
                 external::call_purpose purpose, external::store_revision held);
    void reconnect();
    void open_watch();
    void end_watch();
    void on_watch_end(external::call_failure const& why);
    void on_call_failed(std::string const& why);
    void on_call_answered(time_point now);
    void schedule_retry();

    net::event_loop& loop_;
    external::key_value_service& store_;
    random_source& random_;
    store_watcher_events events_;
    external::store_revision delivered_revision_;
    /// Of the last copy of a peer that replaced the entries.
    external::store_revision replaced_as_of_;
    std::unique_ptr<external::watch> watch_;
    /// Results of reads and watches with an older generation are ignored: they
    /// were started before the last pause or superseded.
    std::uint64_t generation_ = 0;
    net::timer retry_;
    unsigned failures_ = 0;
    /// Cuts of watches in a row, after the first one.
    unsigned cuts_ = 0;
    time_point last_cut_{};
    std::size_t hosts_ahead_ = 0;
    duration pause_between_{};
    bool paused_ = false;
    /// A read of all keys is needed before the watch.
    bool read_needed_ = true;
    bool in_contact_ = false;
    time_point in_contact_since_{};
    time_point last_answer_{};
};

} // namespace primrosedeal::gateway
