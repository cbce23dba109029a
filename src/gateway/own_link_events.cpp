#include "gateway/own_link_events.hpp"

#include "gateway/log_text.hpp"
#include "log/log.hpp"

#include <string>
#include <vector>

namespace primrosedeal::gateway
{

void on_connection_answered(host_state& host, time_point now)
{
    auto const change = host.own_link.answered(now);
    if (change)
    {
        host.metrics.own_link_changed("up");
        log::write(log::level::warning, "own_link_up",
                   {{"timeouts", std::to_string(change->timeouts)},
                    {"down_ms", milliseconds(change->span)}});
    }
}

auto on_connection_timeout(host_state& host,
                           directory::listed_target const& target,
                           time_point begun_at, time_point now) -> bool
{
    auto const change = host.own_link.timed_out(
        target.id, target.domain, begun_at, host.targets.usable_domains(), now);
    if (!change)
    {
        return host.own_link.down();
    }
    for (auto const& it : change->evidence)
    {
        host.detector.withdraw_unreachable(it.target, it.domain, now);
        std::erase(host.newly_lost, it.target);
    }
    host.metrics.own_link_changed("down");
    log::write(log::level::warning, "own_link_down",
               {{"targets", std::to_string(change->targets)},
                {"domains", std::to_string(change->domains)},
                {"timeouts", std::to_string(change->evidence.size())},
                {"span_ms", milliseconds(change->span)},
                {"open_requests", std::to_string(host.relays.size())}});
    return true;
}

} // namespace primrosedeal::gateway
