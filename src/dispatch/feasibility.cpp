#include "dispatch/feasibility.hpp"

#include "core/part_of.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace primrosedeal::dispatch
{

namespace
{

/// Streams to observe before the estimate is used.
constexpr auto min_observations = 8U;
constexpr auto weight = 1.0 / 16;
/// Mean deviations below the average that a stream may be shorter by.
constexpr auto deviations = 3.0;
/// Fraction of the observed times that an idle engine needs.
constexpr auto idle_fraction = 0.6;

/// Class of a size: its number of binary digits.
auto size_class_of(token_count it) -> int
{
    return static_cast<int>(std::bit_width(it.value()));
}

} // namespace

void recent_minimum::observe(double value, time_point now)
{
    if (now - current_since_ >= minimum_period)
    {
        previous_ =
            now - current_since_ < 2 * minimum_period ? current_ : std::nullopt;
        current_.reset();
        current_since_ = now;
    }
    current_ = std::min(current_.value_or(value), value);
}

auto recent_minimum::value(time_point now) const -> std::optional<double>
{
    if (!current_ || now - current_since_ >= 2 * minimum_period)
    {
        return std::nullopt;
    }
    return std::min(*current_, previous_.value_or(*current_));
}

void prefill_bound::observe(token_count prompt, duration took, time_point now)
{
    if (prompt.value() == 0)
    {
        return;
    }
    auto const us = static_cast<double>(took.count());
    auto& it = classes_.at(static_cast<std::size_t>(size_class_of(prompt)));
    it.time_us.observe(us, now);
    it.us_per_token.observe(us / static_cast<double>(prompt.value()), now);
}

auto prefill_bound::at_least(token_count prompt, time_point now) const
    -> duration
{
    auto const bound_of = [&](size_class const& it) -> std::optional<double>
    {
        auto const time = it.time_us.value(now);
        auto const rate = it.us_per_token.value(now);
        if (!time || !rate)
        {
            return std::nullopt;
        }
        return std::min(*time, *rate * static_cast<double>(prompt.value()));
    };
    auto const own =
        bound_of(classes_.at(static_cast<std::size_t>(size_class_of(prompt))));
    auto out = own.value_or(0);
    if (!own)
    {
        for (auto const& it : classes_)
        {
            out = std::max(out, bound_of(it).value_or(0));
        }
    }
    return duration{static_cast<duration::rep>(out)};
}

void stream_estimate::observe(std::uint64_t events, duration span,
                              time_point now)
{
    if (events < 2)
    {
        return;
    }
    auto const n = static_cast<double>(events);
    auto const us_per_event = static_cast<double>(span.count()) / (n - 1);
    if (observations_ == 0)
    {
        events_ = n;
        us_per_event_ = us_per_event;
    }
    deviation_ += (std::abs(n - events_) - deviation_) * weight;
    events_ += (n - events_) * weight;
    us_per_event_ += (us_per_event - us_per_event_) * weight;
    ++observations_;
    least_events_.observe(n, now);
}

auto stream_estimate::min_remaining_time(
    std::optional<std::uint64_t> last_event, time_point now) const -> duration
{
    auto const least = least_events_.value(now);
    if (observations_ < min_observations || !least)
    {
        return 0s;
    }
    auto const min_events = std::min(events_ - deviations * deviation_, *least);
    auto const min_events_left =
        min_events - static_cast<double>(last_event.value_or(0));
    return duration{static_cast<duration::rep>(std::max(min_events_left, 0.0) *
                                               us_per_event_)};
}

void service_times::observe_first_event(work_size const& size, duration took,
                                        bool from_copy, time_point now)
{
    if (!from_copy)
    {
        prefill_.observe(size.prompt.value(), took);
        least_prefill_.observe(size.prompt, took, now);
    }
}

void service_times::observe_stream(work_size const& size, std::uint64_t events,
                                   duration span, time_point now)
{
    streams_[size_class_of(size.output)].observe(events, span, now);
}

auto service_times::least_time(work_size const& size,
                               std::optional<std::uint64_t> last_event,
                               time_point now) const -> duration
{
    auto const streams = streams_.find(size_class_of(size.output));
    auto const remaining =
        streams == streams_.end()
            ? duration{0}
            : streams->second.min_remaining_time(last_event, now);
    return part_of(least_prefill_.at_least(size.prompt, now) + remaining,
                   idle_fraction);
}

auto service_times::begin_trial(work_size const& size, time_point now) -> bool
{
    auto& next =
        next_trials_[{size_class_of(size.prompt), size_class_of(size.output)}];
    if (now < next)
    {
        return false;
    }
    next = now + trial_period;
    return true;
}

} // namespace primrosedeal::dispatch
