#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <cstdint>

/// Moving averages of engine times that this host observed.
namespace primrosedeal::dispatch
{

/// Estimates the time of complete requests and an upper bound for most of them,
/// as RFC 6298 computes the retransmission timeout from round-trip times.
class completion_time_estimate
{
public:
    explicit completion_time_estimate(duration first)
        : mean_(first), deviation_(first / 2)
    {
    }

    void observe(duration took)
    {
        constexpr auto weight = 8;
        constexpr auto deviation_weight = 4;
        deviation_ +=
            (std::chrono::abs(took - mean_) - deviation_) / deviation_weight;
        mean_ += (took - mean_) / weight;
    }

    [[nodiscard]] auto value() const -> duration
    {
        return mean_;
    }

    /// Upper bound that very few requests exceed.
    [[nodiscard]] auto upper() const -> duration
    {
        constexpr auto deviations = 4;
        return mean_ + deviations * deviation_;
    }

private:
    duration mean_;
    duration deviation_;
};

/// Estimates the time to the first event from the size of the prompt.
class prefill_estimate
{
public:
    void observe(std::uint64_t prompt_tokens, duration took)
    {
        if (prompt_tokens == 0)
        {
            return;
        }
        constexpr auto weight = 16.0;
        auto const us = static_cast<double>(took.count()) /
                        static_cast<double>(prompt_tokens);
        us_per_token_ += (us - us_per_token_) / weight;
    }

    [[nodiscard]] auto expect(std::uint64_t prompt_tokens) const -> duration
    {
        auto const us = us_per_token_ * static_cast<double>(prompt_tokens);
        return std::max(min_estimate, duration{static_cast<duration::rep>(us)});
    }

private:
    /// A short prompt still waits for the engine's current step.
    static constexpr auto min_estimate = duration{200ms};
    /// Initial estimate: five tokens a millisecond, doubled for queueing behind
    /// other prompts.
    double us_per_token_ = 400;
};

} // namespace primrosedeal::dispatch
