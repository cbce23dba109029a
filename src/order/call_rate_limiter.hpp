#pragma once

#include "core/units.hpp"

#include <algorithm>

/// Limits the rate of calls to the key-value service (token bucket).
namespace primrosedeal::order
{

struct call_rate_limits
{
    double calls_per_second = 40;
    double burst = 80;
};

class call_rate_limiter
{
public:
    explicit call_rate_limiter(call_rate_limits limits)
        : limits_(limits), tokens_(limits.burst)
    {
    }

    /// Takes one token; false if none is left.
    auto try_acquire(time_point now) -> bool
    {
        refill(now);
        if (tokens_ < 1)
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    /// Time until the next token, counted from the last `try_acquire`.
    [[nodiscard]] auto time_to_next_call() const -> duration
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

    call_rate_limits limits_;
    double tokens_;
    time_point last_{};
};

} // namespace primrosedeal::order
