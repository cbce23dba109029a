#pragma once

#include "core/units.hpp"

/// The times of a host's shutdown.
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

/// Whether a request that takes `expected` is over when a host that began to
/// shut down at `since` ends its open requests.
constexpr auto can_finish_before_exit(time_point since, duration grace,
                                      duration expected, time_point now) -> bool
{
    auto const last = final_answer_time(since, grace);
    return now < last && now + expected <= last;
}

} // namespace primrosedeal::dispatch
