#include "dispatch/call_capacity.hpp"

#include <algorithm>

namespace primrosedeal::dispatch
{

auto calls_elsewhere(call_demand const& it, std::uint32_t listed) -> double
{
    auto const targets =
        static_cast<double>(std::max<std::size_t>(it.targets, 1));
    auto const expected =
        it.others_per_second * to_seconds(it.mean_time) / targets;
    return std::min(expected, static_cast<double>(listed));
}

auto has_room_for_call(double outstanding, std::uint32_t slots, double draw)
    -> bool
{
    return draw * outstanding < max_calls_per_slot * slots;
}

} // namespace primrosedeal::dispatch
