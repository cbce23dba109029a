#include "dispatch/feasibility.hpp"

#include "core/part_of.hpp"

#include <algorithm>
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
/// Fraction of the average prefill and generation time that an idle engine
/// needs.
constexpr auto idle_fraction = 0.6;

} // namespace

void stream_estimate::observe(std::uint64_t events, duration span)
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
}

auto stream_estimate::min_remaining_time(
    std::optional<std::uint64_t> last_event) const -> duration
{
    if (observations_ < min_observations)
    {
        return 0s;
    }
    auto const min_events_left = events_ - deviations * deviation_ -
                                 static_cast<double>(last_event.value_or(0));
    return duration{static_cast<duration::rep>(std::max(min_events_left, 0.0) *
                                               us_per_event_)};
}

auto can_finish_by(stream_estimate const& streams, duration prefill_time,
                   std::optional<std::uint64_t> last_event, time_point until,
                   time_point now) -> bool
{
    auto const expected = prefill_time + streams.min_remaining_time(last_event);
    return now + part_of(expected, idle_fraction) <= until;
}

} // namespace primrosedeal::dispatch
