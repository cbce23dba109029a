#include "routing/router.hpp"

#include <algorithm>
#include <vector>

// Two eligible targets are drawn and the one with less expected load for its
// slots is taken: late reports cannot send every host to the same target.

namespace primrosedeal::routing
{

namespace
{

auto excluded(target_id const& target, work const& item) -> bool
{
    return std::ranges::find(item.excluded, target) != item.excluded.end();
}

auto eligible(work const& item, std::span<candidate const> targets,
              target_state state) -> std::vector<candidate const*>
{
    auto all = std::vector<candidate const*>{};
    for (auto const& it : targets)
    {
        if (it.state == state && serves(it, item) && !excluded(it.id, item))
        {
            all.push_back(&it);
        }
    }
    return all;
}

} // namespace

auto to_string(choice_cause it) -> std::string_view
{
    switch (it)
    {
    case choice_cause::preferred:
        return "preferred";
    case choice_cause::affinity:
        return "affinity";
    case choice_cause::spread:
        return "spread";
    }
    return "unknown";
}

auto serves(candidate const& target, work const& item) -> bool
{
    if (item.model.value().empty())
    {
        return true;
    }
    return std::ranges::any_of(
        target.models,
        [&](loaded_model const& it)
        {
            auto const has_adapter =
                item.adapter.value().empty() ||
                std::ranges::find(it.adapters, item.adapter) !=
                    it.adapters.end();
            return it.model == item.model && it.version == item.version &&
                   has_adapter;
        });
}

router::router(router_settings settings)
    : settings_(settings), load_(settings.load)
{
}

auto router::choose(work const& item, std::span<candidate const> targets,
                    time_point now, random_source& random) -> outcome
{
    auto all = eligible(item, targets, target_state::live);
    if (all.empty())
    {
        all = eligible(item, targets, target_state::suspect);
    }
    if (all.empty())
    {
        return reason::no_target;
    }
    auto const fullness = [&](candidate const& it)
    {
        return load_.expected(it.id, now) / std::max(it.slots, 1U);
    };
    auto const& a = *all[random.below(all.size())];
    auto const& b = *all[random.below(all.size())];
    auto const& it = fullness(b) < fullness(a) ? b : a;
    return choice{it.id, choice_cause::spread, it.domain != item.own_domain};
}

void router::dispatched(target_id const& target, work const& /*item*/,
                        time_point now)
{
    load_.dispatched(target, now);
}

void router::finished(target_id const& target, time_point now)
{
    load_.finished(target, now);
}

void router::reported(target_id const& target, load_report report)
{
    load_.reported(target, report);
}

void router::forget(target_id const& target)
{
    load_.forget(target);
}

} // namespace primrosedeal::routing
