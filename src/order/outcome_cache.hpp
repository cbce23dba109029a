#pragma once

#include "order/order_messages.hpp"

#include <cstdint>
#include <list>
#include <map>

/// Outcomes of finished orders for repeat askers, bounded in number and in
/// bytes. The oldest is forgotten first; to forget one is always safe, since
/// a forgotten key is never dispatched.
namespace primrosedeal::order
{

struct outcome_limits
{
    std::size_t max_outcomes = 20'000;
    std::size_t max_bytes = std::size_t{8} << 20U;
    /// A larger body is not kept; its status and verdict are.
    std::size_t max_body_bytes = std::size_t{64} << 10U;
};

struct kept_outcome
{
    /// Fingerprint of the call, to recognise a key used for another call.
    std::uint64_t fingerprint = 0;
    reply what;
};

class outcome_memory
{
public:
    explicit outcome_memory(outcome_limits limits) : limits_(limits) {}

    /// Replaces what was kept under `key`, if anything.
    void keep(call_key const& key, kept_outcome it);

    /// Null if it was never kept or is forgotten. Valid until the next keep.
    [[nodiscard]] auto find(call_key const& key) const -> kept_outcome const*;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return index_.size();
    }

    [[nodiscard]] auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    struct entry
    {
        call_key key;
        kept_outcome outcome;
    };
    using entries = std::list<entry>;

    static auto cost(entry const& it) -> std::size_t;
    void drop(entries::iterator it);

    outcome_limits limits_;
    entries by_age_;
    std::map<call_key, entries::iterator> index_;
    std::size_t bytes_ = 0;
};

} // namespace primrosedeal::order
