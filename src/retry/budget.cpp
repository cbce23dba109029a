#include "retry/budget.hpp"

#include <algorithm>

// Each request credits a fraction of a retry to the accounts of its service and
// its organisation; each retry is charged to both. Services are few and
// configured. Organisations are many, so only recently used ones have an
// account. An evicted one restarts with the initial balance; the service's
// account still limits the total.

namespace primrosedeal::retry
{

auto budget::service_account(service_id const& service) -> double&
{
    return services_.try_emplace(service, settings_.initial_balance)
        .first->second;
}

auto budget::organisation_account(organisation_id const& organisation)
    -> double&
{
    auto it = organisations_.find(organisation);
    if (it != organisations_.end())
    {
        lru_order_.splice(lru_order_.begin(), lru_order_,
                          it->second.lru_position);
        return it->second.balance;
    }
    if (organisations_.size() >= settings_.max_organisations)
    {
        organisations_.erase(lru_order_.back());
        lru_order_.pop_back();
    }
    lru_order_.push_front(organisation);
    auto const new_account =
        account{settings_.initial_balance, lru_order_.begin()};
    return organisations_.emplace(organisation, new_account)
        .first->second.balance;
}

void budget::request(service_id const& service,
                     organisation_id const& organisation)
{
    for (auto* it :
         {&service_account(service), &organisation_account(organisation)})
    {
        *it = std::min(*it + settings_.ratio, settings_.max_balance);
    }
}

auto budget::retry(service_id const& service,
                   organisation_id const& organisation) -> decision
{
    auto& service_balance = service_account(service);
    auto& organisation_balance = organisation_account(organisation);
    if (service_balance < 1)
    {
        return decision::service_exhausted;
    }
    if (organisation_balance < 1)
    {
        return decision::organisation_exhausted;
    }
    service_balance -= 1;
    organisation_balance -= 1;
    return decision::allowed;
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
