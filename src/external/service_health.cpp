#include "external/service_health.hpp"

#include <algorithm>

// Streaks decide, not means: a mean over a time that saw an outage says
// neither that it is over nor that it goes on. Two slow answers in a row make
// it slow, so that one stray late answer doesn't.
namespace primrosedeal::external
{
namespace
{

constexpr auto slow_answers_until_slow = 2U;

} // namespace

auto to_string(health it) -> std::string_view
{
    switch (it)
    {
    case health::good:
        return "good";
    case health::slow:
        return "slow";
    case health::down:
        return "down";
    case health::flapping:
        return "flapping";
    }
    return "unknown";
}

void service_health::on_answer(duration latency, time_point)
{
    failures_ = 0;
    slow_streak_ = latency >= settings_.slow_after ? slow_streak_ + 1 : 0;
    answers_ = std::min(answers_ + 1, settings_.answers_until_up);
    if (answers_ == settings_.answers_until_up)
    {
        down_since_.reset();
    }
}

void service_health::on_failure(time_point now)
{
    answers_ = 0;
    slow_streak_ = 0;
    if (failures_ == 0)
    {
        first_failure_ = now;
    }
    failures_ = std::min(failures_ + 1, settings_.failures_until_down);
    if (failures_ < settings_.failures_until_down || down_since_)
    {
        return;
    }
    down_since_ = first_failure_;
    falls_.push_back(now);
    if (falls_.size() > settings_.falls_until_flapping)
    {
        falls_.pop_front();
    }
}

auto service_health::state(time_point now) const -> health
{
    auto const recent =
        std::ranges::count_if(falls_, [&](time_point it)
                              { return it + settings_.flapping_window > now; });
    if (recent >= static_cast<std::ptrdiff_t>(settings_.falls_until_flapping))
    {
        return health::flapping;
    }
    if (down_since_)
    {
        return health::down;
    }
    return slow_streak_ >= slow_answers_until_slow ? health::slow
                                                   : health::good;
}

} // namespace primrosedeal::external
