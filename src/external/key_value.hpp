#pragma once

#include "core/units.hpp"
#include "core/verdict.hpp"
#include "external/call_budget.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

/// The key-value service as this system sees it: compare-and-swap, leases
/// and watches, with the meaning of the etcd v3 API. Keys and values are raw
/// bytes here. All answers come later, on the caller's loop.
namespace primrosedeal::external
{

/// Largest value that the service takes, in bytes.
constexpr auto max_value_bytes = std::size_t{1'000'000};

/// Why a call has no answer.
enum class call_fault
{
    /// This process has used up its budget; nothing was sent.
    over_budget,
    /// No connection; nothing was sent.
    not_sent,
    /// Sent, but no answer came: it may have taken effect.
    lost,
    /// The service answered that it won't do it; nothing took effect.
    refused,
    /// The connection of a waiting watch was closed after the service had
    /// answered it. Only the next call tells whether the service is there.
    interrupted,
};

struct call_failure
{
    call_fault fault = call_fault::lost;
    std::string text;
};

/// Whether the call may have taken effect.
constexpr auto verdict_of(call_fault it) -> verdict
{
    return it == call_fault::lost ? verdict::may_have_run : verdict::not_run;
}

/// Number of times that the service has been restored from an older copy of
/// itself; 0 where it does not tell.
using store_era = strong<struct store_era_tag, std::int64_t>;

/// The service's own counter of writes. A restored service gives out revisions
/// again, so they are ordered by era first.
class store_revision
{
public:
    constexpr store_revision() = default;

    constexpr explicit store_revision(std::int64_t value, store_era era = {})
        : era_(era), value_(value)
    {
    }

    [[nodiscard]] constexpr auto value() const -> std::int64_t
    {
        return value_;
    }

    [[nodiscard]] constexpr auto era() const -> store_era
    {
        return era_;
    }

    friend constexpr auto operator==(store_revision const&,
                                     store_revision const&) -> bool = default;
    // clang-tidy 14 mistakes the defaulted comparison with 0 for a null
    // pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend constexpr auto operator<=>(store_revision const&,
                                      store_revision const&) = default;
    // NOLINTEND(modernize-use-nullptr)

    friend auto operator<<(std::ostream& os, store_revision const& it)
        -> std::ostream&
    {
        return os << to_string(it);
    }

    /// `ERA/REVISION`
    friend auto to_string(store_revision const& it) -> std::string
    {
        return std::to_string(it.era_.value()) + '/' +
               std::to_string(it.value_);
    }

private:
    store_era era_;
    std::int64_t value_ = 0;
};

using lease_id = strong<struct lease_id_tag, std::int64_t>;

struct stored_value
{
    std::string key;
    std::string value;
    /// The write that made the present value, and the first one.
    store_revision modified;
    store_revision created;
    lease_id lease;
};

struct range_request
{
    std::string key;
    /// Empty: only `key`. Otherwise all keys from `key` up to but without it.
    std::string range_end;
    bool keys_only = false;
    /// The values may be seconds old, at a fraction of the price. A watch from
    /// `range_result::at` delivers what is missing.
    bool may_be_old = false;
};

/// The `range_end` that gives all keys beginning with `prefix`.
auto prefix_end(std::string prefix) -> std::string;

struct range_result
{
    store_revision at;
    std::vector<stored_value> values;
};

/// Holds if `key` was last written by `modified`; 0: does not exist.
struct unchanged_since
{
    std::string key;
    store_revision modified;
};

/// Holds if `key` exists.
struct exists
{
    std::string key;
};

using condition = std::variant<unchanged_since, exists>;

struct put
{
    std::string key;
    std::string value;
    lease_id lease;
};

struct erase
{
    std::string key;
};

using operation = std::variant<put, erase>;

/// All of `then` if all conditions hold, else nothing but a read of
/// `read_otherwise`.
struct transaction
{
    std::vector<condition> conditions;
    std::vector<operation> then;
    std::vector<std::string> read_otherwise;
};

struct transaction_result
{
    bool succeeded = false;
    /// The service's counter at this transaction; on success the `modified`
    /// of what it put.
    store_revision at;
    /// What `read_otherwise` gave, for the keys that exist.
    std::vector<stored_value> values;
};

struct lease_grant
{
    lease_id id;
    /// Seconds that the service keeps it without a renewal; 0: it is gone.
    std::chrono::seconds ttl{};
};

template <class Result>
using answer = std::variant<Result, call_failure>;

template <class Result>
using answer_handler = std::function<void(answer<Result>)>;

/// A value written or, if `value` is nothing, removed.
struct watch_event
{
    std::string key;
    std::optional<stored_value> value;
    /// The service's counter at this change; 0 where it does not tell.
    store_revision at{};
};

/// A waiting watch; destroying it ends it. Nothing runs afterwards.
class watch
{
public:
    watch() = default;
    watch(watch const&) = delete;
    auto operator=(watch const&) -> watch& = delete;
    virtual ~watch() = default;
};

struct watch_handlers
{
    std::function<void(watch_event)> on_event;
    /// The service confirmed the watch.
    std::function<void()> on_open;
    /// The watch is over; the last to run.
    std::function<void(call_failure)> on_end;
};

class key_value_service
{
public:
    key_value_service() = default;
    key_value_service(key_value_service const&) = delete;
    auto operator=(key_value_service const&) -> key_value_service& = delete;
    virtual ~key_value_service() = default;

    virtual void range(call_purpose purpose, range_request const& request,
                       answer_handler<range_result> done) = 0;
    virtual void commit(call_purpose purpose, transaction const& request,
                        answer_handler<transaction_result> done) = 0;
    /// `id` is the caller's choice, so that a lost answer can be looked up
    /// by `keep_alive`.
    virtual void grant_lease(lease_id id, std::chrono::seconds ttl,
                             answer_handler<lease_grant> done) = 0;
    virtual void keep_alive(lease_id id, answer_handler<lease_grant> done) = 0;
    virtual void revoke_lease(lease_id id,
                              answer_handler<lease_grant> done) = 0;
    /// Events of `key`, or of the range, from `from` on. Ends with
    /// `call_fault::refused` if the service has no such history, since it has
    /// compacted it or has been restored after `from`.
    virtual auto watch_range(call_purpose purpose, range_request const& request,
                             store_revision from, watch_handlers handlers)
        -> std::unique_ptr<watch> = 0;

    /// Calls made since the start, refused ones too; zeros if they are not
    /// counted.
    [[nodiscard]] virtual auto calls_made() const -> calls_by_purpose
    {
        return {};
    }
};

} // namespace primrosedeal::external
