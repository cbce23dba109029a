#include "serve/placement.hpp"

#include <algorithm>

namespace primrosedeal::serve
{

namespace
{

constexpr auto come_back = duration{2s};

} // namespace

placement::placement(domain_id own_domain, std::uint64_t seed,
                     metrics::process_metrics& counters)
    : own_domain_(std::move(own_domain)), random_(seed), counters_(counters),
      router_(routing::router_settings{}), budget_(retry::budget_settings{}),
      resumes_(retry::resume_budget_settings{}),
      view_(std::make_shared<target_view const>())
{
}

void placement::set_targets(std::shared_ptr<target_view const> view)
{
    auto const gone = [&](target_entry const& old)
    {
        auto const same = [&](target_entry const& it)
        {
            return it.what.id == old.what.id;
        };
        return std::ranges::none_of(view->targets, same);
    };
    for (auto const& it : view_->targets)
    {
        if (gone(it))
        {
            router_.remove_target(it.what.id);
            resumes_.forget(it.what.id);
        }
    }
    view_ = std::move(view);
    candidates_.clear();
    for (auto const& it : view_->targets)
    {
        candidates_[it.service].push_back(it.what);
    }
}

void placement::request(service_id const& service, organisation_id const& of)
{
    budget_.request(service, of);
}

auto placement::place(placement_request const& it, time_point now)
    -> std::variant<placed, not_placed>
{
    auto const answer = choose(it, now);
    if (auto const* const why = std::get_if<reason>(&answer))
    {
        return not_placed{*why, come_back};
    }
    if (it.retry)
    {
        if (!may_retry(it))
        {
            return not_placed{reason::retry_budget_exhausted, come_back};
        }
        counters_.retried(*it.retry);
    }
    auto const& choice = std::get<routing::choice>(answer);
    auto const* const target = find(choice.target);
    router_.dispatched(choice.target, it.item, now);
    return placed{*target, version_at(target->what, it.item)};
}

/// A resume has its own budget for each target and failure domain, so that the
/// work of a lost target does not overrun the others.
auto placement::choose(placement_request const& it, time_point now)
    -> routing::outcome
{
    auto item = it.item;
    item.own_domain = own_domain_;
    auto const& targets = candidates_[it.service];
    auto excluded =
        std::vector<target_id>{item.excluded.begin(), item.excluded.end()};
    while (true)
    {
        item.excluded = excluded;
        auto answer = router_.choose(item, targets, now, random_);
        auto const* const found = std::get_if<routing::choice>(&answer);
        if (found == nullptr || !is_resume(it))
        {
            return answer;
        }
        auto const& domain = find(found->target)->what.domain;
        if (resumes_.take(found->target, domain, now))
        {
            return answer;
        }
        excluded.push_back(found->target);
    }
}

auto placement::is_resume(placement_request const& it) -> bool
{
    return it.item.resume && it.retry &&
           it.retry != retry_reason::early_second_attempt;
}

auto placement::may_retry(placement_request const& it) -> bool
{
    return is_resume(it) || budget_.retry(it.service, it.organisation) ==
                                retry::decision::allowed;
}

void placement::finished(target_id const& target, time_point now)
{
    router_.finished(target, now);
}

void placement::reported(target_id const& target,
                         routing::load_report const& it)
{
    router_.reported(target, it);
}

auto placement::find(target_id const& target) const -> target_entry const*
{
    auto const found =
        std::ranges::find_if(view_->targets, [&](target_entry const& it)
                             { return it.what.id == target; });
    return found == view_->targets.end() ? nullptr : &*found;
}

auto placement::pressure(time_point now) const -> admission::target_backlog
{
    auto it = admission::target_backlog{};
    for (auto const& target : view_->targets)
    {
        auto const takes_work =
            target.what.state == routing::target_state::live &&
            !target.what.models.empty();
        if (!takes_work)
        {
            continue;
        }
        auto const slots = static_cast<double>(target.what.slots);
        auto const load = router_.load().expected(target.what.id, now);
        it.waiting += std::max(load - slots, 0.0);
        it.slots += slots;
    }
    return it;
}

auto version_at(routing::candidate const& target,
                routing::routing_request const& item) -> model_version
{
    for (auto const& it : target.models)
    {
        auto const fits =
            it.model == item.model &&
            (item.version.value().empty() || it.version == item.version);
        if (fits)
        {
            return it.version;
        }
    }
    return item.version;
}

} // namespace primrosedeal::serve
