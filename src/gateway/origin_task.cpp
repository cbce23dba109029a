#include "gateway/origin_task.hpp"

#include "fleet/origin_message.hpp"
#include "log/log.hpp"
#include "stream_origin/service_choice.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace primrosedeal::gateway
{

namespace
{

/// Time after which no other host is expected to know the streams that began
/// before this one started.
constexpr auto fetch_time = duration{5s};

/// Time between two writes to the store, whose rate of writes many hosts share.
constexpr auto min_write_period = duration{500ms};
constexpr auto write_slot = duration{50ms};

/// Time in which hosts that start together have heard each other, so that one
/// of them writes.
constexpr auto time_to_hear_others = duration{1500ms};

auto write_period(std::size_t hosts) -> duration
{
    return std::max(min_write_period,
                    static_cast<duration::rep>(hosts) * write_slot);
}

} // namespace

origin_task::origin_task(host_state& host, peer_exchange& peers,
                         external::key_value_service& store)
    : host_(host), peers_(peers), store_(store)
{
    peers_.set_origin_source(
        [this]
        {
            return fleet::encode({host_.origins_complete, host_.origins.all()},
                                 net::event_loop::now());
        });
}

void origin_task::tick(store_position const& store, time_point now)
{
    started_at_ = started_at_.value_or(now);
    host_.origins.expire(now);
    if (!host_.origins_complete && !fetching_)
    {
        fetch(now);
    }
    if (store.read && now >= next_write_at_ && may_differ_in_origin())
    {
        write(now);
    }
    if (!store.contact)
    {
        host_.served_versions.contact_lost();
    }
    observe(store, now);
    confirm_records(store, now);
    if (store.contact && now - *started_at_ >= time_to_hear_others)
    {
        write_versions(store, now);
    }
}

auto origin_task::may_differ_in_origin() const -> bool
{
    return host_.served_versions.several_recorded() ||
           (host_.table &&
            stream_origin::stream_services(host_.served_versions.all_recorded(),
                                           *host_.table)
                    .size() > 1);
}

auto origin_task::merge(std::string const& bytes, time_point now) -> bool
{
    auto const known = fleet::decode_known_origins(bytes, now);
    if (!known)
    {
        return false;
    }
    for (auto const& it : known->origins)
    {
        host_.origins.merge(it, now);
    }
    return known->complete;
}

void origin_task::adopt(versions_entry const& it)
{
    auto const versions =
        it.bytes ? stream_origin::decode_versions(*it.bytes) : std::nullopt;
    if (it.bytes && !versions)
    {
        log::write(log::level::warning, "versions_unreadable",
                   {{"service", it.service.value()}});
    }
    host_.served_versions.apply(it.service, versions);
}

void origin_task::adopt(confirmation_entry const& it)
{
    host_.record_confirmation.apply(it.era);
}

void origin_task::observe(store_position const& store, time_point now)
{
    auto it = stream_origin::record_view{};
    it.era = store.era;
    it.contact = store.contact;
    it.complete = store.read && store.contact &&
                  host_.served_versions.complete(host_.targets.versions(), now);
    it.hosts_ahead =
        host_.other_hosts.hosts_in_contact_before(host_.settings.host);
    host_.record_confirmation.observe(it, now);
}

void origin_task::confirm_records(store_position const& store, time_point now)
{
    auto const era = host_.record_confirmation.next_write(now);
    if (!era)
    {
        return;
    }
    auto const key = host_.wire.confirmation_key();
    auto it = external::transaction{};
    it.conditions.emplace_back(
        external::unchanged_since{key, store.written_at(key)});
    it.then.emplace_back(external::put{key, host_.wire.write_confirmation(*era),
                                       external::lease_id{0}});
    log::write(log::level::info, "versions_confirmed",
               {{"era", std::to_string(era->value())}});
    commit(it, "confirmation");
}

void origin_task::on_store_restored(time_point now)
{
    host_.served_versions.store_restored();
    written_at_ = {};
    // All hosts learn of it at about the same time.
    next_write_at_ =
        now + std::chrono::duration_cast<duration>(
                  write_period(host_.known_host_count) * host_.random.unit());
}

void origin_task::fetch(time_point now)
{
    wanted_since_ = wanted_since_.value_or(now);
    if (now - *wanted_since_ > fetch_time)
    {
        on_complete("none");
        return;
    }
    auto const peers = host_.other_hosts.host_ids();
    if (peers.empty())
    {
        return;
    }
    fetching_ = true;
    auto const& from = peers[host_.random.below(peers.size())];
    peers_.fetch_origins(from,
                         [this, from](std::optional<std::string> const& bytes)
                         { on_fetched(from, bytes, net::event_loop::now()); });
}

void origin_task::on_fetched(host_id const& from,
                             std::optional<std::string> const& bytes,
                             time_point now)
{
    fetching_ = false;
    if (bytes && merge(*bytes, now))
    {
        on_complete(from.value());
    }
}

void origin_task::on_complete(std::string const& from)
{
    host_.origins_complete = true;
    log::write(
        log::level::info, "stream_origins_known",
        {{"from", from}, {"streams", std::to_string(host_.origins.size())}});
}

void origin_task::write(time_point now)
{
    auto const own = host_.origins.report(now, stream_origin::stored_lifetime);
    if (own.empty() || own.front().recorded_at <= written_at_)
    {
        return;
    }
    next_write_at_ = now + write_period(host_.known_host_count);
    written_at_ = now;
    auto it = external::transaction{};
    it.then.emplace_back(
        external::put{host_.wire.origins_key(host_.settings.host),
                      fleet::encode({true, own}, now), external::lease_id{0}});
    commit(it, "origins");
}

void origin_task::write_versions(store_position const& store, time_point now)
{
    auto const next = host_.served_versions.next_write(
        host_.targets.versions(),
        host_.other_hosts.hosts_in_contact_before(host_.settings.host), now);
    if (!next)
    {
        return;
    }
    auto const key = host_.wire.versions_key(next->service);
    auto it = external::transaction{};
    it.conditions.emplace_back(
        external::unchanged_since{key, store.written_at(key)});
    it.then.emplace_back(external::put{
        key, stream_origin::encode(next->versions), external::lease_id{0}});
    log::write(log::level::info, "versions_recorded",
               {{"service", next->service.value()},
                {"versions", std::to_string(next->versions.size())}});
    commit(it, "versions");
}

void origin_task::commit(external::transaction const& it,
                         std::string const& what)
{
    store_.commit(
        external::call_purpose::version_write, it,
        [what](external::answer<external::transaction_result> const& result)
        {
            // Later writes repeat what this one had. If the condition failed,
            // another host was first, and its entry arrives.
            if (auto const* const why =
                    std::get_if<external::call_failure>(&result))
            {
                log::write(log::level::warning, "record_not_stored",
                           {{"what", what}, {"why", why->text}});
            }
        });
}

} // namespace primrosedeal::gateway
