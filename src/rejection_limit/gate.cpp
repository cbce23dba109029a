#include "rejection_limit/gate.hpp"

#include "core/part_of.hpp"

#include <algorithm>
#include <cmath>

namespace primrosedeal::rejection_limit
{

namespace
{

using request_limit::host_group;

/// Targets with larger limits are not brittle in effect.
constexpr auto max_limit = 1000.0;

/// Digests go to one host after the other.
constexpr auto delay_per_host = duration{2200us};
constexpr auto min_digest_delay = duration{100ms};
constexpr auto max_digest_delay = duration{800ms};

/// Part of the hosts that has to be heard to know the load.
constexpr auto heard_part = 0.75;

/// Hosts choose the target with the most room of as many at random, so it gets
/// more than its part.
constexpr auto preference = 4.0;
constexpr auto deviations = 3.0;

/// Part of the limit that hosts may use on purpose.
constexpr auto limit_part = 0.25;

/// Part of the slots that may stay unused for what others send unheard; beyond
/// it all room is divided.
constexpr auto max_margin_part = 0.5;

/// With as many slots for each host, all room is divided too: every host has
/// its part of some target then.
constexpr auto enough_slots = 4.0;

/// Part of the slots that has to be free for copies.
constexpr auto ample_part = 0.5;

constexpr auto min_retry_after = duration{200ms};

/// The limit of each target that is brittle.
auto limits_of(request_limit::limit_table const& limits,
               std::vector<directory::listed_target> const& targets)
    -> std::vector<std::optional<double>>
{
    auto out = std::vector<std::optional<double>>{};
    auto least = std::optional<double>{};
    for (auto const& it : targets)
    {
        auto const state = limits.find(it.id, it.process_start);
        out.push_back(state ? std::optional{state->limit->value()}
                            : std::nullopt);
        if (out.back())
        {
            least = std::min(least.value_or(*out.back()), *out.back());
        }
    }
    for (auto i = std::size_t{0}; i < targets.size(); ++i)
    {
        if (!out[i] && !limits.ended(targets[i].id, targets[i].process_start))
        {
            out[i] = least;
        }
        if (out[i] && *out[i] > max_limit)
        {
            out[i].reset();
        }
    }
    return out;
}

/// Slots that are free for the hosts that are heard. The others use their part
/// of the slots, or as many as these.
auto free_slots(double slots, target_use const& use, host_group const& hosts)
    -> double
{
    auto const known = static_cast<double>(hosts.known);
    auto const live = static_cast<double>(hosts.live);
    auto const load = static_cast<double>(use.own) + use.others;
    auto const all_load =
        use.own + (hosts.live > 1 ? use.others * (known - 1) / (live - 1) : 0);
    return std::min(slots * live / known - load, slots - all_load);
}

/// Requests that this host may have unheard at the target `index`, if those of
/// the hosts that are heard may be `total`.
auto quota_of(double total, std::size_t index, std::size_t targets,
              host_group const& hosts) -> std::size_t
{
    auto const all = static_cast<std::size_t>(std::max(total, 0.0));
    auto const first = index * hosts.live / targets;
    auto const distance =
        (hosts.position + hosts.live - first % hosts.live) % hosts.live;
    return all / hosts.live + (distance < all % hosts.live ? 1 : 0);
}

} // namespace

auto digest_delay(std::size_t hosts) -> duration
{
    return std::clamp(static_cast<duration::rep>(hosts) * delay_per_host,
                      min_digest_delay, max_digest_delay);
}

void gate::update(request_limit::limit_table const& limits,
                  rejection_log const& rejections,
                  std::vector<directory::listed_target> const& targets,
                  std::vector<target_use> const& uses,
                  fleet_demand const& demand, time_point now)
{
    auto const stated = limits_of(limits, targets);
    auto const& hosts = demand.hosts;
    auto const delay = digest_delay(hosts.known);
    auto free = std::vector<double>{};
    auto open = std::size_t{0};
    auto slots = 0.0;
    for (auto i = std::size_t{0}; i < targets.size(); ++i)
    {
        free.push_back(free_slots(targets[i].slots, uses[i], hosts));
        open += free.back() >= 1 ? 1 : 0;
        slots += targets[i].slots;
    }
    auto const part =
        std::min(preference / static_cast<double>(std::max(open, 1UL)), 1.0);
    auto const unheard =
        demand.others.value_or(request_limit::request_rate{}).value() *
        to_seconds(delay) * part;
    auto const live = static_cast<double>(hosts.live);
    auto const load_known =
        demand.others && live >= heard_part * static_cast<double>(hosts.known);
    auto const heard = live / static_cast<double>(hosts.known);
    auto const keeps_margin = load_known && slots < enough_slots * live;
    for (auto i = std::size_t{0}; i < targets.size(); ++i)
    {
        auto const& target = targets[i];
        if (!stated[i])
        {
            targets_.erase(target.id);
            continue;
        }
        auto& it = targets_[target.id];
        while (!it.unheard.empty() && now - it.unheard.front() >= delay)
        {
            it.unheard.pop_front();
        }
        auto const rejected =
            rejections.recent(target.id, target.process_start, now);
        it.free = free[i];
        auto const margin = unheard + deviations * std::sqrt(unheard);
        it.any_host = keeps_margin && margin <= max_margin_part * target.slots;
        it.margin = it.any_host ? margin : 0;
        it.full = rejected > 0 && rejected >= limit_part * *stated[i];
        it.ample = load_known && !it.full &&
                   it.free - margin >= ample_part * target.slots;
        it.quota =
            quota_of(it.free - it.margin + limit_part * *stated[i] * heard, i,
                     targets.size(), hosts);
    }
}

auto gate::permits(target_id const& id, arrival how) const -> bool
{
    auto const found = targets_.find(id);
    if (found == targets_.end())
    {
        return true;
    }
    auto const& it = found->second;
    if (it.full || it.free < 1)
    {
        return false;
    }
    auto const any_host =
        how == arrival::independent && it.any_host && it.free >= 1 + it.margin;
    return any_host || it.unheard.size() < it.quota;
}

auto gate::has_ample_room(target_id const& id) const -> bool
{
    auto const found = targets_.find(id);
    return found == targets_.end() || found->second.ample;
}

void gate::sent(target_id const& id, time_point now)
{
    auto const found = targets_.find(id);
    if (found != targets_.end())
    {
        found->second.unheard.push_back(now);
        found->second.free -= 1;
    }
}

void gate::remove_target(target_id const& id)
{
    targets_.erase(id);
}

void gate::clear()
{
    targets_.clear();
}

auto retry_after(gate const& it,
                 std::vector<directory::listed_target> const& targets,
                 arrival how, random_source& random) -> std::optional<duration>
{
    if (std::all_of(targets.begin(), targets.end(),
                    [&](auto const& each) { return it.permits(each.id, how); }))
    {
        return std::nullopt;
    }
    return min_retry_after + part_of(min_retry_after, random.unit());
}

} // namespace primrosedeal::rejection_limit
