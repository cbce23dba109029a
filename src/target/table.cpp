#include "target/table.hpp"

#include <algorithm>
#include <utility>

// Leaving is one number for each target: the highest incarnation known to
// leave. It only grows, so marks from the list, from refusals and from peers
// may come late, twice or in any order, and an old copy of the list can add
// to it but never take away. All the rest is this host's own evidence on one
// incarnation and starts afresh with the next.
//
// A change rebuilds the usable targets of its service, O(targets), so that
// reading them for each request costs one look-up.
namespace primrosedeal::target
{

auto to_string(target_state it) -> std::string_view
{
    switch (it)
    {
    case target_state::live:
        return "live";
    case target_state::leaving:
        return "leaving";
    case target_state::suspect:
        return "suspect";
    case target_state::failed:
        return "failed";
    }
    return "failed";
}

namespace
{

constexpr auto is_usable(target_state it) -> bool
{
    return it == target_state::live || it == target_state::suspect;
}

template <class... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};

template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace

auto table::handle(event const& it, time_point now, random_source& random)
    -> std::vector<action>
{
    auto out = actions{};
    std::visit(overloaded{[&](connection_outcome const& e)
                          { take(e, now, random, out); },
                          [&](tick const& e) { take(e, now, random, out); },
                          [&](auto const& e)
                          {
                              take(e, now, out);
                          }},
               it);
    for (auto const& service : std::exchange(changed_, {}))
    {
        rebuild(service);
    }
    std::stable_sort(out.begin(), out.end(),
                     [](action const& a, action const& b)
                     { return a.index() < b.index(); });
    return out;
}

void table::take(list_snapshot const& it, time_point now, actions& out)
{
    auto const old = list_version_ && it.version < *list_version_;
    if (old || it.targets.empty())
    {
        // A list without any target is a faulty copy: believing it would
        // mark the whole fleet for good.
        ++(old ? counters_.old_lists : counters_.empty_lists);
        for (auto const& listed : it.targets)
        {
            if (listed.leaving)
            {
                learn_and_spread({listed.it.id, listed.it.start}, now, out);
            }
        }
        return;
    }
    list_version_ = it.version;
    for (auto const& listed : it.targets)
    {
        take_listed(listed, now, out);
    }
    take_unlisted(it, now, out);
}

void table::take_listed(listed_target const& listed, time_point now,
                        actions& out)
{
    auto const& it = listed.it;
    auto found = entries_.find(it.id);
    if (found == entries_.end())
    {
        if (entries_.size() >= limits_.max_targets)
        {
            ++counters_.dropped_targets;
            return;
        }
        found = entries_.emplace(it.id, entry{it, {}, {}, true, {}}).first;
        found->second.shown = target_state::failed;
    }
    auto& known = found->second;
    if (it.start < known.it.start)
    {
        return;
    }
    if (known.it.start < it.start)
    {
        known.own = {};
        doubted_.erase(it.id);
    }
    if (known.it != it)
    {
        changed_.insert(known.it.service);
        changed_.insert(it.service);
        known.it = it;
    }
    known.listed = true;
    if (listed.leaving)
    {
        learn_and_spread({it.id, it.start}, now, out);
    }
    refresh(known, out);
}

void table::take_unlisted(list_snapshot const& it, time_point now, actions& out)
{
    auto listed = std::set<target_id>{};
    for (auto const& target : it.targets)
    {
        listed.insert(target.it.id);
    }
    for (auto& [id, known] : entries_)
    {
        if (known.listed && !listed.contains(id))
        {
            known.listed = false;
            known.unlisted_at = now;
            learn_and_spread({id, known.it.start}, now, out);
        }
    }
}

void table::take(connection_outcome const& it, time_point now,
                 random_source& random, actions& out)
{
    auto const found = entries_.find(it.id);
    if (found == entries_.end() || found->second.it.start != it.start)
    {
        return;
    }
    auto& known = found->second;
    switch (it.seen)
    {
    case outcome::answered:
    case outcome::probe_answered:
        known.own = {};
        doubted_.erase(it.id);
        break;
    case outcome::refused:
        suspect(known, target_state::failed, now);
        break;
    case outcome::reset:
    case outcome::silent:
        suspect(known, target_state::suspect, now);
        break;
    case outcome::probe_failed:
        probe_failed(known, now, random);
        break;
    }
    refresh(known, out);
}

void table::take(leaving_refusal const& it, time_point now, actions& out)
{
    learn_and_spread({it.id, it.start}, now, out);
}

void table::take(leaving_mark const& it, time_point now, actions& out)
{
    learn_mark(it, now, out);
}

void table::take(tick const&, time_point now, random_source& random,
                 actions& out)
{
    auto sent = std::size_t{0};
    for (auto const& id : doubted_)
    {
        auto& known = entries_.at(id);
        if (has_left(id, known.it.start))
        {
            continue;
        }
        auto& own = known.own;
        if (own.probe_sent && now - *own.probe_sent >= limits_.probe_timeout)
        {
            probe_failed(known, now, random);
            refresh(known, out);
        }
        if (!own.probe_sent && now >= own.next_probe &&
            sent < limits_.max_probes_per_tick)
        {
            own.probe_sent = now;
            out.emplace_back(probe{id, known.it.start, known.it.address});
            ++counters_.probes;
            ++sent;
        }
    }
    forget_old(now);
}

/// True if the mark says something new.
auto table::learn_mark(leaving_mark const& it, time_point now, actions& out)
    -> bool
{
    if (has_left(it.id, it.start))
    {
        return false;
    }
    if (!left_.contains(it.id) && left_.size() >= limits_.max_marks)
    {
        drop_oldest_mark();
    }
    left_[it.id] = {it.start, now};
    auto const found = entries_.find(it.id);
    if (found != entries_.end())
    {
        refresh(found->second, out);
    }
    return true;
}

void table::learn_and_spread(leaving_mark const& it, time_point now,
                             actions& out)
{
    if (learn_mark(it, now, out))
    {
        out.emplace_back(spread_mark{it});
    }
}

/// A refused connection is certain, nothing listens; a silent or broken one
/// may be the fault of the connection alone, which the probe tells.
void table::suspect(entry& it, target_state at_least, time_point now)
{
    auto& own = it.own;
    if (own.state == target_state::live)
    {
        own.next_probe = now;
    }
    if (own.state != target_state::failed)
    {
        own.state = at_least;
    }
    doubted_.insert(it.it.id);
}

void table::probe_failed(entry& it, time_point now, random_source& random)
{
    auto& own = it.own;
    if (own.state == target_state::live)
    {
        return;
    }
    own.probe_sent.reset();
    ++own.probes_failed;
    own.next_probe = now + probe_delay(own.probes_failed, random);
    if (own.probes_failed >= limits_.probes_to_fail)
    {
        own.state = target_state::failed;
    }
}

/// Uniform in the upper half of a delay that doubles with each failure.
auto table::probe_delay(std::uint32_t failed, random_source& random) const
    -> duration
{
    auto longest = limits_.first_probe_delay;
    for (auto n = std::uint32_t{1};
         n < failed && longest < limits_.longest_probe_delay; ++n)
    {
        longest *= 2;
    }
    longest = std::min(longest, limits_.longest_probe_delay);
    auto const half = longest / 2;
    auto const spread = static_cast<std::uint64_t>(half.count()) + 1;
    return half + duration{static_cast<duration::rep>(random.below(spread))};
}

void table::refresh(entry& it, actions& out)
{
    auto const state =
        has_left(it.it.id, it.it.start) ? target_state::leaving : it.own.state;
    if (state == it.shown)
    {
        return;
    }
    it.shown = state;
    changed_.insert(it.it.service);
    out.emplace_back(state_change{it.it.id, it.it.start, state});
}

void table::rebuild(service_id const& service)
{
    auto views = std::vector<target_view>{};
    for (auto const wanted : {target_state::live, target_state::suspect})
    {
        for (auto const& [id, known] : entries_)
        {
            if (known.it.service == service && known.shown == wanted)
            {
                views.push_back({known.it, known.shown});
            }
        }
    }
    if (views.empty())
    {
        usable_.erase(service);
        return;
    }
    usable_[service] = std::move(views);
}

void table::forget_old(time_point now)
{
    auto const is_old = [&](time_point since)
    {
        return now - since >= limits_.forget_after;
    };
    std::erase_if(entries_,
                  [&](auto const& it)
                  {
                      auto const& [id, known] = it;
                      auto const old =
                          !known.listed && is_old(known.unlisted_at);
                      if (old)
                      {
                          doubted_.erase(id);
                      }
                      return old;
                  });
    std::erase_if(left_,
                  [&](auto const& it) {
                      return is_old(it.second.learnt_at) &&
                             !entries_.contains(it.first);
                  });
}

void table::drop_oldest_mark()
{
    auto oldest = left_.end();
    for (auto it = left_.begin(); it != left_.end(); ++it)
    {
        if (!entries_.contains(it->first) &&
            (oldest == left_.end() ||
             it->second.learnt_at < oldest->second.learnt_at))
        {
            oldest = it;
        }
    }
    // Marks of known targets stay: there are at most max_targets of them.
    if (oldest != left_.end())
    {
        left_.erase(oldest);
        ++counters_.dropped_marks;
    }
}

auto table::has_left(target_id const& id, incarnation start) const -> bool
{
    auto const found = left_.find(id);
    return found != left_.end() && start <= found->second.start;
}

auto table::usable(service_id const& service) const
    -> std::vector<target_view> const&
{
    static auto const none = std::vector<target_view>{};
    auto const found = usable_.find(service);
    return found == usable_.end() ? none : found->second;
}

auto table::find(target_id const& id) const -> std::optional<target_view>
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    return target_view{found->second.it, found->second.shown};
}

auto table::all() const -> std::vector<target_view>
{
    auto views = std::vector<target_view>{};
    views.reserve(entries_.size());
    for (auto const& [id, known] : entries_)
    {
        views.push_back({known.it, known.shown});
    }
    return views;
}

auto table::takes_new_work(target_id const& id, incarnation start) const -> bool
{
    auto const found = entries_.find(id);
    return found != entries_.end() && found->second.it.start == start &&
           is_usable(found->second.shown);
}

auto table::marks() const -> std::vector<leaving_mark>
{
    auto all_marks = std::vector<leaving_mark>{};
    all_marks.reserve(left_.size());
    for (auto const& [id, mark] : left_)
    {
        all_marks.push_back({id, mark.start});
    }
    return all_marks;
}

} // namespace primrosedeal::target
