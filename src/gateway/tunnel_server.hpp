#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "http1/tunnel.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

/// Passes the bytes of other hosts on to targets that these cannot reach: the
/// helper's end of a tunnel (http1/tunnel.hpp). It decides nothing on a
/// request, and connects only to listed targets and never through a third
/// host.
namespace primrosedeal::gateway
{

struct tunnel_limits
{
    /// Time for the head of a CONNECT.
    duration head_timeout = 1s;
    /// Hosts wait at least this long for their tunnel.
    duration connect_timeout = 130ms;
    /// A tunnel without a byte in either direction is closed after it.
    duration idle_timeout = 60s;
    /// A leased tunnel without a byte from its host is closed after it. Hosts
    /// count on `http1::lease_duration` at most.
    duration lease = http1::lease_duration;
    /// Time for the host to take the last bytes of a tunnel.
    duration linger = 2s;
    /// Bytes that are read from one end before the other end has taken them.
    std::size_t buffer = std::size_t{64} << 10U;
    /// Connections of hosts, with those that have not sent their head.
    std::size_t connections = 256;
};

/// Bytes that a tunnel has passed on.
struct tunnel_traffic
{
    std::uint64_t to_target = 0;
    std::uint64_t to_host = 0;
};

/// What ended an open tunnel.
enum class tunnel_end
{
    /// The target ended its stream, and all of it was sent to the host.
    target_closed,
    target_failed,
    host_closed,
    /// The host did not renew its lease.
    host_silent,
    /// What the host sent is not in frames.
    host_failed,
    /// No byte in either direction for `idle_timeout`.
    idle,
    /// This host ends.
    stopped,
};

auto to_string(tunnel_end it) -> std::string_view;

struct tunnel_summary
{
    tunnel_traffic bytes;
    tunnel_end why = tunnel_end::stopped;
    /// Time since the last byte from the host, or since the tunnel was opened.
    duration host_silence{};
};

/// None may destroy the server.
struct tunnel_events
{
    /// The address of a listed target.
    std::function<std::optional<net::endpoint>(target_id const&)> lookup;
    /// Whether one more tunnel may be opened. Each `true` is followed by one
    /// `on_closed`.
    std::function<bool()> admit;
    std::function<void()> on_closed;
    std::function<void(target_id const&)> on_opened;
    std::function<void(target_id const&, http1::tunnel_refusal)> on_refused;
    /// The end of a tunnel that was opened.
    std::function<void(target_id const&, tunnel_summary const&)> on_ended;
};

class tunnel_server
{
public:
    tunnel_server(net::event_loop& loop, tunnel_limits limits,
                  tunnel_events events);
    tunnel_server(tunnel_server const&) = delete;
    auto operator=(tunnel_server const&) -> tunnel_server& = delete;
    ~tunnel_server();

    /// Returns the port. Throws std::runtime_error with the address if
    /// listening fails.
    auto listen(net::endpoint const& at) -> std::uint16_t;

    /// Bytes a second of all tunnels together, in each direction; zero: no
    /// limit. Call before the first tunnel.
    void limit_rate(double bytes_per_second);

    /// Tunnels that are open or wait for their target.
    [[nodiscard]] auto open() const -> std::size_t;

    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::gateway
