#pragma once

#include "core/units.hpp"

#include <cstddef>
#include <functional>

/// Stops the sender of one started answer while its client reads slowly.
///
/// Load pattern: targets send events faster than clients take them, for many
/// clients at once. Nothing more is taken from the target then. A target aborts
/// an answer that stays unread for some seconds, so a stop has an end: the
/// sender goes on if there is room, or else the client is dropped.
namespace primrosedeal::http1
{

class answer_flow
{
public:
    /// Shorter than targets wait for a reader.
    static constexpr auto longest_stop = duration{2s};

    /// Bytes were sent, and `unsent` wait for the client. Returns whether the
    /// sender was stopped just now. The sender is told each time, since it may
    /// have been replaced.
    auto sent(std::size_t unsent, std::size_t mark, time_point now) -> bool
    {
        if (!on_change || unlimited_ || (!stopped_ && unsent <= mark))
        {
            return false;
        }
        auto const before = stopped_;
        if (!before)
        {
            stopped_ = true;
            since_ = now;
            low_mark_ = mark / 2;
        }
        on_change(true);
        return !before;
    }

    /// Returns whether the sender had been stopped. `for_good`: it is not
    /// stopped again.
    auto resume(bool for_good) -> bool
    {
        unlimited_ = unlimited_ || for_good;
        if (!stopped_)
        {
            return false;
        }
        stopped_ = false;
        low_mark_ = 0;
        if (on_change)
        {
            on_change(false);
        }
        return true;
    }

    /// Unsent bytes at which the sender goes on.
    [[nodiscard]] auto low_mark() const -> std::size_t
    {
        return low_mark_;
    }

    [[nodiscard]] auto overdue(time_point now) const -> bool
    {
        return stopped_ && now - since_ >= longest_stop;
    }

    std::function<void(bool stopped)> on_change;

private:
    bool stopped_ = false;
    bool unlimited_ = false;
    time_point since_{};
    std::size_t low_mark_ = 0;
};

} // namespace primrosedeal::http1
