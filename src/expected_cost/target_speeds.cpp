#include "expected_cost/target_speeds.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdlib>

// One Kalman filter for each target, on the logarithm of its time relative to
// the usual. The usual values are averages of observations after the target's
// own speed is taken out. Otherwise they would follow the fast targets, since
// those get more requests, and the others would seem to slow down.
namespace primrosedeal::expected_cost
{

namespace
{

/// Before observations: 5 prompt tokens a millisecond, 6 tokens of output in an
/// event.
constexpr auto first_us_per_token = 200.0;
constexpr auto first_event_us = 30000.0;
/// A short prompt waits for the current step.
constexpr auto fixed_us = 30000.0;

/// Variance of the logarithms of speeds from 0.6 to 1.6.
constexpr auto prior_variance = 0.18;
/// Added each second, as targets change.
constexpr auto variance_per_second = 0.002;
/// Observations of one target within a second share what disturbs them.
constexpr auto min_variance = 0.004;
/// Time after which an unobserved target's deviation falls to 0.37 of it.
constexpr auto memory_seconds = 120.0;

constexpr auto prefill_variance = 0.1;
constexpr auto events_variance = 0.06;
/// Errors of the times themselves, by observer.
constexpr auto own_error_us = 40000.0;
constexpr auto digest_error_us = 250000.0;

/// Standard deviations from which an observation is an outlier. Two of them in
/// one direction show a change of the target.
constexpr auto outlier = 2.5;
constexpr auto outliers_of_change = 2;
constexpr auto changed_variance = 4 * prior_variance;
/// Speeds are between 1/12 and 12.
constexpr auto max_deviation = 2.5;

constexpr auto min_weight = 0.02;
constexpr auto first_weight_divisor = 4.0;

auto square(double it) -> double
{
    return it * it;
}

auto load_class(std::uint32_t running, std::size_t classes) -> std::size_t
{
    return std::min<std::size_t>(std::bit_width(running), classes - 1);
}

auto to_duration(double us) -> duration
{
    return duration{static_cast<duration::rep>(us)};
}

} // namespace

target_speeds::target_speeds()
{
    us_per_token_.value = std::log(first_us_per_token);
    event_us_.fill({std::log(first_event_us), 0});
}

void target_speeds::usual_value::observe(double it)
{
    auto const weight = std::max(
        min_weight, 1 / (first_weight_divisor + static_cast<double>(count)));
    value += weight * std::clamp(it - value, -1.0, 1.0);
    ++count;
}

void target_speeds::age(target_state& it, time_point now)
{
    auto const seconds = std::max(0.0, to_seconds(now - it.at));
    it.mean *= std::exp(-seconds / memory_seconds);
    if (it.variance < prior_variance)
    {
        it.variance = std::min(prior_variance,
                               it.variance + seconds * variance_per_second);
    }
    it.at = now;
}

auto target_speeds::state_of(process const& at, time_point now) -> target_state&
{
    auto& it = targets_[at.id];
    if (it.variance == 0 || it.start != at.start)
    {
        it = {at.start, 0, prior_variance, 0, now};
    }
    age(it, now);
    return it;
}

void target_speeds::observe(process const& at, double log_ratio,
                            double variance, time_point now)
{
    auto& it = state_of(at, now);
    auto off = log_ratio - it.mean;
    auto const limit = outlier * std::sqrt(it.variance + variance);
    if (std::abs(off) > limit)
    {
        auto const sign = off > 0 ? 1 : -1;
        it.far_off = it.far_off * sign > 0 ? it.far_off + sign : sign;
        if (std::abs(it.far_off) >= outliers_of_change)
        {
            it.variance = changed_variance;
            it.far_off = 0;
        }
        else
        {
            off = sign * limit;
        }
    }
    else
    {
        it.far_off = 0;
    }
    auto const gain = it.variance / (it.variance + variance);
    it.mean = std::clamp(it.mean + gain * off, -max_deviation, max_deviation);
    it.variance = std::max(min_variance, it.variance * (1 - gain));
}

void target_speeds::observe_prefill(process const& at, prefill_time const& it,
                                    time_point now)
{
    if (it.tokens <= 0 || it.took <= 0us)
    {
        return;
    }
    auto const usual = static_cast<double>(prefill(it.tokens).count());
    auto const log_ratio =
        std::log(static_cast<double>(it.took.count()) / usual);
    auto const error = it.by == observer::own ? own_error_us : digest_error_us;
    auto const variance = prefill_variance + square(error / usual);
    auto const known = state_of(at, now).mean;
    if (variance < 2 * prefill_variance)
    {
        us_per_token_.observe(us_per_token_.value + log_ratio - known);
    }
    observe(at, log_ratio, variance, now);
}

void target_speeds::observe_events(process const& at, duration took,
                                   std::uint32_t running, time_point now)
{
    auto const us = std::max(1.0, static_cast<double>(took.count()));
    auto const usual = static_cast<double>(event_time(running).count());
    auto const log_ratio = std::log(us / usual);
    auto& it = event_us_.at(load_class(running, load_classes));
    if (it.count == 0)
    {
        it.value = std::log(usual);
    }
    it.observe(std::log(us) - state_of(at, now).mean);
    observe(at, log_ratio, events_variance, now);
}

void target_speeds::remove(target_id const& id)
{
    targets_.erase(id);
}

auto target_speeds::speed(process const& at, time_point now) const -> double
{
    auto const found = targets_.find(at.id);
    if (found == targets_.end() || found->second.start != at.start)
    {
        return 1;
    }
    auto it = found->second;
    age(it, now);
    return std::exp(-it.mean);
}

auto target_speeds::us_per_token() const -> double
{
    return std::exp(us_per_token_.value);
}

auto target_speeds::prefill(double tokens) const -> duration
{
    return to_duration(fixed_us + tokens * us_per_token());
}

auto target_speeds::event_time(std::uint32_t running) const -> duration
{
    // A class without observations takes the value of the next lower one.
    for (auto i = load_class(running, load_classes); i > 0; --i)
    {
        if (event_us_.at(i).count > 0)
        {
            return to_duration(std::exp(event_us_.at(i).value));
        }
    }
    return to_duration(std::exp(event_us_.front().value));
}

auto target_speeds::uneven(double slow, time_point now) const -> std::size_t
{
    auto out = std::size_t{0};
    for (auto const& [id, state] : targets_)
    {
        auto const it = speed({id, state.start}, now);
        out += it < slow || it > 1 / slow ? 1 : 0;
    }
    return out;
}

} // namespace primrosedeal::expected_cost
