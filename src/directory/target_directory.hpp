#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Tracks which targets exist and accept new requests, from their entries in
/// the store.
///
/// Leaving is final for an incarnation, whether its entry or the target itself
/// states it: neither an older entry nor one from a peer reverts it. Entries
/// that expire while the store is unavailable are retained until their targets
/// had time to register again. An entry that was removed and that a store
/// restored from a copy lists again is used once it is written, or has not been
/// removed a second time.
namespace primrosedeal::directory
{

struct listed_target
{
    target_id id;
    /// Start of the target's process; 0 if the entry does not state it.
    incarnation process_start;
    service_id service;
    net::endpoint address;
    domain_id domain;
    software_version version;
    /// Requests that the target runs concurrently.
    std::uint32_t slots = 1;
    /// The target drains and accepts no new requests.
    bool leaving = false;

    friend auto operator==(listed_target const&, listed_target const&)
        -> bool = default;
};

/// An entry was written. No value: the entry is unusable.
struct entry_written
{
    target_id id;
    std::optional<listed_target> it;
};

struct entry_removed
{
    target_id id;
};

/// A snapshot of all entries, from one read of the store.
struct all_entries
{
    std::vector<listed_target> targets;
};

/// A snapshot of all entries of a store that was restored from an older copy.
struct restored_entries
{
    std::vector<listed_target> targets;
};

/// A snapshot of all entries from a peer that the store answers, while it does
/// not answer this host. Missing entries were removed rather than expired.
struct peer_entries
{
    std::vector<listed_target> targets;
};

/// The store stopped answering, or changes were lost.
struct store_lost
{
};

struct store_regained
{
    /// The store answered other hosts in the meantime, so targets could renew
    /// their entries, and missing ones were removed.
    bool served_others = false;
};

/// A request to the target was refused since its address now belongs to another
/// target.
struct target_replaced
{
    target_id id;
};

/// The target stated in a response that it leaves.
struct target_leaving
{
    target_id id;
    /// Of the process that the request was sent to.
    incarnation process_start;
};

using event = std::variant<entry_written, entry_removed, all_entries,
                           restored_entries, peer_entries, store_lost,
                           store_regained, target_replaced, target_leaving>;

enum class change_kind
{
    added,
    leaving,
    gone,
    /// Its entry expired during an outage of the store. The target is removed
    /// unless it registers again.
    lapsed,
    returned,
};

auto to_string(change_kind it) -> std::string_view;

/// One change of a target's state, to be logged.
struct change
{
    target_id id;
    change_kind to = change_kind::added;
};

/// Time after an outage of the store by which live targets have registered
/// again; the requirements state about two seconds.
constexpr auto lapse_grace = duration{2200ms};

/// Time for which a removal is remembered: the oldest copy that a store may be
/// restored from.
constexpr auto removal_memory = duration{30s};

/// Time after a restoration by which the store has removed the entries of
/// targets that no longer renew them.
constexpr auto restored_entry_probation = duration{5s};

class target_directory
{
public:
    auto handle(event const& it, time_point now) -> std::vector<change>;

    /// Removes expired entries whose grace period is over. Call at least every
    /// second.
    auto expire(time_point now) -> std::vector<change>;

    /// Targets of `service` that accept new requests, ordered by id. Valid
    /// until the next change.
    [[nodiscard]] auto usable(service_id const& service) const
        -> std::vector<listed_target> const&;

    /// Failure domains with targets that accept new requests.
    [[nodiscard]] auto usable_domains() const -> std::set<domain_id>;

    /// Whether all targets of the service that are listed, or have been since
    /// `since`, have one software version.
    [[nodiscard]] auto has_one_version(service_id const& service,
                                       time_point since) const -> bool;

    /// Software versions of all targets listed, leaving ones too.
    [[nodiscard]] auto versions() const
        -> std::map<service_id, std::set<software_version>> const&
    {
        return versions_;
    }

    [[nodiscard]] auto takes_new_work(target_id const& id) const -> bool;

    /// A listed target, also a leaving one; null if there is none. Valid until
    /// the next event.
    [[nodiscard]] auto find(target_id const& id) const -> listed_target const*;

    /// Whether a missing entry may belong to a live target, since the store is
    /// unavailable or was until less than `lapse_grace` ago.
    [[nodiscard]] auto removals_uncertain(time_point now) const -> bool;

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

    struct removal
    {
        incarnation process_start;
        time_point at;
    };

    /// A removed entry that a restored store lists again.
    struct doubtful_entry
    {
        listed_target it;
        time_point usable_at;
    };

    using changes = std::vector<change>;

    void on(entry_written const& it, time_point now, changes& out);
    void on(entry_removed const& it, time_point now, changes& out);
    void on(all_entries const& it, time_point now, changes& out);
    void on(restored_entries const& it, time_point now, changes& out);
    void on(peer_entries const& it, time_point now, changes& out);
    void on(store_lost const& it, time_point now, changes& out);
    void on(store_regained const& it, time_point now, changes& out);
    void on(target_replaced const& it, time_point now, changes& out);
    void on(target_leaving const& it, time_point now, changes& out);
    void put(listed_target const& it, changes& out);
    /// Puts `targets` and returns the ids of the known targets not among them.
    auto put_all(std::vector<listed_target> const& targets, changes& out)
        -> std::vector<target_id>;
    void remove(target_id const& id, time_point now, changes& out);
    void erase(target_id const& id, time_point now, changes& out);
    void erase_lapsed(time_point now, changes& out);
    void put_doubtful(time_point now, changes& out);
    void remember_removal(listed_target const& it, time_point now);
    /// Removes targets of earlier processes at the address of `it`.
    void drop_predecessors(listed_target const& it, changes& out);
    void rebuild(time_point now);

    std::map<target_id, entry> entries_;
    /// Latest incarnation of each target that is known to be leaving.
    std::map<target_id, incarnation> latest_leaving_;
    /// Targets whose entries were removed within `removal_memory`.
    std::map<target_id, removal> removals_;
    std::map<target_id, doubtful_entry> doubtful_;
    std::map<service_id, std::vector<listed_target>> usable_;
    /// Software versions of all entries, and when other ones were last listed.
    std::map<service_id, std::set<software_version>> versions_;
    std::map<service_id, std::map<software_version, time_point>> gone_versions_;
    bool store_unavailable_ = false;
    std::optional<time_point> regained_at_;
};

} // namespace primrosedeal::directory
