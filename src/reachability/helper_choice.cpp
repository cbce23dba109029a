#include "reachability/helper_choice.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace primrosedeal::reachability
{

namespace
{

using candidate_list = std::vector<helper_candidate const*>;

/// `it` is not empty.
auto less_used_of_two(candidate_list const& it, random_source& random)
    -> host_id
{
    auto const first = random.below(it.size());
    // Of the others each is as likely as the second one.
    auto const offset = it.size() == 1 ? 0 : 1 + random.below(it.size() - 1);
    auto const* const a = it[first];
    auto const* const b = it[(first + offset) % it.size()];
    return b->tunnels < a->tunnels ? b->id : a->id;
}

} // namespace

auto choose_helper(std::span<helper_candidate const> candidates,
                   domain_id const& own, random_source& random)
    -> std::optional<host_id>
{
    auto usable = candidate_list{};
    auto tried_domains = std::set<domain_id>{};
    auto own_hosts = std::size_t{0};
    for (auto const& it : candidates)
    {
        own_hosts += it.domain == own ? 1 : 0;
        if (it.tried)
        {
            tried_domains.insert(it.domain);
        }
        else if (!it.excluded)
        {
            usable.push_back(&it);
        }
    }
    auto same_domain = candidate_list{};
    auto untried_domains = candidate_list{};
    for (auto const* const it : usable)
    {
        if (tried_domains.count(it->domain) > 0)
        {
            continue;
        }
        untried_domains.push_back(it);
        if (it->domain == own)
        {
            same_domain.push_back(it);
        }
    }
    if (!same_domain.empty() && 2 * same_domain.size() >= own_hosts)
    {
        return less_used_of_two(same_domain, random);
    }
    if (!untried_domains.empty())
    {
        return less_used_of_two(untried_domains, random);
    }
    if (!usable.empty())
    {
        return less_used_of_two(usable, random);
    }
    return std::nullopt;
}

void helper_backoff::failed(host_id const& helper, time_point now)
{
    // A record is dropped once its helper has not failed for a while.
    std::erase_if(records_, [&](auto const& it)
                  { return now - it.second.until > max_helper_exclusion; });
    auto& state = records_[helper];
    // Failures of concurrent tunnels count once.
    if (now < state.until)
    {
        return;
    }
    state.length = std::clamp(state.length * 2, initial_helper_exclusion,
                              max_helper_exclusion);
    state.until = now + state.length;
}

void helper_backoff::succeeded(host_id const& helper)
{
    records_.erase(helper);
}

auto helper_backoff::excluded(host_id const& helper, time_point now) const
    -> bool
{
    auto const it = records_.find(helper);
    return it != records_.end() && now < it->second.until;
}

} // namespace primrosedeal::reachability
