#include "dispatch/target_pauses.hpp"

#include "core/part_of.hpp"

#include <algorithm>

namespace primrosedeal::dispatch
{

auto target_pauses::pause(target_id const& id, incarnation process_start,
                          time_point until) -> bool
{
    auto& it = targets_[id];
    if (process_start < it.process_start)
    {
        return false;
    }
    if (it.process_start < process_start)
    {
        it = {process_start, {}};
    }
    auto const later = it.until < until;
    it.until = std::max(it.until, until);
    return later;
}

auto target_pauses::remaining(directory::listed_target const& it,
                              time_point now) const -> duration
{
    auto const found = targets_.find(it.id);
    return found == targets_.end() ||
                   found->second.process_start < it.process_start
               ? duration{}
               : std::max(found->second.until - now, duration{});
}

auto target_pauses::permits(directory::listed_target const& it,
                            time_point now) const -> bool
{
    return remaining(it, now) == duration{};
}

auto target_pauses::retry_after(
    std::vector<directory::listed_target> const& targets, random_source& random,
    time_point now) const -> std::optional<duration>
{
    auto least = std::optional<duration>{};
    for (auto const& it : targets)
    {
        auto const wait = remaining(it, now);
        least = std::min(least.value_or(wait), wait);
    }
    return least && *least > duration{}
               ? std::optional{*least +
                               part_of(pause_return_spread, random.unit())}
               : std::nullopt;
}

void target_pauses::remove_target(target_id const& id)
{
    targets_.erase(id);
}

} // namespace primrosedeal::dispatch
