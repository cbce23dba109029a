#pragma once

#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "expected_cost/choice.hpp"
#include "expected_cost/cost_model.hpp"
#include "expected_cost/target_speeds.hpp"
#include "expected_cost/work_left.hpp"

#include <cstdint>

/// What one host has learned of the costs of one service.
namespace primrosedeal::expected_cost
{

/// Requests that other hosts send, and the age of what is known of them.
struct other_demand
{
    std::size_t hosts = 0;
    /// Empty while it is not known: it is assumed to be this host's own, for
    /// each of them.
    std::optional<double> requests_per_second;
    duration age{};
};

/// Outstanding at a target, of this host and of all others.
struct target_use
{
    std::uint32_t own_requests = 0;
    std::uint32_t other_requests = 0;
    pending_tokens pending;
};

/// What was expected of an attempt at a target, and its progress.
struct run
{
    /// Prefill tokens at the target before this prompt.
    double ahead = 0;
    double prompt = 0;
    double speed = 1;
    /// Expected time to the first event.
    duration first_event{};
    double output_left = 0;
    /// It goes on from a copy, without a prefill.
    bool warm = false;
    bool has_event = false;
    /// Events since `observed_at`.
    std::uint32_t events = 0;
    time_point sent_at{};
    time_point observed_at{};
};

/// A digest changed the prefill tokens of one host at a target.
struct digest_change
{
    host_id const& from;
    directory::listed_target const& at;
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    /// Requests of that host ended, so a prompt may not have been prefilled.
    bool ended = false;
};

struct service_estimates
{
    target_speeds speeds;
    work_left work;
    cost_model model;
    other_demand others;
    /// When `others` was last brought up to date.
    time_point others_at{};
    double usual_prompt = 0;
    /// Prompts a second at this host in the last seconds.
    double own_rate = 0;
    time_point arrived_at{};

    /// A prompt arrived at this host.
    void arrived(double prompt, time_point now);

    /// An attempt is sent. `pending`: before it.
    auto begin(directory::listed_target const& at, double prompt, double output,
               bool warm, pending_tokens const& pending, time_point now) -> run;

    /// An event arrived; returns true for the first one after a prefill.
    auto on_event(run& it, directory::listed_target const& at,
                  std::uint32_t running, time_point now) -> bool;

    /// The attempt ended, in whatever way.
    void end(run const& it, target_id const& at, time_point now);

    /// `pending`: after the change.
    void on_digest(digest_change const& it, pending_tokens pending,
                   time_point now);

    /// Speed of a target with what is overdue there.
    [[nodiscard]] auto speed(directory::listed_target const& at,
                             time_point now) const -> double;

    [[nodiscard]] auto candidate_at(directory::listed_target const& at,
                                    target_use const& use, time_point now) const
        -> candidate;

    [[nodiscard]] auto to_place(double prompt, double output,
                                duration objective_left,
                                std::uint32_t slots) const -> work_to_place;
};

} // namespace primrosedeal::expected_cost
