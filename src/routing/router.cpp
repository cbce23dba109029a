#include "routing/router.hpp"

#include "routing/affinity.hpp"

#include <algorithm>
#include <vector>

// Consistent hashing with bounded loads: of the targets that are not above
// the bound, the one with the highest rank for the prefix is taken. Where the
// prompt has no whole block, two are drawn and the less full one is taken.

namespace primrosedeal::routing
{

namespace
{

/// Below this share of its slots a target is never too full.
constexpr auto free_fullness = 0.1;

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

auto router::fullness(candidate const& it, time_point now) const -> double
{
    return load_.expected(it.id, now) / std::max(it.slots, 1U);
}

auto router::preferred_by_prefix(work const& item,
                                 std::vector<candidate const*> const& all,
                                 time_point now) const -> candidate const*
{
    if (item.blocks.empty())
    {
        return nullptr;
    }
    auto sum = 0.0;
    for (auto const* it : all)
    {
        sum += fullness(*it, now);
    }
    auto const mean = sum / static_cast<double>(all.size());
    auto const bound = settings_.affinity_bound * mean + free_fullness;
    auto const seed =
        rank_seed(item, item.blocks[key_depth(item.blocks.size()) - 1]);
    candidate const* best = nullptr;
    auto highest = std::uint64_t{0};
    for (auto const* it : all)
    {
        auto const its = rank(seed, it->id);
        if (its >= highest && fullness(*it, now) <= bound)
        {
            best = it;
            highest = its;
        }
    }
    return best;
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
    if (auto const* it = preferred_by_prefix(item, all, now))
    {
        return choice{it->id, choice_cause::affinity,
                      it->domain != item.own_domain};
    }
    auto const& a = *all[random.below(all.size())];
    auto const& b = *all[random.below(all.size())];
    auto const& it = fullness(b, now) < fullness(a, now) ? b : a;
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
