#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <cstdint>

/// Moving averages of what this host has seen engines take.
namespace primrosedeal::dispatch
{

/// Usual time of finished streams, and how far most stay within.
class usual_time
{
public:
    explicit usual_time(duration first_guess) : usual_(first_guess) {}

    void observe(duration took)
    {
        constexpr auto weight = 8;
        constexpr auto deviation_weight = 4;
        deviation_ +=
            (std::chrono::abs(took - usual_) - deviation_) / deviation_weight;
        usual_ += (took - usual_) / weight;
    }

    [[nodiscard]] auto value() const -> duration
    {
        return usual_;
    }

    /// Hardly any stream takes longer: as RFC 6298 bounds round-trip times.
    [[nodiscard]] auto upper() const -> duration
    {
        constexpr auto deviations = 4;
        return usual_ + deviations * deviation_;
    }

private:
    duration usual_;
    duration deviation_{};
};

/// Usual time to the first event, by the size of the prompt.
class reading_time
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
        return std::max(least, duration{static_cast<duration::rep>(us)});
    }

private:
    /// A short prompt still waits for the step that is running.
    static constexpr auto least = duration{200ms};
    /// Before anything was seen: five tokens a millisecond, and as much again
    /// for what is ahead.
    double us_per_token_ = 400;
};

} // namespace primrosedeal::dispatch
