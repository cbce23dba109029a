#pragma once

#include "core/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

/// Detects that the traffic between hosts takes much of this host's link, and
/// that its event loop runs late.
///
/// Load pattern: hosts send their state to all others, so the traffic grows
/// with the number of hosts and with what changes. On a link of 10 Mbit/s it
/// can delay connections to targets until they time out, which looks like the
/// failure of those targets.
namespace primrosedeal::gateway
{

enum class traffic_class
{
    /// Datagrams with loads, counts and evidence.
    digests,
    /// Changes of the store that are forwarded within a failure domain.
    feed,
    /// Copies of the store that a peer requested.
    states,
};

constexpr auto traffic_classes = std::size_t{3};

auto to_string(traffic_class it) -> std::string_view;

/// Bytes of one class, without the headers of lower protocols.
struct traffic_bytes
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Bytes by class since the process started.
class traffic_totals
{
public:
    auto of(traffic_class it) -> traffic_bytes&
    {
        return bytes_.at(static_cast<std::size_t>(it));
    }

    [[nodiscard]] auto of(traffic_class it) const -> traffic_bytes const&
    {
        return bytes_.at(static_cast<std::size_t>(it));
    }

private:
    std::array<traffic_bytes, traffic_classes> bytes_{};
};

/// Fraction of the link, in either direction, that the traffic between hosts
/// may take before it is reported.
constexpr auto reported_link_fraction = 0.2;

/// Delay of the event loop that is reported.
constexpr auto reported_loop_delay = duration{100ms};

/// Period over which both are measured.
constexpr auto link_sample_period = duration{1s};

/// What one period contained.
struct link_sample
{
    duration span{};
    traffic_totals bytes;
    /// Longest delay of a timer.
    duration loop_delay{};
    bool link_busy = false;
    bool loop_late = false;
};

class link_monitor
{
public:
    /// `link` in bytes a second; zero if unknown.
    explicit link_monitor(double link) : link_(link) {}

    /// A timer that was due fired `late`.
    void record_delay(duration late);

    /// Ends a period of at least `link_sample_period`. Returns it if the link
    /// was busy or the loop late, and once after that.
    auto sample(traffic_totals const& totals, time_point now)
        -> std::optional<link_sample>;

private:
    double link_;
    traffic_totals last_;
    time_point since_{};
    duration longest_delay_{};
    bool reported_ = false;
};

} // namespace primrosedeal::gateway
