#pragma once

#include "core/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// How many calls this process may make to the key-value service, which
/// counts and bills each of them.
namespace primrosedeal::external
{

/// What a call is for. The text form labels the counters.
enum class call_purpose
{
    configuration_read,
    configuration_watch,
    configuration_write,
    lease,
    claim,
    /// A read of all keys after the history that a watch needs was dropped.
    history_read,
    /// A read of one value that is too large for a feed.
    large_value_read,
    /// A host makes its address known to the others.
    registration,
    /// Versions of streams and services (`stream_origin`).
    version_write,
    /// The versions of a service, for a stream of unknown origin.
    version_read,
};

constexpr auto call_purpose_count = std::size_t{10};

using calls_by_purpose = std::array<std::uint64_t, call_purpose_count>;

auto to_string(call_purpose it) -> std::string_view;

struct call_counters
{
    std::uint64_t made = 0;
    std::uint64_t over_budget = 0;
};

struct call_budget_settings
{
    /// Calls a second on average.
    double rate = 20;
    /// Calls at once after a quiet time.
    double burst = 40;
    /// Part of the burst that claims leave to the other purposes.
    double reserved_part = 0.25;
};

/// A token bucket with counters by purpose.
class call_budget
{
public:
    explicit call_budget(call_budget_settings settings)
        : settings_(settings), tokens_(settings.burst)
    {
    }

    /// Counts a call and whether it may be made now.
    auto allow(call_purpose purpose, time_point now) -> bool;

    [[nodiscard]] auto counters(call_purpose purpose) const
        -> call_counters const&
    {
        return counters_[static_cast<std::size_t>(purpose)];
    }

private:
    void refill(time_point now);

    call_budget_settings settings_;
    double tokens_;
    time_point refilled_{};
    std::array<call_counters, call_purpose_count> counters_{};
};

} // namespace primrosedeal::external
