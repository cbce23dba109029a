#include "dispatch/failure_detector.hpp"

#include <algorithm>
#include <set>
#include <utility>

// Error responses are judged by their moving fraction rather than their number,
// since some services fail a constant fraction of calls while healthy.
namespace primrosedeal::dispatch
{

auto to_string(observation it) -> std::string_view
{
    switch (it)
    {
    case observation::unreachable:
        return "unreachable";
    case observation::silent:
        return "silent";
    case observation::failed:
        return "failed";
    case observation::busy:
        return "busy";
    case observation::answered:
        return "answered";
    }
    return "unknown";
}

auto failure_detector::report(target_id const& id, domain_id const& domain,
                              observation seen, time_point now) -> bool
{
    auto& it = records_[id];
    auto const before = it.excluded_until;
    auto const window = static_cast<double>(limits_.response_window);
    switch (seen)
    {
    case observation::answered:
        it.failures_in_row = 0;
        it.hint_length = {};
        it.failed_ratio -= it.failed_ratio / window;
        it.responses = std::min(it.responses + 1, limits_.response_window);
        it.excluded_until = std::min(it.excluded_until, now);
        mark_verified(domain);
        return false;
    case observation::busy:
        it.excluded_until =
            std::max(it.excluded_until, now + limits_.busy_exclusion);
        return false;
    case observation::failed:
        it.failed_ratio += (1 - it.failed_ratio) / window;
        it.responses = std::min(it.responses + 1, limits_.response_window);
        if (it.responses < limits_.response_window / 2 ||
            it.failed_ratio < limits_.failure_ratio_threshold)
        {
            return false;
        }
        break;
    case observation::unreachable:
    case observation::silent:
        record_loss(id, domain, now);
        break;
    }
    constexpr auto max_doublings = 8U;
    auto const doublings = std::min(it.failures_in_row, max_doublings);
    ++it.failures_in_row;
    auto const span = std::min(limits_.initial_exclusion * (1 << doublings),
                               limits_.max_exclusion);
    it.excluded_until = std::max(it.excluded_until, now + span);
    return before <= now;
}

void failure_detector::record_loss(target_id const& id, domain_id const& domain,
                                   time_point now)
{
    auto& it = domains_[domain];
    auto& recent = it.losses;
    while (!recent.empty() &&
           now - recent.front().at > limits_.domain_loss_window)
    {
        recent.pop_front();
    }
    recent.push_back({now, id});
    auto distinct = std::set<target_id>{};
    for (auto const& seen : recent)
    {
        distinct.insert(seen.id);
    }
    if (std::exchange(it.probing, false))
    {
        it.causes = {id};
        it.causes_needed = 1;
        it.length_before = it.suspicion_length;
        it.suspicion_length =
            std::min(it.suspicion_length * 2, limits_.max_domain_suspicion);
        it.suspected_until = now + it.suspicion_length;
    }
    else if (distinct.size() >= limits_.domain_loss_threshold)
    {
        if (now >= it.suspected_until)
        {
            it.causes.clear();
            it.length_before = it.suspicion_length;
        }
        it.causes.merge(distinct);
        it.causes_needed = limits_.domain_loss_threshold;
        it.suspicion_length =
            std::max(it.suspicion_length, limits_.initial_domain_suspicion);
        it.suspected_until =
            std::max(it.suspected_until, now + it.suspicion_length);
    }
}

auto failure_detector::domain_unverified(domain_id const& domain) const -> bool
{
    auto const it = domains_.find(domain);
    return it != domains_.end() && it->second.suspicion_length > 0s;
}

void failure_detector::sent_to(domain_id const& domain, time_point now)
{
    auto const it = domains_.find(domain);
    if (it != domains_.end() && it->second.suspicion_length > 0s &&
        now >= it->second.suspected_until)
    {
        it->second.probing = true;
        it->second.suspected_until = now + limits_.domain_probe_timeout;
    }
}

void failure_detector::mark_verified(domain_id const& domain)
{
    auto const it = domains_.find(domain);
    if (it != domains_.end())
    {
        it->second.suspicion_length = 0s;
        it->second.probing = false;
        it->second.causes.clear();
    }
}

auto failure_detector::health_of(target_id const& id, domain_id const& domain,
                                 time_point now) const -> health
{
    auto const it = records_.find(id);
    if (it != records_.end() && now < it->second.excluded_until)
    {
        return health::excluded;
    }
    auto const hinted = it != records_.end() && now < it->second.hinted_until;
    return hinted || domain_suspected(domain, now) ? health::suspected
                                                   : health::healthy;
}

auto failure_detector::domain_suspected(domain_id const& domain,
                                        time_point now) const -> bool
{
    auto const it = domains_.find(domain);
    return it != domains_.end() && now < it->second.suspected_until;
}

void failure_detector::hint(target_id const& id, time_point now)
{
    auto& it = records_[id];
    auto const forgotten = now >= it.hinted_until + limits_.max_hint_duration;
    if (it.hint_length == 0s || forgotten)
    {
        it.hint_length = limits_.hint_duration;
    }
    else if (now >= it.hinted_until)
    {
        it.hint_length =
            std::min(2 * it.hint_length, limits_.max_hint_duration);
    }
    it.hinted_until = now + it.hint_length;
}

void failure_detector::discount_loss(target_id const& id,
                                     domain_id const& domain, time_point now)
{
    auto const found = domains_.find(domain);
    if (found == domains_.end())
    {
        return;
    }
    auto& it = found->second;
    std::erase_if(it.losses, [&](auto const& seen) { return seen.id == id; });
    auto const was_cause = it.causes.erase(id) > 0;
    if (was_cause && it.causes.size() < it.causes_needed && !it.probing)
    {
        it.causes.clear();
        it.suspicion_length = it.length_before;
        it.suspected_until = std::min(it.suspected_until, now);
    }
}

void failure_detector::withdraw_unreachable(target_id const& id,
                                            domain_id const& domain,
                                            time_point now)
{
    auto const it = records_.find(id);
    if (it != records_.end())
    {
        it->second.failures_in_row = 0;
        it->second.excluded_until = std::min(it->second.excluded_until, now);
    }
    auto const at = domains_.find(domain);
    if (at == domains_.end())
    {
        return;
    }
    // The domain's probe fails for the same reason.
    at->second.probing = false;
    discount_loss(id, domain, now);
    if (at->second.causes.empty())
    {
        at->second.suspicion_length = 0s;
    }
}

void failure_detector::remove_target(target_id const& id)
{
    records_.erase(id);
}

} // namespace primrosedeal::dispatch
