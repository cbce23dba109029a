#include "dispatch/feasibility.hpp"

#include "core/part_of.hpp"

#include <algorithm>
#include <cmath>

namespace primrosedeal::dispatch
{

namespace
{

/// Streams seen before their shape is believed.
constexpr auto least_seen = 8U;
constexpr auto weight = 1.0 / 16;
/// Mean deviations by which a stream may be shorter than usual.
constexpr auto deviations = 3.0;
/// An idle engine reads and generates in this part of the usual time.
constexpr auto idle_part = 0.6;

} // namespace

void stream_shape::observe(std::uint64_t events, duration span)
{
    if (events < 2)
    {
        return;
    }
    auto const n = static_cast<double>(events);
    auto const pace = static_cast<double>(span.count()) / (n - 1);
    if (seen_ == 0)
    {
        events_ = n;
        us_per_event_ = pace;
    }
    deviation_ += (std::abs(n - events_) - deviation_) * weight;
    events_ += (n - events_) * weight;
    us_per_event_ += (pace - us_per_event_) * weight;
    ++seen_;
}

auto stream_shape::least_time_after(
    std::optional<std::uint64_t> last_event) const -> duration
{
    if (seen_ < least_seen)
    {
        return 0s;
    }
    auto const least = events_ - deviations * deviation_ -
                       static_cast<double>(last_event.value_or(0));
    return duration{
        static_cast<duration::rep>(std::max(least, 0.0) * us_per_event_)};
}

auto may_end_in_time(stream_shape const& shape, duration reading,
                     std::optional<std::uint64_t> last_event, time_point until,
                     time_point now) -> bool
{
    auto const usual = reading + shape.least_time_after(last_event);
    return now + part_of(usual, idle_part) <= until;
}

} // namespace primrosedeal::dispatch
