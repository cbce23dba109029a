#include "rollout/rollout_table.hpp"

#include "core/overloaded.hpp"
#include "core/part_of.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::rollout
{

namespace
{

/// Recent counts of a host that is not heard any more are left out after it.
constexpr auto recent_report_time = duration{3s};

/// Time for which hosts go on to tell others of the end of a rollout.
constexpr auto final_report_time = duration{30s};

/// Orders that are remembered for each service.
constexpr auto max_superseded = std::size_t{16};

/// Short enough that a version that turns bad stands out among its earlier
/// responses well within the bound, long enough for services with few calls.
auto window_of(duration length, duration rollback_bound) -> duration
{
    constexpr auto windows = 8;
    constexpr auto least_of_bound = 0.4;
    constexpr auto shortest = duration{100ms};
    auto const longest = std::max(rollback_bound, shortest);
    return std::clamp(length / windows, part_of(longest, least_of_bound),
                      longest);
}

} // namespace

rollout_table::service_rollout::service_rollout(order its, duration bound,
                                                time_point now)
    : it(std::move(its)), ordered_at(now), phase_since(now),
      own(window_of(it.length, bound))
{
}

auto rollout_table::withdrawn_by(service_rollout const& it) -> version_set
{
    auto out = it.withdrawn;
    if (std::holds_alternative<reverted>(it.at))
    {
        out.insert(it.it.target);
    }
    else if (std::holds_alternative<finished>(it.at))
    {
        out.insert(it.view.others.begin(), it.view.others.end());
    }
    return out;
}

auto rollout_table::apply(service_id const& service, order const& it,
                          time_point now) -> bool
{
    auto const found = services_.find(service);
    auto superseded = std::vector<order>{};
    auto withdrawn = version_set{};
    if (found != services_.end())
    {
        superseded = found->second.superseded;
        if (found->second.it == it ||
            std::find(superseded.begin(), superseded.end(), it) !=
                superseded.end())
        {
            return false;
        }
        superseded.push_back(found->second.it);
        if (superseded.size() > max_superseded)
        {
            superseded.erase(superseded.begin());
        }
        withdrawn = withdrawn_by(found->second);
        withdrawn.erase(it.target);
        services_.erase(found);
    }
    auto& rollout =
        services_.emplace(service, service_rollout{it, bounds_.rollback, now})
            .first->second;
    rollout.superseded = std::move(superseded);
    rollout.withdrawn = std::move(withdrawn);
    ++change_count_;
    if (auto const status = statuses_.find(service); status != statuses_.end())
    {
        apply(service, status->second, now);
    }
    return true;
}

void rollout_table::apply(service_id const& service, status const& it,
                          time_point now)
{
    statuses_[service] = it;
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return;
    }
    auto& rollout = found->second;
    auto const belongs =
        rollout.it.id < it.written_at && it.target == rollout.it.target;
    rollout.stored = belongs ? std::optional{it.what} : std::nullopt;
    adopt_stored(service, rollout, now);
}

void rollout_table::adopt_stored(service_id const& service, service_rollout& it,
                                 time_point now)
{
    if (it.stored == state::completed)
    {
        enter(service, it, finished{}, {}, now);
    }
    else if (it.stored == state::rolled_back)
    {
        enter(service, it, reverted{}, {}, now);
    }
}

void rollout_table::status_removed(service_id const& service)
{
    statuses_.erase(service);
    if (auto const it = services_.find(service); it != services_.end())
    {
        it->second.stored.reset();
    }
}

auto rollout_table::orders() const -> std::map<service_id, order>
{
    auto out = std::map<service_id, order>{};
    for (auto const& [service, it] : services_)
    {
        out.emplace(service, it.it);
    }
    return out;
}

void rollout_table::request(service_id const& service)
{
    if (auto const it = services_.find(service); it != services_.end())
    {
        ++it->second.requests.all;
    }
}

void rollout_table::sent(service_id const& service, software_version const& to)
{
    auto const it = services_.find(service);
    if (it != services_.end() && to == it->second.it.target)
    {
        ++it->second.requests.at_target;
    }
}

void rollout_table::observe(service_id const& service,
                            software_version const& at, observation it,
                            time_point now)
{
    auto const found = services_.find(service);
    if (found == services_.end() || has_ended(found->second.at))
    {
        return;
    }
    it.at_target_version = at == found->second.it.target;
    found->second.own.observe(it, now);
}

auto rollout_table::excludes(service_id const& service,
                             software_version const& version) const -> bool
{
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return false;
    }
    auto const is_target = version == found->second.it.target;
    auto const& at = found->second.at;
    return is_target ? std::holds_alternative<reverted>(at)
                     : std::holds_alternative<finished>(at);
}

auto rollout_table::permitted(service_id const& service,
                              version_set const& listed) const
    -> permitted_versions
{
    auto const found = services_.find(service);
    if (found == services_.end())
    {
        return {};
    }
    auto const& it = found->second;
    auto in = plan_input{};
    in.target = it.it.target;
    in.others = listed;
    in.others.erase(in.target);
    auto left = in.others;
    std::erase_if(left, [&](auto const& version)
                  { return it.withdrawn.contains(version); });
    in.others = left.empty() ? in.others : left;
    in.bounds = bounds_.exposure;
    in.target_usable = it.view.target_usable;
    in.hosts = hosts_;
    in.rank = rank_;
    in.requests = it.requests;
    return plan(it.at, in);
}

void rollout_table::merge(host_id const& from, std::vector<report> const& it,
                          time_point now)
{
    for (auto const& each : it)
    {
        auto const found = services_.find(each.service);
        if (found == services_.end() || found->second.it.id != each.order)
        {
            continue;
        }
        auto& rollout = found->second;
        rollout.ordered_at = std::min(rollout.ordered_at, now - each.age);
        rollout.others[from] = {each, now};
        if (each.bad && !has_ended(rollout.at))
        {
            auto why = change{};
            why.reported_by = from;
            enter(each.service, rollout, reverted{}, std::move(why), now);
        }
    }
}

auto rollout_table::reports(time_point now) -> std::vector<report>
{
    auto out = std::vector<report>{};
    for (auto& [service, it] : services_)
    {
        // The status in the store tells the rest, also to hosts that learn of
        // it from others.
        auto const stored = it.stored && *it.stored != state::in_progress;
        if (stored && now - it.phase_since >= final_report_time)
        {
            continue;
        }
        auto const moved = std::holds_alternative<whole>(it.at) ||
                           std::holds_alternative<finished>(it.at) ||
                           (it.view.target_usable && it.view.others.empty());
        out.push_back({service, it.it.id, now - it.ordered_at,
                       std::holds_alternative<reverted>(it.at), moved,
                       stored ? evidence{} : it.own.counts(now)});
    }
    return out;
}

auto rollout_table::all_evidence(service_rollout& it, time_point now)
    -> evidence
{
    auto out = it.own.counts(now);
    for (auto const& [host, each] : it.others)
    {
        out.add(each.it.counts, now - each.at <= recent_report_time);
    }
    return out;
}

void rollout_table::enter(service_id const& service, service_rollout& it,
                          phase const& to, change why, time_point now)
{
    if (it.at == to)
    {
        return;
    }
    why.service = service;
    why.it = it.it;
    why.from = std::exchange(it.at, to);
    why.to = to;
    why.own = it.requests;
    why.responses = responses_of_target(all_evidence(it, now));
    changes_.push_back(std::move(why));
    it.phase_since = now;
    ++change_count_;
}

auto rollout_table::take_changes() -> std::vector<change>
{
    return std::exchange(changes_, {});
}

auto rollout_table::wanted(service_rollout const& it) -> state
{
    return std::visit(overloaded{[](finished) { return state::completed; },
                                 [](reverted) { return state::rolled_back; },
                                 [](auto const&)
                                 {
                                     return state::in_progress;
                                 }},
                      it.at);
}

auto rollout_table::next_writes(fleet_state const& fleet, time_point now)
    -> std::vector<status_write>
{
    auto const delay = std::min(
        status_write_slot * static_cast<duration::rep>(fleet.hosts_ahead),
        max_status_write_delay);
    auto out = std::vector<status_write>{};
    for (auto& [service, it] : services_)
    {
        auto const what = wanted(it);
        // A final status is not replaced.
        auto const written = it.stored && (it.stored == what ||
                                           *it.stored != state::in_progress);
        if (written || !fleet.may_write)
        {
            it.unwritten_since.reset();
            continue;
        }
        it.unwritten_since = it.unwritten_since.value_or(now);
        if (now >= *it.unwritten_since + delay && now >= it.next_write_at)
        {
            it.next_write_at = now + status_write_retry;
            out.push_back({service, it.it.id, what, it.it.target});
        }
    }
    return out;
}

} // namespace primrosedeal::rollout
