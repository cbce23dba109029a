#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

/// Chooses among the targets that may take a prompt by the expected time until
/// the caller has its answer.
///
/// Load pattern: prompts of about a second of prefill arrive at dozens of
/// hosts, at targets of unequal speed. All hosts see nearly the same loads, and
/// late, so those that all choose the best target overload it. What other hosts
/// are likely to have sent since is therefore spread over the best targets, in
/// the way that leaves them all equally late, and targets are drawn from that
/// spread (M. Dahlin, Interpreting Stale Load Information, 1999). With few
/// requests elsewhere it is the best target, with many it is a draw in
/// proportion to the targets' speeds.
namespace primrosedeal::expected_cost
{

struct candidate
{
    /// Prefill tokens that the target has to process first.
    double tokens_ahead = 0;
    /// Requests outstanding there, aged ones counting less.
    double running = 0;
    std::uint32_t slots = 1;
    /// Relative to the usual speed.
    double speed = 1;
    /// It is in another failure domain.
    bool crosses = false;
};

/// The request, and the service's usual times.
struct work_to_place
{
    double prompt = 0;
    double output = 0;
    /// Time until the objective for the first event is missed.
    duration objective_left{};
    double us_per_token = 0;
    /// Usual time for a token of output at a target with few requests and at
    /// one without a free slot.
    double us_per_output = 0;
    double us_per_output_full = 0;
    /// Prompt tokens that other hosts are likely to have sent since their
    /// digests.
    double unseen_tokens = 0;
};

/// Time that a run in another failure domain has to save to be worth it, while
/// the own domain has capacity. It is lost if the domains are partitioned, and
/// its bytes have a price.
constexpr auto crossing_time = duration{200ms};

/// The time that crossing counts for. Zero if targets of the own domain are
/// clearly busier than those elsewhere, are nearly full, or would miss the
/// objective.
auto crossing_price(std::span<candidate const> candidates,
                    work_to_place const& it) -> duration;

/// Expected time until the answer, in microseconds. The output counts in part:
/// what objectives are set on is the first event.
auto expected_time(candidate const& at, work_to_place const& it,
                   duration crossing) -> double;

/// Index of the chosen candidate. `candidates` must not be empty.
auto choose(std::span<candidate const> candidates, work_to_place const& it,
            random_source& random) -> std::size_t;

} // namespace primrosedeal::expected_cost
