#include "reachability/direct_path.hpp"

#include <algorithm>
#include <set>

namespace primrosedeal::reachability
{

namespace
{

constexpr auto max_probe_jitter = duration{150ms};

/// Bounds the memory of a service whose connections fail while no other host
/// is known to reach it.
constexpr auto max_failures = std::size_t{64};

/// The targets of `it`, each once, in the order of their first failures.
template <class Failures>
auto distinct_targets(Failures const& it)
    -> std::vector<std::pair<target_id, domain_id>>
{
    auto out = std::vector<std::pair<target_id, domain_id>>{};
    auto seen = std::set<target_id>{};
    for (auto const& each : it)
    {
        if (seen.insert(each.target).second)
        {
            out.emplace_back(each.target, each.domain);
        }
    }
    return out;
}

} // namespace

auto to_string(connection_result it) -> std::string_view
{
    switch (it)
    {
    case connection_result::accepted:
        return "accepted";
    case connection_result::refused:
        return "refused";
    case connection_result::timed_out:
        return "timed_out";
    }
    return "unknown";
}

auto direct_path::observe(service_id const& service, target_id const& target,
                          domain_id const& domain, connection_result result,
                          time_point begun_at, std::size_t usable,
                          bool others_reach, time_point now)
    -> std::optional<path_change>
{
    auto& state = records_[service];
    if (result == connection_result::accepted)
    {
        return accepted(service, state, now);
    }
    if ((state.unreachable && state.unreachable->path_lost) ||
        (state.last_accepted && begun_at <= *state.last_accepted))
    {
        return std::nullopt;
    }
    auto& failures = state.failures;
    while (!failures.empty() && (now - failures.front().at > limits_.window ||
                                 failures.size() >= max_failures))
    {
        failures.pop_front();
    }
    failures.push_back({now, target, domain});
    if (!suffices(failures, usable))
    {
        return std::nullopt;
    }
    if (!state.unreachable)
    {
        state.unreachable =
            outage{failures.front().at, now + limits_.initial_probe_pause,
                   limits_.initial_probe_pause};
    }
    if (!others_reach)
    {
        return std::nullopt;
    }
    state.unreachable->path_lost = true;
    return path_lost{service, distinct_targets(std::exchange(failures, {})),
                     now - state.unreachable->since};
}

auto direct_path::accepted(service_id const& service, record& state,
                           time_point now) -> std::optional<path_change>
{
    state.last_accepted = now;
    state.failures.clear();
    auto const was = std::exchange(state.unreachable, std::nullopt);
    if (!was || !was->path_lost)
    {
        return std::nullopt;
    }
    state.restored_at = now;
    return path_restored{service, now - was->since};
}

auto direct_path::suffices(std::deque<failure> const& it,
                           std::size_t usable) const -> bool
{
    auto const targets = distinct_targets(it);
    auto const several_domains =
        std::any_of(targets.begin(), targets.end(),
                    [&](auto const& each)
                    { return each.second != targets.front().second; });
    auto const needed = several_domains ? limits_.min_targets
                                        : limits_.min_targets_of_one_domain;
    return targets.size() >= std::min(needed, usable);
}

auto direct_path::record_of(service_id const& service) const -> record const*
{
    auto const it = records_.find(service);
    return it == records_.end() ? nullptr : &it->second;
}

auto direct_path::lost(service_id const& service) const -> bool
{
    auto const* const it = record_of(service);
    return it != nullptr && it->unreachable && it->unreachable->path_lost;
}

auto direct_path::explains_failure(service_id const& service,
                                   time_point begun_at) const -> bool
{
    auto const* const it = record_of(service);
    return it != nullptr &&
           (lost(service) || (it->restored_at && begun_at <= *it->restored_at));
}

auto direct_path::unreachable(service_id const& service) const -> bool
{
    auto const* const it = record_of(service);
    return it != nullptr && it->unreachable;
}

auto direct_path::unreachable_services() const -> std::vector<service_id>
{
    auto out = std::vector<service_id>{};
    for (auto const& [service, state] : records_)
    {
        if (state.unreachable)
        {
            out.push_back(service);
        }
    }
    return out;
}

auto direct_path::probe_due(service_id const& service, time_point now) -> bool
{
    auto const it = records_.find(service);
    if (it == records_.end() || !it->second.unreachable ||
        now < it->second.unreachable->next_probe_at)
    {
        return false;
    }
    auto& state = *it->second.unreachable;
    state.probe_pause =
        std::min(state.probe_pause * 3 / 2, limits_.max_probe_pause);
    state.next_probe_at = now + state.probe_pause;
    return true;
}

void direct_path::remove_service(service_id const& service)
{
    records_.erase(service);
}

auto probe_jitter(random_source& random) -> duration
{
    return duration{static_cast<duration::rep>(
        random.below(static_cast<std::uint64_t>(max_probe_jitter.count())))};
}

} // namespace primrosedeal::reachability
