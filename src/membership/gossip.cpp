#include "membership/gossip.hpp"

#include "membership/neighbours.hpp"

#include <algorithm>
#include <utility>

// Each host keeps links to a few neighbours (neighbours.hpp) and forwards every
// new record once over each link, except to its sender. Links are reliable
// streams; records lost with a broken link are repaired by digests, exchanged
// when a link comes up and periodically afterwards. The traffic of a host
// therefore grows with the rate of changes in the fleet, not with the square of
// the number of hosts.
//
// This file handles incoming messages and records; gossip_links.cpp manages
// links, probes and outgoing messages.
namespace primrosedeal::membership
{

gossip::gossip(member self, gossip_settings settings, time_point now)
    : self_(std::move(self)), settings_(std::move(settings)),
      store_(settings_.store), last_tick_(now)
{
    store_.put(to_record(self_), now);
}

auto gossip::handle(event const& it, time_point now, random_source& random)
    -> std::vector<action>
{
    now_ = now;
    random_ = &random;
    std::visit([this](auto const& e) { on(e); }, it);
    random_ = nullptr;
    return std::exchange(out_, {});
}

auto gossip::members() const -> std::vector<member>
{
    auto all = std::vector<member>{self_};
    for (auto const& [id, it] : members_)
    {
        all.push_back(it);
    }
    std::sort(all.begin(), all.end(),
              [](member const& a, member const& b) { return a.id < b.id; });
    return all;
}

void gossip::on(received const& it)
{
    auto const found = links_.find(it.from);
    if (found == links_.end() || !found->second.up)
    {
        return;
    }
    on_message_from(it.from);
    for (auto const& record : it.content.records)
    {
        accept(record, it.from);
    }
    dispatch(it);
}

/// If `peer` is recorded as suspect or dead, its own record is sent to it, so
/// that it refutes the state under a new incarnation.
void gossip::on_message_from(host_id const& peer)
{
    reset_silence(links_.at(peer).probing, now_);
    auto const known = members_.find(peer);
    if (known != members_.end() && known->second.state != host_state::alive)
    {
        auto const urgent = static_cast<std::size_t>(urgency::urgent);
        links_.at(peer).pending.at(urgent).insert(
            {topic::member, peer.value()});
    }
    for (auto& probe : delegated_probes_)
    {
        if (probe.subject == peer && probe.pinged)
        {
            send_to(probe.requester, {message_kind::probe_answered, self_.start,
                                      probe.request_id, peer});
        }
    }
    std::erase_if(delegated_probes_, [&](delegated_probe const& probe)
                  { return probe.subject == peer && probe.pinged; });
}

void gossip::dispatch(received const& it)
{
    switch (it.content.kind)
    {
    case message_kind::ping:
        send_to(it.from,
                {message_kind::ack, self_.start, it.content.request_id});
        break;
    case message_kind::probe_request:
        start_delegated_probe(it);
        break;
    case message_kind::probe_answered:
    case message_kind::probe_unanswered:
    {
        auto const found = links_.find(it.content.subject);
        if (found == links_.end() ||
            found->second.probing.request_id != it.content.request_id)
        {
            break;
        }
        auto& probing = found->second.probing;
        auto const answered = it.content.kind == message_kind::probe_answered;
        probing.confirmed_alive = probing.confirmed_alive || answered;
        probing.unanswered_reports += answered ? 0 : 1;
        break;
    }
    case message_kind::digest:
    case message_kind::digest_reply:
        compare_digest(it);
        break;
    case message_kind::push:
    case message_kind::ack:
        break;
    }
}

void gossip::compare_digest(received const& it)
{
    if (!it.content.summary || *it.content.summary == store_.summary())
    {
        return;
    }
    auto& pending = links_.at(it.from).pending;
    auto const normal = static_cast<std::size_t>(urgency::normal);
    for (auto const& key : store_.keys_differing_from(*it.content.summary))
    {
        pending.at(normal).insert(key);
    }
    if (it.content.kind == message_kind::digest)
    {
        auto reply = message{message_kind::digest_reply, self_.start};
        reply.summary = store_.summary();
        send_to(it.from, std::move(reply));
    }
}

void gossip::accept(record const& it, host_id const& from)
{
    auto const held = store_.version(it.key);
    if (held && it.version >= *held)
    {
        for (auto& keys : links_.at(from).pending)
        {
            keys.erase(it.key);
        }
    }
    if (it.key.topic == topic::member)
    {
        accept_member(it, from);
    }
    else if (it.key.name.empty())
    {
        ++counters_.records_malformed;
    }
    else
    {
        store_and_spread(it, from);
    }
}

void gossip::accept_member(record const& it, host_id const& from)
{
    constexpr auto largest = std::uint64_t{1} << 62U;
    auto const parsed = to_member(it);
    if (!parsed || it.version.epoch > largest)
    {
        ++counters_.records_malformed;
        return;
    }
    if (parsed->id != self_.id)
    {
        // The receiver decides how long it retains a member, not the sender.
        auto adjusted = it;
        adjusted.urgency = urgency::urgent;
        adjusted.lifetime = to_record(*parsed).lifetime;
        store_and_spread(adjusted, from);
        return;
    }
    auto const own = to_record(self_).version;
    if (!has_left_ && it.version > own)
    {
        refute(parsed->start);
    }
}

void gossip::refute(incarnation reported)
{
    self_.start = incarnation{reported.value() + 1};
    ++counters_.refutations;
    out_.emplace_back(new_incarnation{self_.start});
    store_and_spread(to_record(self_), self_.id);
}

void gossip::store_and_spread(record const& it, host_id const& from)
{
    if (!store_.put(it, now_))
    {
        return;
    }
    ++counters_.records_accepted;
    spread(it, from);
    if (it.key.topic != topic::member)
    {
        out_.emplace_back(deliver{it, from});
        return;
    }
    auto const changed = to_member(it);
    if (!changed || changed->id == self_.id)
    {
        return;
    }
    auto const known = members_.find(changed->id);
    auto const is_new = known == members_.end();
    links_outdated_ = links_outdated_ || is_new ||
                      changed->state == host_state::dead ||
                      known->second.state == host_state::dead ||
                      known->second.domain != changed->domain;
    members_[changed->id] = *changed;
    out_.emplace_back(member_changed{*changed});
}

void gossip::spread(record const& it, host_id const& except)
{
    constexpr auto bulk_links = std::size_t{3};
    auto to = up_links();
    std::erase(to, except);
    if (it.urgency == urgency::bulk && to.size() > bulk_links)
    {
        to = shuffled(std::move(to));
        to.resize(bulk_links);
    }
    auto const level = static_cast<std::size_t>(it.urgency);
    for (auto const& peer : to)
    {
        links_.at(peer).pending.at(level).insert(it.key);
    }
}

void gossip::declare(host_id const& peer, host_state state)
{
    auto const known = members_.find(peer);
    if (known == members_.end() || known->second.state >= state)
    {
        return;
    }
    ++(state == host_state::dead ? counters_.deaths_declared
                                 : counters_.suspicions);
    auto changed = known->second;
    changed.state = state;
    store_and_spread(to_record(changed), self_.id);
}

void gossip::on(hosts_listed const& it)
{
    for (auto host : it.hosts)
    {
        host.start = {};
        host.state = host_state::alive;
        if (host.id != self_.id && !members_.contains(host.id))
        {
            store_and_spread(to_record(host), self_.id);
        }
    }
}

void gossip::on(publish const& it)
{
    if (it.update.key.topic == topic::member || it.update.key.name.empty() ||
        it.update.key.name.size() > max_key_bytes ||
        it.update.payload.size() > max_payload_bytes)
    {
        ++counters_.records_malformed;
        return;
    }
    store_and_spread(it.update, self_.id);
}

void gossip::on(leave const&)
{
    has_left_ = true;
    self_.state = host_state::dead;
    store_and_spread(to_record(self_), self_.id);
    next_flush_.fill(now_);
    flush();
}

} // namespace primrosedeal::membership
