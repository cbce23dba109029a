#include "gateway/digest_task.hpp"

#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <chrono>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Intervals between digests while something changes and while nothing does.
/// Prefill takes about a second, so the short interval keeps the hosts' views
/// of each other's load close to the current state.
constexpr auto min_digest_period = duration{20ms};
constexpr auto max_digest_period = duration{1s};

/// Digests that carry new evidence on prompt parts, since datagrams get lost.
constexpr auto evidence_repeats = 4U;
/// Interval at which known evidence is sent again, for hosts that have missed
/// it. In larger fleets it is longer, so that each host receives as many
/// repetitions as in one of `evidence_refresh_hosts`.
constexpr auto evidence_refresh_period = duration{1s};
constexpr auto evidence_refresh_hosts = std::size_t{8};

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
      exchange_(host.loop, [this](fleet::digest const& it)
                { on_digest(it, net::event_loop::now()); }),
      incarnation_(new_incarnation())
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
    if (host_.other_hosts.live_hosts() > heard_before)
    {
        log::write(
            log::level::info, "host_heard",
            {{"peer", it.host.value()},
             {"hosts_heard", std::to_string(host_.other_hosts.live_hosts())}});
    }
    host_.quarantine.merge(it.evidence, now);
    for (auto const& id : it.replaced)
    {
        events_.on_replaced(id, now);
    }
    auto const all = host_.relays;
    for (auto const& id : it.lost)
    {
        host_.detector.hint(id, now);
        for (auto const& [key, relay] : all)
        {
            relay->on_target_suspected(id);
        }
    }
}

void digest_task::send(time_point now)
{
    auto const has_changes =
        host_.loads.change_count() != sent_changes_ ||
        host_.quarantine.change_count() != sent_evidence_ ||
        !host_.newly_lost.empty() || !host_.newly_replaced.empty();
    if (has_changes || now - sent_at_ >= max_digest_period)
    {
        sent_changes_ = host_.loads.change_count();
        sent_at_ = now;
        exchange_.send(make_digest(now), receivers());
    }
    timer_ = host_.loop.after(min_digest_period,
                              [this] { send(net::event_loop::now()); });
}

auto digest_task::make_digest(time_point now) -> fleet::digest
{
    auto out = fleet::digest{};
    out.host = host_.settings.host;
    out.domain = host_.settings.domain;
    out.process_start = incarnation_;
    out.sequence = ++sequence_;
    out.loads = host_.loads.all();
    out.counts = host_.request_counts.totals();
    out.lost = std::exchange(host_.newly_lost, {});
    out.replaced = std::exchange(host_.newly_replaced, {});
    out.store_contact = events_.store_contact(now);
    out.evidence = due_evidence(now);
    return out;
}

auto digest_task::due_evidence(time_point now) -> quarantine::report
{
    if (std::exchange(sent_evidence_, host_.quarantine.change_count()) !=
        host_.quarantine.change_count())
    {
        evidence_repeats_left_ = evidence_repeats;
    }
    auto const hosts = host_.other_hosts.live_hosts() + 1;
    auto const groups =
        (hosts + evidence_refresh_hosts - 1) / evidence_refresh_hosts;
    auto const period =
        evidence_refresh_period * static_cast<duration::rep>(groups);
    if (evidence_repeats_left_ == 0 && now - evidence_sent_at_ < period)
    {
        return {};
    }
    evidence_repeats_left_ -= evidence_repeats_left_ > 0 ? 1 : 0;
    evidence_sent_at_ = now;
    return host_.quarantine.make_report(now);
}

/// All hosts receive digests on the same port.
auto digest_task::receivers() const -> std::set<net::endpoint>
{
    auto out = std::set<net::endpoint>{};
    for (auto const& [id, at] : peers_.known_peers())
    {
        if (id != host_.settings.host)
        {
            out.insert({at.address, host_.settings.digests.port});
        }
    }
    return out;
}

} // namespace primrosedeal::gateway
