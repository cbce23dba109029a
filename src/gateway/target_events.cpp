#include "gateway/target_events.hpp"

#include "gateway/crash_events.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <string>

namespace primrosedeal::gateway
{

namespace
{

/// What the change says of runs that ended unanswered at the target, or at an
/// earlier one in its place.
void settle_runs(host_state& host, directory::change const& it, time_point now)
{
    switch (it.to)
    {
    case directory::change_kind::added:
    case directory::change_kind::returned:
        if (auto const* const target = host.targets.find(it.id))
        {
            on_target_listed(host, *target, now);
        }
        return;
    case directory::change_kind::leaving:
        host.unresolved_runs.on_leaving(it.id);
        return;
    case directory::change_kind::gone:
        check_unresolved_runs(host, it.id, now);
        return;
    case directory::change_kind::lapsed:
        return;
    }
}

/// Streams that have their copy at `gone` need a replacement.
void notify_relays(host_state& host, target_id const& gone, time_point now)
{
    // A notified relay may end, which changes the map.
    auto const all = host.relays;
    for (auto const& [key, it] : all)
    {
        it->on_target_lost(gone, now);
    }
}

} // namespace

void on_targets_changed(host_state& host,
                        std::span<directory::change const> changes,
                        bool store_in_contact, time_point now)
{
    for (auto const& it : changes)
    {
        host.metrics.target_changed(to_string(it.to));
        log::write(log::level::info, "target_changed",
                   {{"target", it.id.value()},
                    {"to", std::string{to_string(it.to)}},
                    {"store_in_contact", store_in_contact ? "true" : "false"}});
        settle_runs(host, it, now);
        if (it.to == directory::change_kind::gone)
        {
            host.remove_target(it.id);
            notify_relays(host, it.id, now);
        }
    }
}

void on_target_leaving(host_state& host, directory::listed_target const& target,
                       time_point now)
{
    auto const changes = host.targets.handle(
        directory::target_leaving{target.id, target.process_start}, now);
    if (!changes.empty())
    {
        log::write(
            log::level::info, "target_states_leaving",
            {{"target", target.id.value()},
             {"list_is_current", host.list_is_current ? "true" : "false"}});
    }
    on_targets_changed(host, changes, host.list_is_current, now);
}

} // namespace primrosedeal::gateway
