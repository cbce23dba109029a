#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "rollout/order.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What hosts have observed of the two sides of an order, its target version
/// and all others, by route.
///
/// Load pattern: a part of the responses of a bad version fails or takes
/// several times as long, perhaps from some moment on. A mean hides a slow
/// part, so times are counted by size, and sums of the last seconds are kept
/// beside those since the order.
namespace primrosedeal::rollout
{

/// Sizes of times in steps of a factor of the square root of two.
constexpr auto time_sizes = std::size_t{32};

/// Responses: failures, and the others by time.
struct response_counts
{
    double failures = 0;
    std::array<double, time_sizes> by_time{};

    [[nodiscard]] auto total() const -> double;
    void add(response_counts const& it, double factor = 1);
};

struct route_counts
{
    /// Since the order.
    response_counts all;
    /// The same, weighted by exp(-age / window).
    response_counts recent;

    void add(route_counts const& it, bool with_recent = true);
};

/// One side of an order, by route.
using side_counts = std::map<std::string, route_counts>;

/// Bounds the evidence of a host in its digests; further routes are counted
/// together under an empty name.
constexpr auto max_routes = std::size_t{12};

struct evidence
{
    side_counts target;
    side_counts others;

    void add(evidence const& it, bool with_recent);
};

/// An attempt at a target that ended with a response, or ran into a timeout.
struct observation
{
    std::string route;
    bool at_target_version = false;
    bool failed = false;
    /// Time to the first event, or of the whole response; of a timeout, the
    /// time waited.
    duration took{};
    /// Zero for plain calls. Compares first events of prompts of all sizes.
    token_count prompt;
};

/// Counts the observations of this host for one order.
class own_evidence
{
public:
    /// `window`: time constant of the recent counts.
    explicit own_evidence(duration window) : window_(window) {}

    void observe(observation const& it, time_point now);
    /// The counts as of `now`.
    auto counts(time_point now) -> evidence const&;

private:
    duration window_;
    time_point decayed_at_{};
    evidence counts_;
};

/// What a host reports of an order in its digests.
struct report
{
    service_id service;
    entry_revision order;
    /// Time since the order was first seen by any host.
    duration age{};
    /// The host has found the version bad.
    bool bad = false;
    /// New requests of the host go to the target version only.
    bool whole = false;
    evidence counts;
};

} // namespace primrosedeal::rollout
