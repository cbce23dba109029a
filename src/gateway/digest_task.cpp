#include "gateway/digest_task.hpp"

#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <chrono>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

/// Interval of digests while there is news, and the longest interval. Prefill
/// takes about a second, so the short one keeps the hosts' views close.
constexpr auto digest_period = duration{20ms};
constexpr auto longest_digest_period = duration{1s};

/// Larger for each start of a host, unless its clock was set back; then its
/// digests are taken once the earlier ones have expired.
auto this_start() -> incarnation
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
      start_(this_start())
{
}

void digest_task::start()
{
    exchange_.open(host_.settings.digests);
    send(net::event_loop::now());
}

void digest_task::on_digest(fleet::digest const& it, time_point now)
{
    auto const heard = host_.others.live_hosts();
    if (it.host == host_.settings.host || !host_.others.apply(it, now))
    {
        return;
    }
    if (host_.others.live_hosts() > heard)
    {
        log::write(
            log::level::info, "host_heard",
            {{"peer", it.host.value()},
             {"hosts_heard", std::to_string(host_.others.live_hosts())}});
    }
    for (auto const& id : it.replaced)
    {
        events_.on_replaced(id, now);
    }
    auto const all = host_.relays;
    for (auto const& id : it.lost)
    {
        host_.doubts.hint(id, now);
        for (auto const& [key, relay] : all)
        {
            relay->on_target_in_doubt(id);
        }
    }
}

void digest_task::send(time_point now)
{
    auto const news = host_.loads.change_count() != told_changes_ ||
                      !host_.just_lost.empty() || !host_.just_replaced.empty();
    if (news || now - told_at_ >= longest_digest_period)
    {
        told_changes_ = host_.loads.change_count();
        told_at_ = now;
        exchange_.send(own(now), receivers());
    }
    timer_ = host_.loop.after(digest_period,
                              [this] { send(net::event_loop::now()); });
}

auto digest_task::own(time_point now) -> fleet::digest
{
    auto out = fleet::digest{};
    out.host = host_.settings.host;
    out.domain = host_.settings.domain;
    out.process_start = start_;
    out.sequence = ++sequence_;
    out.loads = host_.loads.all();
    out.counts = host_.counts.totals();
    out.lost = std::exchange(host_.just_lost, {});
    out.replaced = std::exchange(host_.just_replaced, {});
    out.store_contact = events_.store_contact(now);
    return out;
}

/// Every host takes digests at the same port.
auto digest_task::receivers() const -> std::set<net::endpoint>
{
    auto out = std::set<net::endpoint>{};
    for (auto const& [id, at] : peers_.known())
    {
        if (id != host_.settings.host)
        {
            out.insert({at.address, host_.settings.digests.port});
        }
    }
    return out;
}

} // namespace primrosedeal::gateway
