#include "quarantine/unresolved_runs.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::quarantine
{

void unresolved_runs::add(unresolved_run it)
{
    if (runs_.size() >= limits_.max_runs)
    {
        runs_.pop_front();
    }
    auto const crash = to_crash_id(it.target.id, it.target.process_start);
    runs_.push_back({std::move(it), crash, std::nullopt});
}

auto unresolved_runs::probe_due(target_id const& id, time_point now)
    -> std::optional<directory::listed_target>
{
    auto out = std::optional<directory::listed_target>{};
    auto probed = false;
    for (auto& each : runs_)
    {
        if (each.it.target.id != id)
        {
            continue;
        }
        probed |=
            each.probed_at && now - *each.probed_at < limits_.probe_period;
        out = each.it.target;
    }
    if (!out || probed)
    {
        return std::nullopt;
    }
    for (auto& each : runs_)
    {
        if (each.it.target.id == id)
        {
            each.probed_at = now;
        }
    }
    return out;
}

auto unresolved_runs::targets_of(std::set<crash_id> const& crashes) const
    -> std::set<target_id>
{
    auto out = std::set<target_id>{};
    for (auto const& each : runs_)
    {
        if (crashes.contains(each.crash))
        {
            out.insert(each.it.target.id);
        }
    }
    return out;
}

auto unresolved_runs::predecessors_of(
    directory::listed_target const& listed) const -> std::set<target_id>
{
    auto out = std::set<target_id>{};
    for (auto const& each : runs_)
    {
        auto const& old = each.it.target;
        if (old.process_start < listed.process_start &&
            (old.id == listed.id || old.address == listed.address))
        {
            out.insert(old.id);
        }
    }
    return out;
}

auto unresolved_runs::take(target_id const& id, time_point now)
    -> std::vector<unresolved_run>
{
    auto out = std::vector<unresolved_run>{};
    std::erase_if(runs_,
                  [&](record& each)
                  {
                      auto const there = each.it.target.id == id;
                      if (there && now - each.it.ended_at < limits_.lifetime)
                      {
                          out.push_back(std::move(each.it));
                      }
                      return there;
                  });
    return out;
}

void unresolved_runs::on_leaving(target_id const& id)
{
    std::erase_if(runs_,
                  [&](record const& each) { return each.it.target.id == id; });
}

void unresolved_runs::on_answer(target_id const& from, suspect_id identity,
                                time_point now)
{
    std::erase_if(
        runs_,
        [&](record const& each)
        {
            auto const& suspects = each.it.run.suspects;
            auto const same = std::find(suspects.begin(), suspects.end(),
                                        identity) != suspects.end();
            return same || (each.it.target.id == from &&
                            now - each.it.ended_at >= limits_.survival);
        });
}

void unresolved_runs::expire(time_point now)
{
    std::erase_if(runs_, [&](record const& each)
                  { return now - each.it.ended_at >= limits_.lifetime; });
}

} // namespace primrosedeal::quarantine
