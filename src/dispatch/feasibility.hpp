#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <optional>

/// Whether a stream can still be whole when its client stops waiting.
///
/// Load pattern: all hosts lose power at once. Their clients notice after many
/// seconds and come back, all together, to go on with a few seconds or less
/// left. Reading each prompt again takes most of that; none of these answers
/// can end in time, and the engines' time is lost to those that can. Such a
/// request is refused at once instead of at its deadline.
namespace primrosedeal::dispatch
{

/// What this host has seen streams take: their events, and the time between
/// two of them.
class stream_shape
{
public:
    /// A whole stream of `events` that took `span` from its first event on.
    void observe(std::uint64_t events, duration span);

    /// A lower bound of the time for the events after `last_event`: hardly any
    /// stream is shorter. Zero before enough streams were seen.
    [[nodiscard]] auto
    least_time_after(std::optional<std::uint64_t> last_event) const -> duration;

private:
    double events_ = 0;
    double deviation_ = 0;
    double us_per_event_ = 0;
    std::uint32_t seen_ = 0;
};

/// `reading`: usual time to the first event, zero where a copy needs none.
auto may_end_in_time(stream_shape const& shape, duration reading,
                     std::optional<std::uint64_t> last_event, time_point until,
                     time_point now) -> bool;

} // namespace primrosedeal::dispatch
