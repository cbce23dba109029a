#pragma once

#include "core/units.hpp"

/// Which requests a host that has been told to stop still takes.
///
/// Load pattern: hosts are restarted one after the other while clients go on
/// using the connections they have. A stream that cannot end before the
/// process is killed would break in the middle; its client is better off
/// with another host at once, as long as the request has not run.
namespace primrosedeal::dispatch
{

/// Kept of the grace for the last bytes of answers to leave.
constexpr auto grace_margin = duration{500ms};

/// Kept before that for final answers to requests that have not ended: a target
/// may be silent for longer than the grace.
constexpr auto answer_margin = duration{200ms};

/// When a host that was told to stop at `since` ends what is still open.
constexpr auto last_answer_at(time_point since, duration grace) -> time_point
{
    return since + grace - grace_margin - answer_margin;
}

/// Whether work that takes `expected` ends before a host that was told to
/// stop at `since` has to be gone.
constexpr auto may_finish(time_point since, duration grace, duration expected,
                          time_point now) -> bool
{
    return now + expected <= since + grace - grace_margin;
}

} // namespace primrosedeal::dispatch
