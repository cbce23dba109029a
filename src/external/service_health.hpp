#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

/// What this process makes of an outside service from its own calls.
namespace primrosedeal::external
{

enum class health
{
    good,
    /// It answers, but late.
    slow,
    /// It has not answered for several calls in a row.
    down,
    /// It has gone down and come back several times of late.
    flapping,
};

auto to_string(health it) -> std::string_view;

struct health_settings
{
    /// Answers this late or later are slow.
    duration slow_after = 500ms;
    /// Failures in a row that mean down.
    unsigned failures_until_down = 3;
    /// Answers in a row that mean up again.
    unsigned answers_until_up = 2;
    /// Times it may go down within `flapping_window` before it counts as
    /// flapping.
    unsigned falls_until_flapping = 3;
    duration flapping_window = 60s;
};

/// Feed it each call's outcome; costs a few bytes.
class service_health
{
public:
    explicit service_health(health_settings settings = {}) : settings_(settings)
    {
    }

    void on_answer(duration latency, time_point now);
    /// No answer: refused, broken or timed out.
    void on_failure(time_point now);

    [[nodiscard]] auto state(time_point now) const -> health;

    /// Since when it is down; nothing while it isn't.
    [[nodiscard]] auto down_since() const -> std::optional<time_point>
    {
        return down_since_;
    }

private:
    health_settings settings_;
    unsigned failures_ = 0;
    unsigned answers_ = 0;
    unsigned slow_streak_ = 0;
    time_point first_failure_{};
    std::optional<time_point> down_since_;
    std::deque<time_point> falls_;
};

} // namespace primrosedeal::external
