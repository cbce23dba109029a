#include "dispatch/suspicion.hpp"

#include <algorithm>
#include <set>
#include <utility>

// Error answers count by their moving share rather than by number, since some
// services fail a constant fraction of calls while healthy.
namespace primrosedeal::dispatch
{

auto to_string(evidence it) -> std::string_view
{
    switch (it)
    {
    case evidence::unreachable:
        return "unreachable";
    case evidence::silent:
        return "silent";
    case evidence::failed:
        return "failed";
    case evidence::busy:
        return "busy";
    case evidence::answered:
        return "answered";
    }
    return "unknown";
}

auto suspicion::note(target_id const& id, domain_id const& domain,
                     evidence seen, time_point now) -> bool
{
    auto& it = records_[id];
    auto const before = it.avoided_until;
    auto const remembered = static_cast<double>(limits_.answers_remembered);
    switch (seen)
    {
    case evidence::answered:
        it.failures_in_row = 0;
        it.failed_share -= it.failed_share / remembered;
        it.answers = std::min(it.answers + 1, limits_.answers_remembered);
        it.avoided_until = std::min(it.avoided_until, now);
        prove(domain);
        return false;
    case evidence::busy:
        it.avoided_until = std::max(it.avoided_until, now + limits_.busy_pause);
        return false;
    case evidence::failed:
        it.failed_share += (1 - it.failed_share) / remembered;
        it.answers = std::min(it.answers + 1, limits_.answers_remembered);
        if (it.answers < limits_.answers_remembered / 2 ||
            it.failed_share < limits_.failure_share)
        {
            return false;
        }
        break;
    case evidence::unreachable:
    case evidence::silent:
        note_loss(id, domain, now);
        break;
    }
    constexpr auto most_doublings = 8U;
    auto const doublings = std::min(it.failures_in_row, most_doublings);
    ++it.failures_in_row;
    auto const span = std::min(limits_.first_avoidance * (1 << doublings),
                               limits_.longest_avoidance);
    it.avoided_until = std::max(it.avoided_until, now + span);
    return before <= now;
}

void suspicion::note_loss(target_id const& id, domain_id const& domain,
                          time_point now)
{
    auto& it = domains_[domain];
    auto& recent = it.losses;
    while (!recent.empty() && now - recent.front().at > limits_.domain_window)
    {
        recent.pop_front();
    }
    recent.push_back({now, id});
    auto distinct = std::set<target_id>{};
    for (auto const& seen : recent)
    {
        distinct.insert(seen.id);
    }
    if (std::exchange(it.tested, false))
    {
        it.span = std::min(it.span * 2, limits_.longest_domain_doubt);
        it.doubted_until = now + it.span;
    }
    else if (distinct.size() >= limits_.losses_for_doubt)
    {
        it.span = std::max(it.span, limits_.domain_doubt);
        it.doubted_until = std::max(it.doubted_until, now + it.span);
    }
}

auto suspicion::unproven(domain_id const& domain) const -> bool
{
    auto const it = domains_.find(domain);
    return it != domains_.end() && it->second.span > 0s;
}

void suspicion::sent_to(domain_id const& domain, time_point now)
{
    auto const it = domains_.find(domain);
    if (it != domains_.end() && it->second.span > 0s &&
        now >= it->second.doubted_until)
    {
        it->second.tested = true;
        it->second.doubted_until = now + limits_.domain_test;
    }
}

void suspicion::prove(domain_id const& domain)
{
    auto const it = domains_.find(domain);
    if (it != domains_.end())
    {
        it->second.span = 0s;
        it->second.tested = false;
    }
}

auto suspicion::of(target_id const& id, domain_id const& domain,
                   time_point now) const -> standing
{
    auto const it = records_.find(id);
    if (it != records_.end() && now < it->second.avoided_until)
    {
        return standing::avoided;
    }
    auto const hinted = it != records_.end() && now < it->second.doubtful_until;
    return hinted || doubts(domain, now) ? standing::doubtful
                                         : standing::trusted;
}

auto suspicion::doubts(domain_id const& domain, time_point now) const -> bool
{
    auto const it = domains_.find(domain);
    return it != domains_.end() && now < it->second.doubted_until;
}

void suspicion::hint(target_id const& id, time_point now)
{
    records_[id].doubtful_until = now + limits_.hint_doubt;
}

void suspicion::forget(target_id const& id)
{
    records_.erase(id);
}

} // namespace primrosedeal::dispatch
