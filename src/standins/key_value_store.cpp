#include "standins/key_value_store.hpp"

#include <algorithm>
#include <utility>

// A transaction runs its operations at revision + 1 and keeps that revision
// only if one of them logged an event, as etcd does.
namespace primrosedeal::standins
{

namespace
{

/// Watches that start further back than this are refused.
constexpr std::size_t most_events = 100'000;

template <class Value>
auto compare_values(Value const& a, Value const& b, compare_result how) -> bool
{
    switch (how)
    {
    case compare_result::equal:
        return a == b;
    case compare_result::not_equal:
        return a != b;
    case compare_result::greater:
        return a > b;
    case compare_result::less:
        return a < b;
    }
    return false;
}

} // namespace

auto key_range::contains(std::string_view it) const -> bool
{
    if (end.empty())
    {
        return it == key;
    }
    auto const open_ended = end == std::string_view{"\0", 1};
    return it >= key && (open_ended || it < end);
}

auto key_value_store::holds(compare const& it) const -> bool
{
    auto const found = entries_.find(it.key);
    if (it.target == compare_target::value)
    {
        return found != entries_.end() &&
               compare_values(found->second.value, it.value, it.result);
    }
    auto const current = found == entries_.end() ? entry{} : found->second;
    auto number = current.version;
    if (it.target == compare_target::created)
    {
        number = current.created.value();
    }
    else if (it.target == compare_target::modified)
    {
        number = current.modified.value();
    }
    return compare_values(number, it.number, it.result);
}

auto key_value_store::leases_exist(
    std::vector<store_operation> const& operations) const -> bool
{
    auto const exists = [&](store_operation const& it)
    {
        auto const* const put = std::get_if<put_operation>(&it);
        return put == nullptr || put->lease == lease_id{} ||
               leases_.contains(put->lease);
    };
    return std::all_of(operations.begin(), operations.end(), exists);
}

auto key_value_store::commit(store_transaction const& it, time_point now)
    -> std::optional<transaction_outcome>
{
    expire(now);
    auto outcome = transaction_outcome{};
    outcome.succeeded =
        std::all_of(it.compares.begin(), it.compares.end(),
                    [&](auto const& each) { return holds(each); });
    auto const& operations = outcome.succeeded ? it.success : it.failure;
    if (!leases_exist(operations))
    {
        return std::nullopt;
    }
    auto const at = store_revision{revision_.value() + 1};
    for (auto const& operation : operations)
    {
        outcome.outcomes.push_back(std::visit(
            [&](auto const& each) { return run(each, at); }, operation));
    }
    if (!events_.empty() && events_.back().value.modified == at)
    {
        revision_ = at;
    }
    return outcome;
}

auto key_value_store::run(range_operation const& it, store_revision)
    -> store_outcome
{
    auto outcome = range_outcome{};
    for (auto at = entries_.lower_bound(it.keys.key);
         at != entries_.end() && it.keys.contains(at->first); ++at)
    {
        auto const& [key, found] = *at;
        outcome.values.push_back({key, it.keys_only ? "" : found.value,
                                  found.modified, found.created, found.lease});
    }
    return outcome;
}

auto key_value_store::run(put_operation const& it, store_revision at)
    -> store_outcome
{
    auto& found = entries_[it.key];
    detach(it.key, found.lease);
    if (found.version == 0)
    {
        found.created = at;
    }
    ++found.version;
    found.modified = at;
    found.value = it.value;
    found.lease = it.lease;
    if (it.lease != lease_id{})
    {
        leases_.at(it.lease).keys.insert(it.key);
    }
    log({false, {it.key, it.value, at, found.created, it.lease}});
    return put_outcome{};
}

auto key_value_store::run(delete_operation const& it, store_revision at)
    -> store_outcome
{
    auto outcome = delete_outcome{};
    auto found = entries_.lower_bound(it.keys.key);
    while (found != entries_.end() && it.keys.contains(found->first))
    {
        detach(found->first, found->second.lease);
        log({true, {found->first, "", at, {}, {}}});
        found = entries_.erase(found);
        ++outcome.deleted;
    }
    return outcome;
}

void key_value_store::detach(std::string const& key, lease_id id)
{
    auto const it = leases_.find(id);
    if (it != leases_.end())
    {
        it->second.keys.erase(key);
    }
}

void key_value_store::log(store_event it)
{
    events_.push_back(std::move(it));
    if (events_.size() > most_events)
    {
        forgotten_ = events_.front().value.modified;
        events_.pop_front();
    }
}

auto key_value_store::range(range_operation const& it, time_point now)
    -> std::vector<stored_value>
{
    expire(now);
    return std::get<range_outcome>(run(it, revision_)).values;
}

auto key_value_store::put(put_operation const& it, time_point now) -> bool
{
    return commit({{}, {it}, {}}, now).has_value();
}

auto key_value_store::remove(delete_operation const& it, time_point now)
    -> std::int64_t
{
    auto const outcome = commit({{}, {it}, {}}, now);
    return std::get<delete_outcome>(outcome->outcomes.front()).deleted;
}

auto key_value_store::grant(lease_id& id, std::chrono::seconds ttl,
                            time_point now) -> bool
{
    expire(now);
    while (id == lease_id{} && leases_.contains(lease_id{next_lease_}))
    {
        ++next_lease_;
    }
    id = id == lease_id{} ? lease_id{next_lease_++} : id;
    return leases_.emplace(id, lease{ttl, now + ttl, {}}).second;
}

auto key_value_store::keep_alive(lease_id id, time_point now)
    -> std::chrono::seconds
{
    expire(now);
    auto const it = leases_.find(id);
    if (it == leases_.end())
    {
        return 0s;
    }
    it->second.ends = now + it->second.ttl;
    return it->second.ttl;
}

auto key_value_store::revoke(lease_id id, time_point now) -> bool
{
    expire(now);
    auto const it = leases_.find(id);
    if (it == leases_.end())
    {
        return false;
    }
    drop(it);
    return true;
}

void key_value_store::drop(std::map<lease_id, lease>::iterator it)
{
    auto const keys = std::move(it->second.keys);
    leases_.erase(it);
    if (keys.empty())
    {
        return;
    }
    revision_ = store_revision{revision_.value() + 1};
    for (auto const& key : keys)
    {
        run(delete_operation{{key, ""}}, revision_);
    }
}

void key_value_store::expire(time_point now)
{
    for (auto it = leases_.begin(); it != leases_.end();)
    {
        auto const current = it++;
        if (current->second.ends <= now)
        {
            drop(current);
        }
    }
}

auto key_value_store::next_expiry() const -> std::optional<time_point>
{
    auto next = std::optional<time_point>{};
    for (auto const& [id, it] : leases_)
    {
        next = next ? std::min(*next, it.ends) : it.ends;
    }
    return next;
}

auto key_value_store::events(key_range const& keys, store_revision from) const
    -> std::optional<std::vector<store_event>>
{
    if (from <= forgotten_)
    {
        return std::nullopt;
    }
    auto found = std::vector<store_event>{};
    for (auto const& it : events_)
    {
        if (it.value.modified >= from && keys.contains(it.value.key))
        {
            found.push_back(it);
        }
    }
    return found;
}

} // namespace primrosedeal::standins
