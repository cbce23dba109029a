#include "dispatch/own_link.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::dispatch
{

auto own_link::timed_out(target_id const& target, domain_id const& domain,
                         time_point begun_at, std::set<domain_id> const& listed,
                         time_point now) -> std::optional<own_link_down>
{
    if (begun_at <= last_answer_)
    {
        return std::nullopt;
    }
    if (down())
    {
        ++timeouts_while_down_;
        return std::nullopt;
    }
    while (!recent_.empty() && now - recent_.front().at > limits_.window)
    {
        recent_.pop_front();
    }
    recent_.push_back({now, target, domain});
    auto targets = std::set<target_id>{};
    auto domains = std::set<domain_id>{};
    for (auto const& it : recent_)
    {
        targets.insert(it.target);
        domains.insert(it.domain);
    }
    auto const reaches_nobody = std::includes(domains.begin(), domains.end(),
                                              listed.begin(), listed.end());
    if (!reaches_nobody || targets.size() < limits_.min_targets ||
        domains.size() < limits_.min_domains)
    {
        return std::nullopt;
    }
    down_since_ = recent_.front().at;
    timeouts_while_down_ = recent_.size();
    auto const span = now - *down_since_;
    return own_link_down{std::exchange(recent_, {}), targets.size(),
                         domains.size(), span};
}

auto own_link::answered(time_point now) -> std::optional<own_link_up>
{
    last_answer_ = now;
    recent_.clear();
    auto const since = std::exchange(down_since_, std::nullopt);
    if (!since)
    {
        return std::nullopt;
    }
    return own_link_up{timeouts_while_down_, now - *since};
}

} // namespace primrosedeal::dispatch
