#include "rollout/evaluation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace primrosedeal::rollout
{

namespace
{

/// A version is bad only if this much more of its responses are bad than of the
/// other one's.
constexpr auto least_excess = 0.03;
/// Deviations of a count, and responses on top where it is small, that chance
/// explains. The test is repeated several times a second on each route.
constexpr auto chance_deviations = 4.5;
constexpr auto chance_responses = 4.0;

/// Responses of the other version that make its times a baseline.
constexpr auto enough_times = 30.0;
/// Largest part of the other version's responses that counts as slow.
constexpr auto slow_part = 0.02;
/// Sizes of times from the other version's median to a slow response: a factor
/// of 2, or of 2.8 if its times are of another load.
constexpr auto slow_sizes = std::size_t{2};
constexpr auto slow_sizes_of_other_load = std::size_t{3};

struct sample
{
    double responses = 0;
    double bad = 0;
};

auto compare(sample const& target, sample const& others)
    -> std::optional<double>
{
    // Without evidence of the other version, 1 in 20 is taken for usual.
    constexpr auto prior_responses = 20.0;
    auto const known = others.responses + prior_responses;
    auto const baseline = (others.bad + 1) / known;
    auto const expected = target.responses * baseline;
    auto const variance = expected * (1 + target.responses / known);
    auto const excess = target.bad - expected;
    auto const is_bad =
        excess >= chance_responses + chance_deviations * std::sqrt(variance) &&
        excess >= least_excess * target.responses;
    return is_bad ? std::optional{baseline} : std::nullopt;
}

auto count_from(response_counts const& it, std::size_t size) -> double
{
    return std::accumulate(it.by_time.begin() +
                               static_cast<std::ptrdiff_t>(size),
                           it.by_time.end(), 0.0);
}

/// The least size of which a response of the other version would be slow.
auto slow_from(response_counts const& others, std::size_t sizes_from_median)
    -> std::size_t
{
    auto const times = count_from(others, 0);
    auto median = std::size_t{0};
    while (median < time_sizes - 1 &&
           count_from(others, median + 1) > times / 2)
    {
        ++median;
    }
    // A time at the upper end of the median's size may be just above a factor.
    auto out = std::min(median + sizes_from_median + 1, time_sizes);
    while (out < time_sizes && count_from(others, out) > slow_part * times)
    {
        ++out;
    }
    return out;
}

struct comparison
{
    response_counts const& target;
    response_counts const& others;
    std::size_t slow_sizes;
};

auto find_slowness(comparison const& it) -> std::optional<finding>
{
    auto const times = count_from(it.others, 0);
    if (times < enough_times)
    {
        return std::nullopt;
    }
    auto const from = slow_from(it.others, it.slow_sizes);
    auto const target =
        sample{count_from(it.target, 0), count_from(it.target, from)};
    auto const baseline = compare(target, {times, count_from(it.others, from)});
    return baseline ? std::optional{finding{fault::slowness,
                                            {},
                                            target.responses,
                                            target.bad,
                                            *baseline}}
                    : std::nullopt;
}

auto find_failures(response_counts const& target, response_counts const& others)
    -> std::optional<finding>
{
    auto const of = sample{target.total(), target.failures};
    auto const baseline = compare(of, {others.total(), others.failures});
    return baseline ? std::optional{finding{
                          fault::failures, {}, of.responses, of.bad, *baseline}}
                    : std::nullopt;
}

auto find_fault(route_counts const& target, route_counts const& others,
                bool side_by_side) -> std::optional<finding>
{
    auto const has_recent = others.recent.total() >= enough_times;
    if (auto out = find_failures(target.all, others.all))
    {
        return out;
    }
    // A version that turns bad late has good responses before that.
    if (auto out = find_failures(target.recent,
                                 has_recent ? others.recent : others.all))
    {
        return out;
    }
    if (side_by_side)
    {
        if (auto out = find_slowness({target.all, others.all, slow_sizes}))
        {
            return out;
        }
    }
    return has_recent
               ? find_slowness({target.recent, others.recent, slow_sizes})
               : find_slowness(
                     {target.recent, others.all, slow_sizes_of_other_load});
}

auto sum(side_counts const& it) -> route_counts
{
    auto out = route_counts{};
    for (auto const& [route, counts] : it)
    {
        out.add(counts);
    }
    return out;
}

} // namespace

auto to_string(fault it) -> std::string_view
{
    switch (it)
    {
    case fault::failures:
        return "failures";
    case fault::slowness:
        return "slowness";
    }
    return "";
}

auto find_fault(evidence const& it, bool side_by_side) -> std::optional<finding>
{
    if (auto out = find_fault(sum(it.target), sum(it.others), side_by_side))
    {
        return out;
    }
    static auto const none = route_counts{};
    for (auto const& [route, counts] : it.target)
    {
        auto const found = it.others.find(route);
        auto const& others = found == it.others.end() ? none : found->second;
        if (auto out = find_fault(counts, others, side_by_side))
        {
            out->route = route;
            return out;
        }
    }
    return std::nullopt;
}

auto responses_of_target(evidence const& it) -> double
{
    return sum(it.target).all.total();
}

} // namespace primrosedeal::rollout
