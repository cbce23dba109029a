#pragma once

#include "core/random.hpp"
#include "core/units.hpp"
#include "quarantine/part_quarantine.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Decides which evidence of the quarantine a host sends, when, and to whom.
///
/// Load pattern: one part of a prompt crashes target after target. If each host
/// sends all others what it has just heard, a crash costs as many datagrams as
/// there are pairs of hosts, and their links have no room for requests.
///
/// What a host has seen itself is sent to all at once and repeated twice. What
/// it knows otherwise is sent to a few hosts at random, once or twice a second,
/// so that each host receives the same whatever their number. This also reaches
/// hosts that missed the first datagrams or started later.
namespace primrosedeal::fleet
{

/// Evidence that may not have reached all hosts yet.
constexpr auto fresh_evidence_age = duration{3s};

/// Interval between rounds, the shorter one while there is fresh evidence, and
/// hosts that each round reaches.
constexpr auto evidence_round_period = duration{1s};
constexpr auto fresh_evidence_round_period = duration{500ms};
constexpr auto evidence_fanout = std::size_t{3};

/// Repetitions of what is sent to all, and the delay of the first; that of the
/// next is twice as long.
constexpr auto evidence_repeats = std::uint32_t{2};
constexpr auto evidence_repeat_delay = duration{200ms};

/// Own clearances wait for a random time up to this for each host, since many
/// hosts may clear the same part at the same time and one clearance is enough.
constexpr auto clearance_spread_per_host = duration{1500us};

struct evidence_plan
{
    /// For all other hosts, of any size.
    quarantine::report to_all;
    /// For `evidence_fanout` hosts, chosen at random; fits one datagram.
    quarantine::report to_few;
};

/// Rows of `all` that fit one datagram: the fresh ones, the most important ones
/// and, so that all take their turn, some that follow a random one.
auto select_evidence(quarantine::report const& all, random_source& random,
                     time_point now) -> quarantine::report;

class evidence_spread
{
public:
    /// What to send now. Must be called several times per
    /// `evidence_repeat_delay`. `hosts`: the number of hosts, including this
    /// one.
    auto next(quarantine::part_quarantine& evidence, std::size_t hosts,
              random_source& random, time_point now) -> evidence_plan;

private:
    struct repetition
    {
        quarantine::report it;
        time_point due_at;
        std::uint32_t left = evidence_repeats;
    };

    auto take_news(quarantine::part_quarantine& evidence, std::size_t hosts,
                   random_source& random, time_point now) -> quarantine::report;

    std::vector<repetition> repetitions_;
    std::optional<time_point> clearances_due_at_;
    std::optional<time_point> round_due_at_;
};

} // namespace primrosedeal::fleet
