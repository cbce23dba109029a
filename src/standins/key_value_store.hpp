#pragma once

#include "core/units.hpp"
#include "external/key_value.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The state of a stand-in key-value service with the meaning of etcd v3:
/// one revision for each transaction that writes, compare-and-swap, leases
/// that expire by the time passed in, and the events that watches deliver.
namespace primrosedeal::standins
{

using external::lease_id;
using external::store_revision;
using external::stored_value;

/// Keys from `key` up to but without `end`; only `key` if `end` is empty.
/// An `end` of one zero byte means all keys from `key` on.
struct key_range
{
    std::string key;
    std::string end;

    [[nodiscard]] auto contains(std::string_view it) const -> bool;
};

enum class compare_target
{
    version,
    created,
    modified,
    value,
};

enum class compare_result
{
    equal,
    not_equal,
    greater,
    less,
};

/// A key that does not exist has numbers of 0; its value compares as false.
struct compare
{
    std::string key;
    compare_target target = compare_target::modified;
    compare_result result = compare_result::equal;
    std::int64_t number = 0;
    std::string value;
};

struct range_operation
{
    key_range keys;
    bool keys_only = false;
};

struct put_operation
{
    std::string key;
    std::string value;
    lease_id lease;
};

struct delete_operation
{
    key_range keys;
};

using store_operation =
    std::variant<range_operation, put_operation, delete_operation>;

struct store_transaction
{
    std::vector<compare> compares;
    std::vector<store_operation> success;
    std::vector<store_operation> failure;
};

struct range_outcome
{
    std::vector<stored_value> values;
};

struct put_outcome
{
};

struct delete_outcome
{
    std::int64_t deleted = 0;
};

using store_outcome = std::variant<range_outcome, put_outcome, delete_outcome>;

struct transaction_outcome
{
    bool succeeded = false;
    std::vector<store_outcome> outcomes;
};

/// A put, or a deletion (then the value is empty); `value.modified` is the
/// revision of the event.
struct store_event
{
    bool deleted = false;
    stored_value value;
};

class key_value_store
{
public:
    /// Runs `it` whole or, if a put names a lease that does not exist, not
    /// at all; then nothing comes back.
    auto commit(store_transaction const& it, time_point now)
        -> std::optional<transaction_outcome>;

    /// Short forms of a transaction without conditions.
    auto range(range_operation const& it, time_point now)
        -> std::vector<stored_value>;
    auto put(put_operation const& it, time_point now) -> bool;
    auto remove(delete_operation const& it, time_point now) -> std::int64_t;

    /// False if the id is taken. An id of 0 lets the store choose.
    auto grant(lease_id& id, std::chrono::seconds ttl, time_point now) -> bool;

    /// The full ttl again, or 0 if the lease is gone.
    auto keep_alive(lease_id id, time_point now) -> std::chrono::seconds;

    /// Deletes the lease's keys too. False if it is gone.
    auto revoke(lease_id id, time_point now) -> bool;

    /// Drops the leases that ended up to `now`, and their keys.
    void expire(time_point now);

    /// When the next lease ends.
    [[nodiscard]] auto next_expiry() const -> std::optional<time_point>;

    [[nodiscard]] auto revision() const -> store_revision
    {
        return revision_;
    }

    /// Events of `keys` from revision `from` on, oldest first. Nothing if
    /// some of them are already forgotten.
    [[nodiscard]] auto events(key_range const& keys, store_revision from) const
        -> std::optional<std::vector<store_event>>;

private:
    struct entry
    {
        std::string value;
        store_revision created;
        store_revision modified;
        std::int64_t version = 0;
        lease_id lease;
    };

    struct lease
    {
        std::chrono::seconds ttl{};
        time_point ends;
        std::set<std::string> keys;
    };

    [[nodiscard]] auto holds(compare const& it) const -> bool;
    [[nodiscard]] auto
    leases_exist(std::vector<store_operation> const& operations) const -> bool;
    auto run(range_operation const& it, store_revision at) -> store_outcome;
    auto run(put_operation const& it, store_revision at) -> store_outcome;
    auto run(delete_operation const& it, store_revision at) -> store_outcome;
    void detach(std::string const& key, lease_id id);
    void drop(std::map<lease_id, lease>::iterator it);
    void log(store_event it);

    std::map<std::string, entry, std::less<>> entries_;
    std::map<lease_id, lease> leases_;
    std::deque<store_event> events_;
    store_revision revision_{1};
    store_revision forgotten_{0};
    std::int64_t next_lease_ = 1;
};

} // namespace primrosedeal::standins
