#pragma once

#include "core/units.hpp"
#include "membership/message.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// Store of the newest version of each record key.
namespace primrosedeal::membership
{

struct store_limits
{
    std::size_t max_records = 20'000;
    std::size_t max_bytes = std::size_t{6} * 1024 * 1024;
};

class record_store
{
public:
    explicit record_store(store_limits it = {}) : limits_(it) {}

    /// Stores `it` if it is newer than the stored version of its key. Returns
    /// whether it was stored. A full store rejects records of new keys.
    auto put(record it, time_point now) -> bool;

    [[nodiscard]] auto version(record_key const& key) const
        -> std::optional<record_version>;

    /// Returns the record with its age as of `now`.
    [[nodiscard]] auto find(record_key const& key, time_point now) const
        -> std::optional<record>;

    /// Removes expired records and returns their keys.
    auto expire(time_point now) -> std::vector<record_key>;

    /// Digest of all records except bulk ones, updated incrementally.
    [[nodiscard]] auto summary() const -> digest const&
    {
        return summary_;
    }

    /// Returns the keys of all buckets in which `other` differs from
    /// `summary()`.
    [[nodiscard]] auto keys_differing_from(digest const& other) const
        -> std::vector<record_key>;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return records_.size();
    }

    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return bytes_;
    }

    [[nodiscard]] auto refused() const -> std::uint64_t
    {
        return refused_;
    }

private:
    struct entry
    {
        record stored;
        time_point received_at{};
    };

    using entries = std::map<record_key, entry>;

    void update_totals(record const& it, bool added);
    void erase(entries::iterator at);
    [[nodiscard]] auto expiry(entry const& it) const
        -> std::optional<time_point>;

    store_limits limits_;
    entries records_;
    std::array<std::set<record_key>, digest_buckets> buckets_;
    std::set<std::pair<time_point, record_key>> expiries_;
    digest summary_{};
    std::size_t bytes_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace primrosedeal::membership
