#pragma once

#include "core/units.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

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

/// Estimates the time to the first event from the size of the prompt, as a
/// fixed part and a part for each token: a moving linear regression. While
/// the prompts observed are of about one size, the part for each token is the
/// initial estimate, or their time in proportion if that is less.
class prefill_estimate
{
public:
    void observe(std::uint64_t prompt_tokens, duration took)
    {
        if (prompt_tokens == 0)
        {
            return;
        }
        auto const tokens = static_cast<double>(prompt_tokens);
        auto const us = static_cast<double>(took.count());
        if (!std::exchange(observed_, true))
        {
            tokens_ = tokens;
            us_ = us;
            return;
        }
        constexpr auto weight = 1.0 / 16;
        auto const tokens_off = tokens - tokens_;
        auto const us_off = us - us_;
        tokens_ += tokens_off * weight;
        us_ += us_off * weight;
        variance_ =
            (1 - weight) * (variance_ + weight * tokens_off * tokens_off);
        covariance_ =
            (1 - weight) * (covariance_ + weight * tokens_off * us_off);
    }

    [[nodiscard]] auto expect(std::uint64_t prompt_tokens) const -> duration
    {
        auto const prior = observed_
                               ? std::min(us_ / tokens_, first_us_per_token)
                               : first_us_per_token;
        auto const us_per_token =
            std::max(0.0, (covariance_ + prior_variance * prior) /
                              (variance_ + prior_variance));
        auto const us =
            us_ + us_per_token * (static_cast<double>(prompt_tokens) - tokens_);
        return std::max(min_estimate, duration{static_cast<duration::rep>(us)});
    }

private:
    /// A short prompt still waits for the engine's current step.
    static constexpr auto min_estimate = duration{200ms};
    /// Five tokens a millisecond, doubled for queueing behind other prompts.
    static constexpr auto first_us_per_token = 400.0;
    /// In tokens squared; weight of the initial estimate.
    static constexpr auto prior_variance = 100.0 * 100.0;
    bool observed_ = false;
    double tokens_ = 0;
    double us_ = 0;
    double variance_ = 0;
    double covariance_ = 0;
};

} // namespace primrosedeal::dispatch
