#include "retry/budget.hpp"

#include <algorithm>

// Each request saves a fraction of a retry in its service's and its
// organisation's account, each retry takes a whole one from both. Services
// are few and configured; organisations are many, so only the recently used
// ones have an account. A forgotten one starts again with the reserve, and
// the service's account still bounds the sum.

namespace primrosedeal::retry
{

auto budget::service_account(service_id const& service) -> double&
{
    return services_.try_emplace(service, settings_.reserve).first->second;
}

auto budget::organisation_account(organisation_id const& organisation)
    -> double&
{
    auto it = organisations_.find(organisation);
    if (it != organisations_.end())
    {
        uses_.splice(uses_.begin(), uses_, it->second.use);
        return it->second.saved;
    }
    if (organisations_.size() >= settings_.max_organisations)
    {
        organisations_.erase(uses_.back());
        uses_.pop_back();
    }
    uses_.push_front(organisation);
    auto const fresh = account{settings_.reserve, uses_.begin()};
    return organisations_.emplace(organisation, fresh).first->second.saved;
}

void budget::request(service_id const& service,
                     organisation_id const& organisation)
{
    for (auto* it :
         {&service_account(service), &organisation_account(organisation)})
    {
        *it = std::min(*it + settings_.ratio, settings_.max_saved);
    }
}

auto budget::retry(service_id const& service,
                   organisation_id const& organisation) -> spent
{
    auto& of_service = service_account(service);
    auto& of_organisation = organisation_account(organisation);
    if (of_service < 1)
    {
        return spent::service;
    }
    if (of_organisation < 1)
    {
        return spent::organisation;
    }
    of_service -= 1;
    of_organisation -= 1;
    return spent::no;
}

auto backoff(backoff_settings const& settings, std::uint32_t attempt,
             random_source& random) -> duration
{
    constexpr auto max_doublings = std::uint32_t{20};
    auto const doublings =
        std::min(attempt - std::min(attempt, 1U), max_doublings);
    auto const ceiling =
        std::min(settings.limit, settings.base * (1U << doublings));
    return duration{static_cast<duration::rep>(
        random.below(static_cast<std::uint64_t>(ceiling.count())))};
}

} // namespace primrosedeal::retry
