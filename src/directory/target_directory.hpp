#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Which targets exist and may take new work, from their entries in the
/// store.
///
/// Leaving is final for an incarnation: neither an older entry nor one from a
/// peer brings it back. Entries that lapse while the store is away are kept
/// until the targets behind them had time to register again.
namespace primrosedeal::directory
{

struct listed_target
{
    target_id id;
    /// Start of the process behind the id; 0 where the entry does not say.
    incarnation born;
    service_id service;
    net::endpoint address;
    domain_id domain;
    /// Requests that it runs side by side.
    std::uint32_t slots = 1;
    bool leaving = false;

    friend auto operator==(listed_target const&, listed_target const&)
        -> bool = default;
};

/// An entry was written. Nothing in it: it names no usable target.
struct entry_written
{
    target_id id;
    std::optional<listed_target> it;
};

struct entry_removed
{
    target_id id;
};

/// All entries as of one read.
struct all_entries
{
    std::vector<listed_target> targets;
};

/// All entries as a peer has them that the store answers, while it does not
/// answer this host: entries that are missing were removed, not lapsed.
struct peer_entries
{
    std::vector<listed_target> targets;
};

/// The store stopped answering, or dropped what happened meanwhile.
struct store_lost
{
};

struct store_regained
{
    /// The store served other hosts meanwhile, so no entry lapsed for want of
    /// a store to renew it at.
    bool served_others = false;
};

/// A target refused a request because another one has its address now.
struct target_replaced
{
    target_id id;
};

using event =
    std::variant<entry_written, entry_removed, all_entries, peer_entries,
                 store_lost, store_regained, target_replaced>;

enum class change_kind
{
    added,
    leaving,
    gone,
    /// Its entry lapsed with the store; it goes unless it registers again.
    lapsed,
    returned,
};

auto to_string(change_kind it) -> std::string_view;

/// For one log line.
struct change
{
    target_id id;
    change_kind to = change_kind::added;
};

/// After an outage of the store, targets that live have registered again by
/// this time; the users' letter states about two seconds.
constexpr auto lapse_grace = duration{2200ms};

class target_directory
{
public:
    auto handle(event const& it, time_point now) -> std::vector<change>;

    /// Drops entries whose grace has ended. Call at least every second.
    auto expire(time_point now) -> std::vector<change>;

    /// Targets of `service` that may take new work, by id. Valid until the
    /// next change.
    [[nodiscard]] auto usable(service_id const& service) const
        -> std::vector<listed_target> const&;

    [[nodiscard]] auto takes_new_work(target_id const& id) const -> bool;

    /// Whether a missing entry may belong to a target that lives: the store is
    /// away, or was until a moment ago.
    [[nodiscard]] auto doubts_removals(time_point now) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return entries_.size();
    }

private:
    struct entry
    {
        listed_target it;
        std::optional<time_point> lapsed_at;
    };

    using changes = std::vector<change>;

    void on(entry_written const& it, time_point now, changes& out);
    void on(entry_removed const& it, time_point now, changes& out);
    void on(all_entries const& it, time_point now, changes& out);
    void on(peer_entries const& it, time_point now, changes& out);
    void on(store_lost const& it, time_point now, changes& out);
    void on(store_regained const& it, time_point now, changes& out);
    void on(target_replaced const& it, time_point now, changes& out);
    void put(listed_target const& it, changes& out);
    /// Puts `targets` and returns the known ones that are not among them.
    auto put_all(std::vector<listed_target> const& targets, changes& out)
        -> std::vector<target_id>;
    void remove(target_id const& id, time_point now, changes& out);
    void erase(target_id const& id, changes& out);
    void erase_lapsed(changes& out);
    /// Drops earlier processes that had the address of `it`.
    void drop_predecessors(listed_target const& it, changes& out);
    void rebuild();

    std::map<target_id, entry> entries_;
    /// Latest incarnation known to leave, by id.
    std::map<target_id, incarnation> left_;
    std::map<service_id, std::vector<listed_target>> usable_;
    bool store_away_ = false;
    std::optional<time_point> regained_at_;
};

} // namespace primrosedeal::directory
