#include "rejection_limit/rejection_log.hpp"

#include <algorithm>

namespace primrosedeal::rejection_limit
{

namespace
{

auto counts(time_point at, time_point now) -> bool
{
    return now - at < rejection_window;
}

auto count_recent(std::deque<time_point> const& all, time_point now)
    -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::count_if(
        all.begin(), all.end(), [&](auto at) { return counts(at, now); }));
}

} // namespace

void rejection_log::rejected(target_id const& id, incarnation process_start,
                             time_point now)
{
    auto& it = targets_[id];
    if (it.process_start != process_start)
    {
        it = {process_start, {}, {}};
    }
    it.own.push_back(now);
    while (!counts(it.own.front(), now))
    {
        it.own.pop_front();
    }
}

void rejection_log::merge(host_id const& host, reported_rejections const& it)
{
    auto& known = targets_[it.target];
    if (it.process_start < known.process_start)
    {
        return;
    }
    if (known.process_start < it.process_start)
    {
        known = {it.process_start, {}, {}};
    }
    auto& before = known.heard[host];
    if (before.last_at <= it.last_at)
    {
        before = it;
    }
}

auto rejection_log::recent(target_id const& id, incarnation process_start,
                           time_point now) const -> std::uint32_t
{
    auto const found = targets_.find(id);
    if (found == targets_.end() || found->second.process_start != process_start)
    {
        return 0;
    }
    auto out = count_recent(found->second.own, now);
    for (auto const& [host, it] : found->second.heard)
    {
        out += counts(it.last_at, now) ? it.count : 0;
    }
    return out;
}

auto rejection_log::report(time_point now) const
    -> std::vector<reported_rejections>
{
    auto out = std::vector<reported_rejections>{};
    for (auto const& [id, it] : targets_)
    {
        if (auto const n = count_recent(it.own, now); n > 0)
        {
            out.push_back({id, it.process_start, n, it.own.back()});
        }
    }
    return out;
}

void rejection_log::remove_target(target_id const& id)
{
    targets_.erase(id);
}

void rejection_log::expire(time_point now)
{
    std::erase_if(
        targets_,
        [&](auto const& it)
        {
            auto const& [own, heard] = std::tie(it.second.own, it.second.heard);
            return count_recent(own, now) == 0 &&
                   std::none_of(heard.begin(), heard.end(),
                                [&](auto const& each)
                                { return counts(each.second.last_at, now); });
        });
}

} // namespace primrosedeal::rejection_limit
