#pragma once

#include "core/units.hpp"
#include "generation/model.hpp"

/// When an attempt's silence becomes suspicious, from its own gaps.
namespace primrosedeal::generation
{

class silence_estimate
{
public:
    /// Tokens arrived `gap` after the ones before.
    void observe(duration gap);

    /// Silence longer than this is suspicious: `silence_factor` usual gaps,
    /// kept between the policy's floor and ceiling.
    [[nodiscard]] auto threshold(resume_policy const& policy) const -> duration;

private:
    /// Moving average; 0 until the first gap.
    duration usual_gap_{0};
};

} // namespace primrosedeal::generation
