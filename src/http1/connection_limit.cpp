#include "http1/connection_limit.hpp"

#include <algorithm>
#include <tuple>

namespace primrosedeal::http1
{

namespace
{

auto stalled(held_connection const& it, duration stall_time, time_point now)
    -> bool
{
    return it.owes_request && now >= it.progressed_at + stall_time;
}

/// Whether nothing is lost if it is closed.
auto spent(held_connection const& it, duration stall_time, time_point now)
    -> bool
{
    return it.ending ? !it.has_unsent && now >= it.progressed_at + least_linger
                     : it.surplus && stalled(it, stall_time, now);
}

/// The first one by `order` for which `matches` holds.
template <class Predicate, class Order>
auto first(std::span<held_connection const> held, Predicate const& matches,
           Order const& order) -> std::optional<std::size_t>
{
    auto out = std::optional<std::size_t>{};
    for (auto i = std::size_t{0}; i < held.size(); ++i)
    {
        if (matches(held[i]) && (!out || order(held[i]) < order(held[*out])))
        {
            out = i;
        }
    }
    return out;
}

} // namespace

auto place_connection(std::span<held_connection const> held,
                      connection_bounds const& bounds, time_point now)
    -> connection_decision
{
    auto out = connection_decision{};
    if (held.size() >= bounds.most + bounds.most_surplus)
    {
        out.spent = first(
            held,
            [&](auto const& it) { return spent(it, bounds.stall_time, now); },
            [](auto const& it) { return it.progressed_at; });
        if (!out.spent)
        {
            out.what = close_at_once{};
            return out;
        }
    }
    auto const serving = static_cast<std::size_t>(std::count_if(
        held.begin(), held.end(), [](auto const& it) { return !it.ending; }));
    auto const freed = out.spent && !held[*out.spent].ending;
    if (serving - (freed ? 1 : 0) < bounds.most)
    {
        out.what = serve{};
        return out;
    }
    // A stalled request goes before a connection without one.
    auto const replaced = first(
        held,
        [&](auto const& it)
        {
            return stalled(it, bounds.stall_time, now) &&
                   (!out.spent || &it != &held[*out.spent]);
        },
        [](auto const& it) {
            return std::tuple{!it.in_request, it.progressed_at};
        });
    if (replaced)
    {
        out.what = serve{replaced};
    }
    else
    {
        out.what = refuse_request{};
    }
    return out;
}

} // namespace primrosedeal::http1
