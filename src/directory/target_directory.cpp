#include "directory/target_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

// While the store is healthy, a removal takes effect immediately. During an
// outage and for `lapse_grace` after it, a removal may only mean that the
// heartbeat could not be written, so the target stays usable until the grace
// period ends. If only this host lost the store, targets could renew their
// entries, so a removal takes effect however late this host receives it.
namespace primrosedeal::directory
{

auto to_string(change_kind it) -> std::string_view
{
    switch (it)
    {
    case change_kind::added:
        return "added";
    case change_kind::leaving:
        return "leaving";
    case change_kind::gone:
        return "gone";
    case change_kind::lapsed:
        return "lapsed";
    case change_kind::returned:
        return "returned";
    }
    return "unknown";
}

auto target_directory::handle(event const& it, time_point now)
    -> std::vector<change>
{
    auto out = changes{};
    std::visit([&](auto const& e) { on(e, now, out); }, it);
    if (!out.empty())
    {
        rebuild(now);
    }
    return out;
}

auto target_directory::expire(time_point now) -> std::vector<change>
{
    auto out = changes{};
    std::erase_if(removals_, [&](auto const& it)
                  { return now - it.second.at >= removal_memory; });
    put_doubtful(now, out);
    if (!store_unavailable_ && regained_at_ &&
        now - *regained_at_ >= lapse_grace)
    {
        erase_lapsed(now, out);
        regained_at_.reset();
    }
    if (!out.empty())
    {
        rebuild(now);
    }
    return out;
}

auto target_directory::removals_uncertain(time_point now) const -> bool
{
    return store_unavailable_ ||
           (regained_at_ && now - *regained_at_ < lapse_grace);
}

void target_directory::put_doubtful(time_point now, changes& out)
{
    if (store_unavailable_)
    {
        return;
    }
    std::erase_if(doubtful_,
                  [&](auto const& it)
                  {
                      auto const due = now >= it.second.usable_at;
                      if (due)
                      {
                          put(it.second.it, out);
                      }
                      return due;
                  });
}

void target_directory::remember_removal(listed_target const& it, time_point now)
{
    removals_[it.id] = {it.process_start, now};
}

void target_directory::erase_lapsed(time_point now, changes& out)
{
    std::erase_if(entries_,
                  [&](auto const& it)
                  {
                      auto const erased = it.second.lapsed_at.has_value();
                      if (erased)
                      {
                          remember_removal(it.second.it, now);
                          out.push_back({it.first, change_kind::gone});
                      }
                      return erased;
                  });
}

auto target_directory::usable(service_id const& service) const
    -> std::vector<listed_target> const&
{
    static auto const none = std::vector<listed_target>{};
    auto const it = usable_.find(service);
    return it == usable_.end() ? none : it->second;
}

auto target_directory::usable_domains() const -> std::set<domain_id>
{
    auto out = std::set<domain_id>{};
    for (auto const& [service, targets] : usable_)
    {
        for (auto const& it : targets)
        {
            out.insert(it.domain);
        }
    }
    return out;
}

auto target_directory::has_one_version(service_id const& service,
                                       time_point since) const -> bool
{
    auto const listed = versions_.find(service);
    auto const gone = gone_versions_.find(service);
    auto const left_since =
        gone != gone_versions_.end() &&
        std::any_of(gone->second.begin(), gone->second.end(),
                    [&](auto const& it)
                    {
                        auto const& [version, at] = it;
                        return at >= since &&
                               (listed == versions_.end() ||
                                !listed->second.contains(version));
                    });
    return listed != versions_.end() && listed->second.size() == 1 &&
           !left_since;
}

auto target_directory::takes_new_work(target_id const& id) const -> bool
{
    auto const it = entries_.find(id);
    return it != entries_.end() && !it->second.it.leaving;
}

auto target_directory::find(target_id const& id) const -> listed_target const*
{
    auto const it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second.it;
}

void target_directory::on(entry_written const& it, time_point now, changes& out)
{
    doubtful_.erase(it.id);
    if (it.it)
    {
        put(*it.it, out);
    }
    else
    {
        remove(it.id, now, out);
    }
}

void target_directory::on(entry_removed const& it, time_point now, changes& out)
{
    doubtful_.erase(it.id);
    remove(it.id, now, out);
}

void target_directory::on(all_entries const& it, time_point now, changes& out)
{
    for (auto const& id : put_all(it.targets, out))
    {
        remove(id, now, out);
    }
}

void target_directory::on(restored_entries const& it, time_point now,
                          changes& out)
{
    doubtful_.clear();
    for (auto const& target : it.targets)
    {
        auto const removed = removals_.find(target.id);
        if (!entries_.contains(target.id) && removed != removals_.end() &&
            target.process_start <= removed->second.process_start)
        {
            doubtful_[target.id] = {target, now + restored_entry_probation};
        }
    }
    on(all_entries{it.targets}, now, out);
}

void target_directory::on(peer_entries const& it, time_point now, changes& out)
{
    for (auto const& id : put_all(it.targets, out))
    {
        erase(id, now, out);
    }
}

auto target_directory::put_all(std::vector<listed_target> const& targets,
                               changes& out) -> std::vector<target_id>
{
    auto present = std::set<target_id>{};
    for (auto const& target : targets)
    {
        present.insert(target.id);
        auto const doubtful = doubtful_.find(target.id);
        if (doubtful == doubtful_.end() || doubtful->second.it != target)
        {
            put(target, out);
        }
    }
    std::erase_if(doubtful_,
                  [&](auto const& it) { return !present.contains(it.first); });
    auto missing = std::vector<target_id>{};
    for (auto const& [id, known] : entries_)
    {
        if (!present.contains(id))
        {
            missing.push_back(id);
        }
    }
    return missing;
}

void target_directory::on(store_lost const& /*it*/, time_point /*now*/,
                          changes& /*out*/)
{
    store_unavailable_ = true;
}

void target_directory::on(store_regained const& it, time_point now,
                          changes& out)
{
    if (!std::exchange(store_unavailable_, false))
    {
        return;
    }
    if (it.served_others)
    {
        regained_at_.reset();
        erase_lapsed(now, out);
        return;
    }
    regained_at_ = now;
}

void target_directory::on(target_replaced const& it, time_point /*now*/,
                          changes& out)
{
    auto const found = entries_.find(it.id);
    if (found != entries_.end() && !found->second.it.leaving)
    {
        latest_leaving_[it.id] = found->second.it.process_start;
        found->second.it.leaving = true;
        out.push_back({it.id, change_kind::gone});
    }
}

void target_directory::on(target_leaving const& it, time_point /*now*/,
                          changes& out)
{
    auto& latest = latest_leaving_[it.id];
    latest = std::max(latest, it.process_start);
    auto const found = entries_.find(it.id);
    if (found != entries_.end() &&
        found->second.it.process_start <= it.process_start &&
        !std::exchange(found->second.it.leaving, true))
    {
        out.push_back({it.id, change_kind::leaving});
    }
}

void target_directory::put(listed_target const& it, changes& out)
{
    auto const found_leaving = latest_leaving_.find(it.id);
    auto next = it;
    if (found_leaving != latest_leaving_.end())
    {
        if (found_leaving->second < it.process_start)
        {
            latest_leaving_.erase(found_leaving);
        }
        else
        {
            next.leaving = true;
        }
    }
    if (next.leaving)
    {
        auto& latest_leaving = latest_leaving_[it.id];
        latest_leaving = std::max(latest_leaving, it.process_start);
    }
    auto const [at, added] = entries_.try_emplace(it.id);
    auto& known = at->second;
    if (it.process_start < known.it.process_start)
    {
        // A late heartbeat from an earlier process with the same id.
        return;
    }
    auto const previous = known.it;
    auto const returned = known.lapsed_at.has_value();
    known.lapsed_at.reset();
    if (!added && !returned && previous == next)
    {
        return;
    }
    known.it = next;
    drop_predecessors(next, out);
    auto const to = next.leaving ? change_kind::leaving
                    : returned   ? change_kind::returned
                                 : change_kind::added;
    out.push_back({it.id, to});
}

void target_directory::drop_predecessors(listed_target const& it, changes& out)
{
    std::erase_if(entries_,
                  [&](auto const& other)
                  {
                      auto const& old = other.second.it;
                      auto const erased = old.id != it.id &&
                                          old.address == it.address &&
                                          old.process_start < it.process_start;
                      if (erased)
                      {
                          out.push_back({old.id, change_kind::gone});
                      }
                      return erased;
                  });
}

void target_directory::remove(target_id const& id, time_point now, changes& out)
{
    auto const it = entries_.find(id);
    if (it == entries_.end() || it->second.lapsed_at)
    {
        return;
    }
    if (removals_uncertain(now) && !it->second.it.leaving)
    {
        it->second.lapsed_at = now;
        out.push_back({id, change_kind::lapsed});
        return;
    }
    erase(id, now, out);
}

void target_directory::erase(target_id const& id, time_point now, changes& out)
{
    auto const found = entries_.find(id);
    if (found != entries_.end())
    {
        remember_removal(found->second.it, now);
        entries_.erase(found);
        out.push_back({id, change_kind::gone});
    }
}

void target_directory::rebuild(time_point now)
{
    auto const before = std::exchange(versions_, {});
    for (auto const& [id, it] : entries_)
    {
        versions_[it.it.service].insert(it.it.version);
    }
    for (auto const& [service, versions] : before)
    {
        for (auto const& version : versions)
        {
            if (!versions_[service].contains(version))
            {
                gone_versions_[service][version] = now;
            }
        }
    }

    usable_.clear();
    for (auto const& [id, known] : entries_)
    {
        if (!known.it.leaving)
        {
            usable_[known.it.service].push_back(known.it);
        }
    }
}

} // namespace primrosedeal::directory
