#include "reachability/tunnel_limit.hpp"

#include <algorithm>

namespace primrosedeal::reachability
{

namespace
{

constexpr auto max_permits = max_tunnel_rate * to_seconds(tunnel_burst_time);
static_assert(max_permits >= 1);

} // namespace

tunnel_limit::tunnel_limit(double link_bytes_per_second)
    : link_(link_bytes_per_second), permits_(max_permits)
{
}

auto tunnel_limit::admit(own_work const& work, time_point now) -> bool
{
    refill(now);
    if (work.leaving || work.link_busy || work.loop_delay > max_loop_delay ||
        open_ >= max_open_tunnels || permits_ < 1)
    {
        return false;
    }
    permits_ -= 1;
    ++open_;
    return true;
}

void tunnel_limit::closed()
{
    open_ -= open_ > 0 ? 1 : 0;
}

auto tunnel_limit::bytes_per_second() const -> double
{
    return std::max(link_, 0.0) * tunnel_fraction;
}

void tunnel_limit::refill(time_point now)
{
    auto const passed = to_seconds(std::max(now - refilled_at_, duration{}));
    permits_ = std::min(permits_ + passed * max_tunnel_rate, max_permits);
    refilled_at_ = std::max(refilled_at_, now);
}

} // namespace primrosedeal::reachability
