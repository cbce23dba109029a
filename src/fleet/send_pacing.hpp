#pragma once

#include "core/units.hpp"

#include <cstddef>

/// Bounds the share of hosts' links that digests take.
///
/// Load pattern: a digest goes to all hosts at each change of the loads. Its
/// rows grow with the open requests, and so does the number of changes, so the
/// bytes grow with their square; failed attempts are changes too. A link of 10
/// Mbit/s fills up, connections to targets time out, and the host takes that
/// for lost targets.
///
/// Digests carry absolute values, so several changes can go with one digest. A
/// host sends to one receiver at a time, in turn, as its own link and the
/// receiver's permit; the latter is shared with all other senders. A digest
/// that is too large to reach all hosts in `max_digest_period` is shortened.
namespace primrosedeal::fleet
{

/// Intervals between digests to one host while something changes and while
/// nothing does. Prefill takes about a second, so the short interval keeps the
/// hosts' views of each other's load close to the current state.
constexpr auto min_digest_period = duration{20ms};
constexpr auto max_digest_period = duration{1s};

/// Interval between digests to one host that repeat the loads that have not
/// changed.
constexpr auto whole_digest_period = duration{2s};

/// Fraction of a link, in each direction, that digests may take.
constexpr auto digest_link_fraction = 0.15;

/// Fraction of its own link that a host may use to tell all others of crashes
/// that it has seen.
constexpr auto evidence_link_fraction = 0.05;

/// Headers of IP and UDP.
constexpr auto datagram_overhead_bytes = std::size_t{28};

/// Speeds of the links in bytes a second; zero: unknown, without a bound.
struct link_pair
{
    double sender = 0;
    double receiver = 0;
};

/// Time until the next digest to a receiver after one of `bytes`. `receivers`:
/// the hosts to which this host sends, about as many as send to the receiver.
auto digest_interval(std::size_t bytes, std::size_t receivers,
                     link_pair const& links) -> duration;

/// Largest digest that can reach all receivers in `max_digest_period`.
auto max_paced_digest(std::size_t receivers, link_pair const& links)
    -> std::size_t;

/// Bytes that this host may send now on its own link.
class link_budget
{
public:
    /// `rate` in bytes a second; zero: without a bound. What is not used is
    /// saved up for `saving`.
    link_budget(double rate, duration saving) : rate_(rate), saving_(saving) {}

    void refill(time_point now);

    [[nodiscard]] auto available() const -> bool
    {
        return rate_ <= 0 || bytes_ > 0;
    }

    /// Counts datagrams of `bytes` each, without headers. Those beyond the
    /// budget delay later ones.
    void spend(std::size_t bytes, std::size_t datagrams);

private:
    double rate_;
    duration saving_;
    double bytes_ = 0;
    time_point refilled_at_{};
};

} // namespace primrosedeal::fleet
