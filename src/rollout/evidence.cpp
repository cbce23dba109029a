#include "rollout/evidence.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace primrosedeal::rollout
{

namespace
{

/// Engines prefill about 5 tokens a millisecond; first events of prompts of any
/// size are comparable relative to that time.
constexpr auto tokens_per_ms = 5.0;
constexpr auto least_prefill_ms = 20.0;
/// Sizes below the reference time, for faster engines.
constexpr auto sizes_below_prefill = 6;

auto size_of(observation const& it) -> std::size_t
{
    constexpr auto ms_per_s = 1e3;
    constexpr auto sizes_per_octave = 2;
    auto const streamed = it.prompt.value() > 0;
    auto const reference =
        streamed ? least_prefill_ms +
                       static_cast<double>(it.prompt.value()) / tokens_per_ms
                 : 1.0;
    auto const ms = std::max(to_seconds(it.took) * ms_per_s, 1e-3);
    auto const size = std::floor(sizes_per_octave * std::log2(ms / reference)) +
                      (streamed ? sizes_below_prefill : 0);
    return static_cast<std::size_t>(
        std::clamp(size, 0.0, static_cast<double>(time_sizes - 1)));
}

void add_side(side_counts& to, side_counts const& it, bool with_recent)
{
    for (auto const& [route, counts] : it)
    {
        to[route].add(counts, with_recent);
    }
}

void decay(side_counts& it, double factor)
{
    for (auto& [route, counts] : it)
    {
        auto less = response_counts{};
        less.add(counts.recent, factor);
        counts.recent = less;
    }
}

} // namespace

auto response_counts::total() const -> double
{
    return std::accumulate(by_time.begin(), by_time.end(), failures);
}

void response_counts::add(response_counts const& it, double factor)
{
    failures += factor * it.failures;
    for (auto i = std::size_t{0}; i < time_sizes; ++i)
    {
        by_time.at(i) += factor * it.by_time.at(i);
    }
}

void route_counts::add(route_counts const& it, bool with_recent)
{
    all.add(it.all);
    if (with_recent)
    {
        recent.add(it.recent);
    }
}

void evidence::add(evidence const& it, bool with_recent)
{
    add_side(target, it.target, with_recent);
    add_side(others, it.others, with_recent);
}

void own_evidence::observe(observation const& it, time_point now)
{
    counts(now);
    auto& side = it.at_target_version ? counts_.target : counts_.others;
    auto const has_room = side.size() < max_routes || side.contains(it.route);
    auto& counts = side[has_room ? it.route : std::string{}];
    for (auto* const each : {&counts.all, &counts.recent})
    {
        (it.failed ? each->failures : each->by_time.at(size_of(it))) += 1;
    }
}

auto own_evidence::counts(time_point now) -> evidence const&
{
    // Decays in steps, which cost less than a decay at each observation.
    constexpr auto step = duration{100ms};
    if (decayed_at_ == time_point{})
    {
        decayed_at_ = now;
    }
    if (now - decayed_at_ >= step)
    {
        auto const factor =
            std::exp(-to_seconds(now - decayed_at_) / to_seconds(window_));
        decay(counts_.target, factor);
        decay(counts_.others, factor);
        decayed_at_ = now;
    }
    return counts_;
}

} // namespace primrosedeal::rollout
