#include "generation/silence.hpp"

#include <algorithm>

// The average follows slow engines upwards at once and fast ones downwards
// slowly: one short gap must not make the next usual one suspicious.
namespace primrosedeal::generation
{

void silence_estimate::observe(duration gap)
{
    constexpr auto down_weight = 16;
    constexpr auto up_weight = 2;
    auto const weight = gap > usual_gap_ ? up_weight : down_weight;
    usual_gap_ += (gap - usual_gap_) / weight;
}

auto silence_estimate::threshold(resume_policy const& policy) const -> duration
{
    if (usual_gap_ == duration{0})
    {
        return policy.silence_ceiling;
    }
    auto const factored = duration{static_cast<duration::rep>(
        static_cast<double>(usual_gap_.count()) * policy.silence_factor)};
    return std::clamp(factored, policy.silence_floor, policy.silence_ceiling);
}

} // namespace primrosedeal::generation
