#include "membership/gossip.hpp"

#include "membership/neighbours.hpp"

#include <algorithm>
#include <utility>

// Each host keeps links with a few neighbours (neighbours.hpp) and sends every
// new record once over each of them, but to whom it came from. Links are
// reliable streams; what a broken one lost is repaired by digests, exchanged
// when a link comes up and now and then after. So the bytes of a host grow
// with the changes in the fleet, not with its hosts times themselves.
//
// This file takes in messages and records; gossip_links.cpp decides on links,
// probes and what goes out.
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
    std::visit([this](auto const& e) { take(e); }, it);
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

void gossip::take(received const& it)
{
    auto const found = links_.find(it.from);
    if (found == links_.end() || !found->second.up)
    {
        return;
    }
    heard_from(it.from);
    for (auto const& record : it.it.records)
    {
        accept(record, it.from);
    }
    answer(it);
}

/// A host that is held for dead and speaks is told so, and takes a new
/// incarnation.
void gossip::heard_from(host_id const& peer)
{
    heard(links_.at(peer).probing, now_);
    auto const known = members_.find(peer);
    if (known != members_.end() && known->second.state != host_state::alive)
    {
        auto const urgent = static_cast<std::size_t>(urgency::urgent);
        links_.at(peer).pending.at(urgent).insert(
            {topic::member, peer.value()});
    }
    for (auto& errand : errands_)
    {
        if (errand.subject == peer && errand.pinged)
        {
            send_to(errand.requester, {message_kind::probe_answered,
                                       self_.start, errand.number, peer});
        }
    }
    std::erase_if(errands_, [&](probe_errand const& errand)
                  { return errand.subject == peer && errand.pinged; });
}

void gossip::answer(received const& it)
{
    switch (it.it.kind)
    {
    case message_kind::ping:
        send_to(it.from, {message_kind::ack, self_.start, it.it.number});
        break;
    case message_kind::probe_request:
        start_errand(it);
        break;
    case message_kind::probe_answered:
    case message_kind::probe_unanswered:
    {
        auto const found = links_.find(it.it.subject);
        if (found == links_.end() ||
            found->second.probing.number != it.it.number)
        {
            break;
        }
        auto& probing = found->second.probing;
        auto const answered = it.it.kind == message_kind::probe_answered;
        probing.vouched = probing.vouched || answered;
        probing.unanswered += answered ? 0 : 1;
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
    if (!it.it.summary || *it.it.summary == store_.summary())
    {
        return;
    }
    auto& pending = links_.at(it.from).pending;
    auto const normal = static_cast<std::size_t>(urgency::normal);
    for (auto const& key : store_.differing(*it.it.summary))
    {
        pending.at(normal).insert(key);
    }
    if (it.it.kind == message_kind::digest)
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
    auto const heard_of = to_member(it);
    if (!heard_of || it.version.epoch > largest)
    {
        ++counters_.records_malformed;
        return;
    }
    if (heard_of->id != self_.id)
    {
        // How long a member is kept is for this host to say.
        auto kept = it;
        kept.urgency = urgency::urgent;
        kept.lifetime = to_record(*heard_of).lifetime;
        store_and_spread(kept, from);
        return;
    }
    auto const own = to_record(self_).version;
    if (!left_ && it.version > own)
    {
        refute(heard_of->start);
    }
}

void gossip::refute(incarnation heard_of)
{
    self_.start = incarnation{heard_of.value() + 1};
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

void gossip::take(hosts_listed const& it)
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

void gossip::take(publish const& it)
{
    if (it.it.key.topic == topic::member || it.it.key.name.empty() ||
        it.it.key.name.size() > max_key_bytes ||
        it.it.payload.size() > max_payload_bytes)
    {
        ++counters_.records_malformed;
        return;
    }
    store_and_spread(it.it, self_.id);
}

void gossip::take(leave const&)
{
    left_ = true;
    self_.state = host_state::dead;
    store_and_spread(to_record(self_), self_.id);
    next_flush_.fill(now_);
    flush();
}

} // namespace primrosedeal::membership
