#pragma once

#include "core/units.hpp"

/// Decides which requests a host still accepts while it shuts down.
///
/// Load pattern: hosts are restarted one after the other while clients keep
/// using open connections. A stream that cannot complete before the process is
/// killed would break in the middle. Refusing it before it runs lets its client
/// use another host immediately.
namespace primrosedeal::dispatch
{

/// Part of the shutdown grace reserved for flushing the last answers.
constexpr auto grace_margin = duration{500ms};

/// Reserved before `grace_margin` for final answers to requests that are still
/// open: a target may be silent for longer than the grace.
constexpr auto answer_margin = duration{200ms};

/// When a host that began to shut down at `since` ends its open requests.
constexpr auto final_answer_time(time_point since, duration grace) -> time_point
{
    return since + grace - grace_margin - answer_margin;
}

/// Whether a request that takes `expected` can complete on a host that began
/// to shut down at `since`.
constexpr auto can_finish_before_exit(time_point since, duration grace,
                                      duration expected, time_point now) -> bool
{
    return now + expected <= since + grace - grace_margin;
}

} // namespace primrosedeal::dispatch
