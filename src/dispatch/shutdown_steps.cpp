#include "dispatch/shutdown_steps.hpp"

namespace primrosedeal::dispatch
{

auto next_shutdown_step(shutdown_view const& view, time_point now)
    -> shutdown_step
{
    if (now >= view.started_at + view.grace - exit_margin)
    {
        return exit_process{};
    }
    auto const drained = now >= view.started_at + balancer_drain_delay;
    auto const unused = drained && view.connections == 0 &&
                        view.open_requests == 0 && view.open_tunnels == 0;
    // Connections accepted at the last moment still have time to be refused.
    auto const last_accept = final_answer_time(view.started_at, view.grace);
    if (view.accepting && (unused || now >= last_accept))
    {
        return stop_accepting{};
    }
    if (unused)
    {
        return exit_process{};
    }
    if (now >= view.started_at + view.grace - grace_margin)
    {
        return end_connections{};
    }
    if (drained)
    {
        return end_idle_connections{};
    }
    return keep_connections{};
}

} // namespace primrosedeal::dispatch
