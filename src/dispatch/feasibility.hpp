#pragma once

#include "core/units.hpp"

#include <cstdint>
#include <optional>

/// Estimates whether a stream can complete before its client's deadline.
///
/// Load pattern: all hosts lose power at once. Their clients detect this after
/// many seconds and reconnect simultaneously to resume, with a few seconds or
/// less left. Prefilling each prompt again takes most of that time, so these
/// answers cannot complete but would take engine time from requests that can.
/// Such a request is refused immediately instead of at its deadline.
namespace primrosedeal::dispatch
{

/// Moving averages of the number of events in a stream and of the time between
/// two events, from the streams that this host relayed.
class stream_estimate
{
public:
    /// Records a complete stream; `span` is the time from its first event to
    /// its last.
    void observe(std::uint64_t events, duration span);

    /// Lower bound on the time for the events after `last_event`; very few
    /// streams are shorter. Zero until enough streams were observed.
    [[nodiscard]] auto
    min_remaining_time(std::optional<std::uint64_t> last_event) const
        -> duration;

private:
    double events_ = 0;
    double deviation_ = 0;
    double us_per_event_ = 0;
    std::uint32_t observations_ = 0;
};

/// `prefill_time`: expected time to the first event, or zero if a copy at the
/// target makes prefill unnecessary.
auto can_finish_by(stream_estimate const& streams, duration prefill_time,
                   std::optional<std::uint64_t> last_event, time_point until,
                   time_point now) -> bool;

} // namespace primrosedeal::dispatch
