#include "fleet/rollout_message.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace primrosedeal::fleet
{

namespace
{

constexpr auto recent_unit = 0.125;
constexpr auto bad_flag = std::uint32_t{1};
constexpr auto whole_flag = std::uint32_t{2};
/// Index, count and recent count.
constexpr auto numbers_per_kind = std::size_t{3};
/// Longest age of an order that is read; later digests add to it.
constexpr auto max_age = std::chrono::hours{24 * 365};

auto to_number(double it) -> std::uint32_t
{
    constexpr auto most =
        static_cast<double>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp(std::round(it), 0.0, most));
}

/// Failures come first.
auto count_at(rollout::response_counts& it, std::size_t kind) -> double&
{
    return kind == 0 ? it.failures : it.by_time.at(kind - 1);
}

auto to_numbers(rollout::route_counts it) -> std::vector<std::uint32_t>
{
    auto out = std::vector<std::uint32_t>{};
    for (auto kind = std::size_t{0}; kind <= rollout::time_sizes; ++kind)
    {
        auto const all = to_number(count_at(it.all, kind));
        if (all > 0)
        {
            out.push_back(static_cast<std::uint32_t>(kind));
            out.push_back(all);
            out.push_back(to_number(count_at(it.recent, kind) / recent_unit));
        }
    }
    return out;
}

auto to_counts(std::vector<std::uint32_t> const& it) -> rollout::route_counts
{
    auto out = rollout::route_counts{};
    for (auto i = std::size_t{0}; i + numbers_per_kind <= it.size();
         i += numbers_per_kind)
    {
        if (it[i] <= rollout::time_sizes)
        {
            count_at(out.all, it[i]) = it[i + 1];
            count_at(out.recent, it[i]) = recent_unit * it[i + 2];
        }
    }
    return out;
}

} // namespace

auto to_fields(std::vector<rollout::report> const& it) -> rollout_fields
{
    auto out = rollout_fields{};
    auto& [rows, counts] = out;
    for (auto const& each : it)
    {
        if (rows.size() == max_reported_rollouts)
        {
            break;
        }
        auto const index = static_cast<std::uint32_t>(rows.size());
        auto const age =
            std::chrono::duration_cast<std::chrono::milliseconds>(each.age);
        rows.emplace_back(
            each.service.value(), each.order.value(),
            static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)),
            (each.bad ? bad_flag : 0U) | (each.whole ? whole_flag : 0U));
        for (auto const is_target : {true, false})
        {
            for (auto const& [route, of] :
                 is_target ? each.counts.target : each.counts.others)
            {
                counts.emplace_back(index, is_target, route, to_numbers(of));
            }
        }
    }
    return out;
}

auto to_rollouts(rollout_fields const& it) -> std::vector<rollout::report>
{
    auto const& [rows, counts] = it;
    auto out = std::vector<rollout::report>{};
    for (auto const& [service, order, age, flags] : rows)
    {
        auto each = rollout::report{};
        each.service = service_id{service};
        each.order = rollout::entry_revision{order};
        constexpr auto most =
            std::chrono::duration_cast<std::chrono::milliseconds>(max_age);
        each.age = std::chrono::milliseconds{static_cast<std::int64_t>(
            std::min(age, static_cast<std::uint64_t>(most.count())))};
        each.bad = (flags & bad_flag) != 0;
        each.whole = (flags & whole_flag) != 0;
        out.push_back(std::move(each));
    }
    for (auto const& [index, is_target, route, numbers] : counts)
    {
        if (index >= out.size())
        {
            continue;
        }
        auto& sides = out[index].counts;
        auto& side = is_target ? sides.target : sides.others;
        if (side.size() <= rollout::max_routes)
        {
            side[route] = to_counts(numbers);
        }
    }
    return out;
}

} // namespace primrosedeal::fleet
