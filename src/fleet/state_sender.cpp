#include "fleet/state_sender.hpp"

#include "fleet/evidence_message.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

namespace primrosedeal::fleet
{

namespace
{

/// Times for which the budgets are saved up. Digests are spread over time;
/// evidence is rare and urgent.
constexpr auto digest_budget_saving = 2 * min_digest_period;
constexpr auto evidence_budget_saving = duration{1s};

auto same(dispatch::target_load const& a, dispatch::target_load const& b)
    -> bool
{
    return std::tie(a.requests, a.pending_prefill_tokens, a.memory_tokens) ==
           std::tie(b.requests, b.pending_prefill_tokens, b.memory_tokens);
}

/// A few of the hosts that are heard, at random.
auto choose_few(std::span<host_id const> all, fleet_view const& others,
                random_source& random) -> std::vector<host_id>
{
    auto out = std::vector<host_id>{};
    std::copy_if(all.begin(), all.end(), std::back_inserter(out),
                 [&](auto const& it) { return others.latest(it) != nullptr; });
    auto const n = std::min(out.size(), evidence_fanout);
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        std::swap(out[i], out[i + random.below(out.size() - i)]);
    }
    out.resize(n);
    return out;
}

} // namespace

state_sender::state_sender(double link)
    : link_(link),
      digest_budget_(digest_link_fraction * link, digest_budget_saving),
      evidence_budget_(evidence_link_fraction * link, evidence_budget_saving)
{
}

auto state_sender::next(own_state const& own,
                        quarantine::part_quarantine& evidence,
                        fleet_view const& others, random_source& random,
                        time_point now) -> std::vector<outgoing_datagram>
{
    auto out = datagrams{};
    digest_budget_.refill(now);
    evidence_budget_.refill(now);
    add_digests(own, others, now, out);
    auto const plan = evidence_.next(evidence, others.live_hosts() + 1,
                                     evidence_budget_.available(), random, now);
    if (!plan.to_all.empty())
    {
        auto const first = out.size();
        add_evidence(own, plan.to_all, own.receivers, others, now, out);
        for (auto i = first; i < out.size(); ++i)
        {
            evidence_budget_.spend(out[i].bytes.size(), out[i].to.size());
        }
    }
    if (!plan.to_few.empty())
    {
        add_evidence(own, plan.to_few,
                     choose_few(own.receivers, others, random), others, now,
                     out);
    }
    return out;
}

void state_sender::update_receivers(std::span<host_id const> all)
{
    if (std::equal(all.begin(), all.end(), receivers_.begin(), receivers_.end(),
                   [](auto const& id, auto const& it) { return id == it.id; }))
    {
        return;
    }
    auto before = std::map<host_id, receiver>{};
    for (auto& it : receivers_)
    {
        auto const id = it.id;
        before.emplace(id, std::move(it));
    }
    receivers_.clear();
    for (auto const& id : all)
    {
        auto const known = before.find(id);
        if (known != before.end())
        {
            receivers_.push_back(std::move(known->second));
            continue;
        }
        receivers_.emplace_back();
        receivers_.back().id = id;
    }
}

/// Receivers that a digest may go to now, the longest waiting first.
auto state_sender::find_due(own_state const& own, fleet_view const& others,
                            time_point now) -> std::vector<receiver*>
{
    auto out = std::vector<receiver*>{};
    for (auto& it : receivers_)
    {
        if (!it.heard && others.latest(it.id) != nullptr)
        {
            it.heard = true;
            it.due_at = now;
        }
        if (it.heard)
        {
            it.lost.insert(it.lost.end(), own.lost.begin(), own.lost.end());
            it.replaced.insert(it.replaced.end(), own.replaced.begin(),
                               own.replaced.end());
        }
        auto const changed = it.changes != own.changes || !it.lost.empty() ||
                             !it.replaced.empty();
        if ((changed && now >= it.due_at) ||
            now - it.sent_at >= max_digest_period)
        {
            out.push_back(&it);
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](auto const* a, auto const* b)
                     { return a->sent_at < b->sent_at; });
    return out;
}

void state_sender::track_loads(digest const& now_have, time_point now)
{
    for (auto& [id, it] : loads_)
    {
        if (!same(it.load, {}) && !now_have.loads.contains(id))
        {
            it = {{}, now};
        }
    }
    for (auto const& [id, load] : now_have.loads)
    {
        auto const [at, added] =
            loads_.try_emplace(id, tracked_load{load, now});
        if (!added && !same(at->second.load, load))
        {
            at->second = {load, now};
        }
    }
    std::erase_if(loads_,
                  [&](auto const& it)
                  {
                      return same(it.second.load, {}) &&
                             now - it.second.changed_at > host_timeout;
                  });
}

auto state_sender::wants_whole(receiver const& it, digest const* last,
                               time_point now) const -> bool
{
    return last == nullptr || !last->reads_all_forms ||
           last->process_start != it.process_start ||
           now - it.whole_at >= whole_digest_period;
}

auto state_sender::make_partial(digest const& whole, time_point since) const
    -> digest
{
    auto out = whole;
    out.partial = true;
    out.loads.clear();
    for (auto const& [id, it] : loads_)
    {
        if (it.changed_at > since)
        {
            out.loads[id] = it.load;
        }
    }
    std::erase_if(out.limits,
                  [&](auto const& it) { return it.recorded_at <= since; });
    std::erase_if(out.origins,
                  [&](auto const& it) { return it.recorded_at <= since; });
    std::erase_if(out.rejection_limits,
                  [&](auto const& it) { return it.recorded_at <= since; });
    std::erase_if(out.rejections,
                  [&](auto const& it) { return it.last_at <= since; });
    // Datagrams are lost: a change is repeated until the next whole digest.
    if (out.configuration &&
        out.configuration->adopted_at + whole_digest_period <= since)
    {
        out.configuration.reset();
    }
    return out;
}

void state_sender::add_digests(own_state const& own, fleet_view const& others,
                               time_point now, datagrams& out)
{
    update_receivers(own.receivers);
    auto const due = find_due(own, others, now);
    if (due.empty() || !digest_budget_.available())
    {
        return;
    }
    auto const whole = make_digest(own);
    track_loads(whole, now);
    // Receivers that get the same digest share one datagram, by its bound and,
    // for partial ones, the time of the oldest change in it.
    auto shared = std::map<std::pair<std::size_t, time_point>, std::size_t>{};
    for (auto* const it : due)
    {
        if (!digest_budget_.available())
        {
            break;
        }
        auto const* const last = others.latest(it->id);
        it->heard = last != nullptr;
        auto const links =
            link_pair{link_, last == nullptr ? 0 : last->link_bytes_per_second};
        auto const limit = max_paced_digest(receivers_.size(), links);
        auto const is_whole = wants_whole(*it, last, now);
        auto const since = is_whole ? time_point::min() : it->sent_at;
        auto const has_news = !it->lost.empty() || !it->replaced.empty();
        auto const found = shared.find({limit, since});
        auto index = found == shared.end() ? out.size() : found->second;
        if (has_news || found == shared.end())
        {
            auto each = is_whole ? whole : make_partial(whole, since);
            each.sequence = ++sequence_;
            each.lost = std::exchange(it->lost, {});
            each.replaced = std::exchange(it->replaced, {});
            index = out.size();
            out.push_back({encode(each, now, limit), {}});
            if (!has_news)
            {
                shared[{limit, since}] = index;
            }
        }
        auto& to = out[index];
        to.to.push_back(it->id);
        digest_budget_.spend(to.bytes.size(), 1);
        if (is_whole)
        {
            it->whole_at = now;
            it->process_start =
                last == nullptr ? incarnation{} : last->process_start;
        }
        it->sent_at = now;
        it->changes = own.changes;
        it->due_at =
            now + (it->heard ? digest_interval(to.bytes.size(),
                                               receivers_.size(), links)
                             : max_digest_period);
    }
}

void state_sender::add_evidence(own_state const& own,
                                quarantine::report const& it,
                                std::span<host_id const> to,
                                fleet_view const& others, time_point now,
                                datagrams& out)
{
    auto readers = std::vector<host_id>{};
    auto older = std::vector<host_id>{};
    for (auto const& id : to)
    {
        auto const* const last = others.latest(id);
        auto const reads = last != nullptr && last->reads_all_forms;
        (reads ? readers : older).push_back(id);
    }
    if (!older.empty())
    {
        auto whole = make_digest(own);
        whole.evidence = it;
        out.push_back({encode(whole, now), std::move(older)});
    }
    if (!readers.empty())
    {
        for (auto& each : encode_evidence(it, now))
        {
            out.push_back({std::move(each), readers});
        }
    }
}

auto state_sender::make_digest(own_state const& own) -> digest
{
    auto out = own.make_digest();
    out.sequence = ++sequence_;
    out.reads_all_forms = true;
    out.link_bytes_per_second = link_;
    return out;
}

} // namespace primrosedeal::fleet
