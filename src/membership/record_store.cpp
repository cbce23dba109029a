#include "membership/record_store.hpp"

#include <xxhash.h>

#include <utility>

// The digest holds one value per bucket, the exclusive or of the hashes of its
// records, so that an update costs two hashes and no iteration. Bulk records
// are excluded: they change constantly and would make every digest differ.
//
// Records carry their age because hosts share no clock. Otherwise two hosts
// could resend an expired record to each other indefinitely.
namespace primrosedeal::membership
{

namespace
{

auto hash_key(record_key const& it) -> std::uint64_t
{
    return XXH64(it.name.data(), it.name.size(),
                 static_cast<std::uint64_t>(it.topic));
}

auto hash_record(record const& it) -> std::uint64_t
{
    auto const parts = std::array<std::uint64_t, 3>{
        hash_key(it.key), it.version.epoch, it.version.sequence};
    return XXH64(parts.data(), sizeof(parts), 0);
}

auto bucket_of(record_key const& it) -> std::size_t
{
    return hash_key(it) % digest_buckets;
}

} // namespace

auto record_store::put(record it, time_point now) -> bool
{
    if (it.lifetime.count() != 0 && it.age >= it.lifetime)
    {
        return false;
    }
    auto const found = records_.find(it.key);
    if (found != records_.end())
    {
        if (it.version <= found->second.stored.version)
        {
            return false;
        }
        erase(found);
    }
    else if (records_.size() >= limits_.max_records ||
             bytes_ + encoded_bytes(it) > limits_.max_bytes)
    {
        ++refused_;
        return false;
    }
    update_totals(it, true);
    auto key = it.key;
    auto const at =
        records_.emplace(std::move(key), entry{std::move(it), now}).first;
    if (auto const when = expiry(at->second))
    {
        expiries_.emplace(*when, at->first);
    }
    return true;
}

void record_store::update_totals(record const& it, bool added)
{
    auto const size = encoded_bytes(it);
    bytes_ = added ? bytes_ + size : bytes_ - size;
    if (it.urgency == urgency::bulk)
    {
        return;
    }
    auto const bucket = bucket_of(it.key);
    summary_.at(bucket) ^= static_cast<std::uint32_t>(hash_record(it));
    if (added)
    {
        buckets_.at(bucket).insert(it.key);
    }
    else
    {
        buckets_.at(bucket).erase(it.key);
    }
}

void record_store::erase(entries::iterator at)
{
    if (auto const when = expiry(at->second))
    {
        expiries_.erase({*when, at->first});
    }
    update_totals(at->second.stored, false);
    records_.erase(at);
}

auto record_store::expiry(entry const& it) const -> std::optional<time_point>
{
    if (it.stored.lifetime.count() == 0)
    {
        return std::nullopt;
    }
    return it.received_at + (it.stored.lifetime - it.stored.age);
}

auto record_store::version(record_key const& key) const
    -> std::optional<record_version>
{
    auto const found = records_.find(key);
    if (found == records_.end())
    {
        return std::nullopt;
    }
    return found->second.stored.version;
}

auto record_store::find(record_key const& key, time_point now) const
    -> std::optional<record>
{
    auto const found = records_.find(key);
    if (found == records_.end())
    {
        return std::nullopt;
    }
    auto it = found->second.stored;
    it.age += std::chrono::duration_cast<std::chrono::seconds>(
        now - found->second.received_at);
    return it;
}

auto record_store::expire(time_point now) -> std::vector<record_key>
{
    auto expired = std::vector<record_key>{};
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        expired.push_back(expiries_.begin()->second);
        erase(records_.find(expired.back()));
    }
    return expired;
}

auto record_store::keys_differing_from(digest const& other) const
    -> std::vector<record_key>
{
    auto keys = std::vector<record_key>{};
    for (auto n = std::size_t{0}; n < digest_buckets; ++n)
    {
        if (other.at(n) != summary_.at(n))
        {
            keys.insert(keys.end(), buckets_.at(n).begin(),
                        buckets_.at(n).end());
        }
    }
    return keys;
}

} // namespace primrosedeal::membership
