#pragma once

#include "core/units.hpp"

#include <cstddef>

/// Bounds what a host spends on tunnels of other hosts.
///
/// Load pattern: half of a failure domain's hosts send all their requests
/// through the other half, in bursts, while these hosts serve their own callers
/// at full load. Tunnels take what own callers leave: none is opened while the
/// event loop is late or the link is busy, and at most an eighth of a core and
/// of the link goes to them. A host whose tunnel is refused tries another one.
namespace primrosedeal::reachability
{

/// Open tunnels of a host, which take two file descriptors each.
constexpr auto max_open_tunnels = std::size_t{128};

/// Processor time that is assumed for a tunnel: two connections, the request
/// and the bytes of a usual answer.
constexpr auto tunnel_processor_time = duration{500us};

/// Fraction of a core and of the link that tunnels may use.
constexpr auto tunnel_fraction = 0.125;

/// New tunnels a second.
constexpr auto max_tunnel_rate =
    tunnel_fraction / (static_cast<double>(tunnel_processor_time.count()) /
                       static_cast<double>(duration{1s}.count()));

/// Time for which unused rate is saved up.
constexpr auto tunnel_burst_time = duration{100ms};

/// Delay of the event loop beyond which no tunnel is opened.
constexpr auto max_loop_delay = duration{50ms};

class tunnel_limit
{
public:
    /// Zero: unknown.
    explicit tunnel_limit(double link_bytes_per_second);

    /// What the host's own callers take.
    struct own_work
    {
        duration loop_delay{};
        bool link_busy = false;
        bool leaving = false;
    };

    /// Whether to open a tunnel; if so, it counts as open until `closed`.
    auto admit(own_work const& work, time_point now) -> bool;

    /// An admitted tunnel was closed.
    void closed();

    [[nodiscard]] auto open() const -> std::size_t
    {
        return open_;
    }

    /// For all tunnels together; zero: without a bound.
    [[nodiscard]] auto bytes_per_second() const -> double;

private:
    void refill(time_point now);

    double link_;
    std::size_t open_ = 0;
    /// Tunnels that may be opened now.
    double permits_;
    time_point refilled_at_{};
};

} // namespace primrosedeal::reachability
