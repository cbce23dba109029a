#include "membership/neighbours.hpp"

#include <xxhash.h>

#include <cstdint>
#include <utility>

// A ring orders hosts by a salted hash of their ids. The union of random rings
// is connected and its diameter grows with the logarithm of the number of
// hosts. Removing a host only links its two neighbours on each ring to each
// other.
namespace primrosedeal::membership
{

namespace
{

/// Rings with an even salt hold one failure domain, those with an odd salt the
/// whole fleet.
constexpr auto ring_count = std::uint64_t{4};

using position = std::pair<std::uint64_t, std::string const*>;

auto position_of(member const& it, std::uint64_t salt) -> position
{
    auto const& id = it.id.value();
    return {XXH64(id.data(), id.size(), salt), &id};
}

auto before(position const& a, position const& b) -> bool
{
    return a.first != b.first ? a.first < b.first : *a.second < *b.second;
}

/// Finds the position nearest to `self` in one direction around the ring.
struct nearest
{
    position self;
    bool forwards;
    position best{0, nullptr};

    [[nodiscard]] auto wraps(position const& it) const -> bool
    {
        return forwards ? before(it, self) : before(self, it);
    }

    void offer(position const& it)
    {
        if (best.second == nullptr)
        {
            best = it;
            return;
        }
        if (wraps(it) != wraps(best))
        {
            best = wraps(it) ? best : it;
            return;
        }
        auto const closer = forwards ? before(it, best) : before(best, it);
        best = closer ? it : best;
    }
};

} // namespace

auto neighbours_of(member const& self, std::vector<member> const& others)
    -> std::set<host_id>
{
    auto found = std::set<host_id>{};
    for (auto salt = std::uint64_t{0}; salt < ring_count; ++salt)
    {
        auto const here = position_of(self, salt);
        auto next = nearest{here, true};
        auto previous = nearest{here, false};
        for (auto const& it : others)
        {
            auto const in_domain = it.domain == self.domain;
            if (it.id == self.id || (salt % 2 == 0 && !in_domain))
            {
                continue;
            }
            next.offer(position_of(it, salt));
            previous.offer(position_of(it, salt));
        }
        for (auto const* id : {next.best.second, previous.best.second})
        {
            if (id != nullptr)
            {
                found.insert(host_id{*id});
            }
        }
    }
    return found;
}

} // namespace primrosedeal::membership
