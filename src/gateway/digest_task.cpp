#include "gateway/digest_task.hpp"

#include "gateway/crash_events.hpp"
#include "gateway/relay.hpp"
#include "gateway/request_limit_events.hpp"
#include "log/log.hpp"

#include <chrono>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Increases with each start of a host, unless its clock was set back; then its
/// digests are accepted once those of the earlier process have expired.
auto new_incarnation() -> incarnation
{
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())};
}

} // namespace

digest_task::digest_task(host_state& host, peer_exchange const& peers,
                         digest_task_events events)
    : host_(host), peers_(peers), events_(std::move(events)),
      exchange_(
          host.loop,
          [this](fleet::digest const& it)
          { on_digest(it, net::event_loop::now()); },
          [this](quarantine::report const& it)
          { on_evidence(host_, it, net::event_loop::now()); }),
      incarnation_(new_incarnation()),
      sender_(host.settings.link_bytes_per_second)
{
}

void digest_task::start()
{
    exchange_.open(host_.settings.digests);
    send(net::event_loop::now());
}

void digest_task::on_digest(fleet::digest const& it, time_point now)
{
    auto const heard_before = host_.other_hosts.live_hosts();
    if (it.host == host_.settings.host || !host_.other_hosts.apply(it, now))
    {
        return;
    }
    on_prefill_changes(host_, it.host, now);
    if (host_.other_hosts.live_hosts() > heard_before)
    {
        log::write(
            log::level::info, "host_heard",
            {{"peer", it.host.value()},
             {"hosts_heard", std::to_string(host_.other_hosts.live_hosts())}});
    }
    on_evidence(host_, it.evidence, now);
    for (auto const& limit : it.limits)
    {
        if (host_.limits.merge(limit, now))
        {
            on_limit_changed(host_, limit.target, limit.state.limit, "peer");
        }
    }
    for (auto const& limit : it.rejection_limits)
    {
        if (host_.rejection_limits.merge(limit, now))
        {
            on_rejection_limit_changed(host_, limit.target, limit.state.limit,
                                       "peer");
        }
    }
    for (auto const& each : it.rejections)
    {
        host_.rejections.merge(it.host, each);
    }
    host_.rollouts.merge(it.host, it.rollouts, now);
    for (auto const& each : it.origins)
    {
        host_.origins.merge(each, now);
    }
    for (auto const& id : it.replaced)
    {
        events_.on_replaced(id, now);
    }
    auto const all = host_.relays;
    for (auto const& id : it.lost)
    {
        host_.detector.hint(id, now);
        host_.reported_losses.record(id, it.host, now);
        check_unresolved_runs(host_, id, now);
        for (auto const& [key, relay] : all)
        {
            relay->on_target_suspected(id);
        }
    }
}

void digest_task::send(time_point now)
{
    update_receivers();
    auto own = fleet::own_state{};
    own.make_digest = [&]
    {
        return make_digest(now);
    };
    auto const in_contact = events_.store_contact(now).has_value();
    if (std::exchange(reported_contact_, in_contact) != in_contact)
    {
        ++state_changes_;
    }
    auto unreachable = host_.paths.unreachable_services();
    if (unreachable != reported_unreachable_)
    {
        reported_unreachable_ = std::move(unreachable);
        ++state_changes_;
    }
    auto const configuration = events_.configuration();
    if (configuration && reported_configuration_ < configuration->version)
    {
        reported_configuration_ = configuration->version;
        ++state_changes_;
    }
    own.changes = host_.loads.change_count() + host_.rollouts.change_count() +
                  state_changes_;
    own.lost = std::exchange(host_.newly_lost, {});
    own.replaced = std::exchange(host_.newly_replaced, {});
    own.receivers = receivers_;
    for (auto const& it : sender_.next(own, host_.quarantine, host_.other_hosts,
                                       host_.random, now))
    {
        for (auto const& id : it.to)
        {
            // All hosts receive datagrams on the same port.
            exchange_.send(it.bytes, {peers_.known_peers().at(id).address,
                                      host_.settings.digests.port});
        }
    }
    timer_ = host_.loop.after(fleet::min_digest_period,
                              [this] { send(net::event_loop::now()); });
}

auto digest_task::make_digest(time_point now) const -> fleet::digest
{
    auto out = fleet::digest{};
    out.host = host_.settings.host;
    out.domain = host_.settings.domain;
    out.process_start = incarnation_;
    out.loads = host_.loads.all();
    out.counts = host_.request_counts.totals();
    out.store_contact = events_.store_contact(now);
    out.limits = host_.limits.report(now);
    out.origins = host_.origins.report(now);
    out.unreachable_services = host_.paths.unreachable_services();
    out.rejection_limits = host_.rejection_limits.report(now);
    out.rejections = host_.rejections.report(now);
    out.configuration = events_.configuration();
    out.rollouts = host_.rollouts.reports(now);
    return out;
}

void digest_task::update_receivers()
{
    if (receivers_as_of_ == peers_.peer_changes())
    {
        return;
    }
    receivers_as_of_ = peers_.peer_changes();
    receivers_.clear();
    for (auto const& [id, at] : peers_.known_peers())
    {
        if (id != host_.settings.host)
        {
            receivers_.push_back(id);
        }
    }
}

} // namespace primrosedeal::gateway
