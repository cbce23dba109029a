#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

/// Virtual time: runs actions in the order of their time, and of their
/// scheduling where times are equal, so that each run is the same.
namespace primrosedeal::bench
{

class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] auto now() const -> time_point
    {
        return now_;
    }

    void at(time_point when, action what)
    {
        events_.push({std::max(when, now_), next_, std::move(what)});
        ++next_;
    }

    void after(duration delay, action what)
    {
        at(now_ + delay, std::move(what));
    }

    /// Runs all that is due up to and with `end`.
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end)
        {
            auto it = events_.top();
            events_.pop();
            now_ = it.when;
            it.what();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order;
        action what;

        friend auto operator<(event const& a, event const& b) -> bool
        {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };

    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
    time_point now_{};
};

} // namespace primrosedeal::bench
