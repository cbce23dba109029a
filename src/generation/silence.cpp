#include "generation/silence.hpp"

#include <algorithm>

// The average increases quickly after a long gap and decreases slowly after a
// short one: a single short gap must not make the next normal gap exceed the
// threshold.
namespace primrosedeal::generation
{

void silence_detector::observe(duration gap)
{
    constexpr auto decrease_divisor = 16;
    constexpr auto increase_divisor = 2;
    auto const divisor =
        gap > average_gap_ ? increase_divisor : decrease_divisor;
    average_gap_ += (gap - average_gap_) / divisor;
}

auto silence_detector::threshold(resume_policy const& policy) const -> duration
{
    if (average_gap_ == duration{0})
    {
        return policy.silence_ceiling;
    }
    auto const scaled = duration{static_cast<duration::rep>(
        static_cast<double>(average_gap_.count()) * policy.silence_factor)};
    return std::clamp(scaled, policy.silence_floor, policy.silence_ceiling);
}

} // namespace primrosedeal::generation
