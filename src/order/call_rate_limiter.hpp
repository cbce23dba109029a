#pragma once

#include "core/units.hpp"

#include <algorithm>

/// A token bucket for calls to the key-value service.
namespace primrosedeal::order
{

struct budget_limits
{
    double calls_per_second = 40;
    double burst = 80;
};

class call_budget
{
public:
    explicit call_budget(budget_limits limits)
        : limits_(limits), tokens_(limits.burst)
    {
    }

    /// Takes one call if there is one left.
    auto take(time_point now) -> bool
    {
        refill(now);
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// How long until one call is left.
    [[nodiscard]] auto wait() const -> duration
    {
        auto const missing = std::max(0.0, 1 - tokens_);
        auto const seconds = missing / limits_.calls_per_second;
        return duration{static_cast<duration::rep>(seconds * 1e6)} + 1us;
    }

private:
    void refill(time_point now)
    {
        if (now <= last_)
        {
            return;
        }
        tokens_ =
            std::min(limits_.burst, tokens_ + to_seconds(now - last_) *
                                                  limits_.calls_per_second);
        last_ = now;
    }

    budget_limits limits_;
    double tokens_;
    time_point last_{};
};

} // namespace primrosedeal::order
