#pragma once

#include "core/units.hpp"
#include "generation/model.hpp"

/// Determines after how much silence an attempt is suspected, from the gaps
/// between its tokens.
namespace primrosedeal::generation
{

class silence_detector
{
public:
    /// Records that tokens arrived `gap` after the previous ones.
    void observe(duration gap);

    /// An attempt that is silent for longer is suspected: `silence_factor`
    /// times the average gap, clamped to the policy's floor and ceiling.
    [[nodiscard]] auto threshold(resume_policy const& policy) const -> duration;

private:
    /// Moving average; 0 before the first gap.
    duration average_gap_{0};
};

} // namespace primrosedeal::generation
