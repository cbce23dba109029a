#include "routing/router.hpp"

#include "routing/affinity.hpp"

#include <algorithm>
#include <cmath>

// Three strategies propose targets, and the target with the lowest cost is
// chosen. The cost is the part of the delay until the first token that differs
// between targets: blocks to compute, crossing to another failure domain,
// requests above the load bound, requests above the slots. The strategies:
// - prefix hints propose targets that have a part of the prompt cached;
// - rendezvous hashing with bounded loads proposes the targets that all hosts
//   prefer for this prefix, one in the own failure domain and one in any;
// - two targets sampled at random in the own failure domain and two in any, so
//   that delayed reports do not send every host to the same target.
// Suspect targets are considered only if no live target is eligible.

namespace primrosedeal::routing
{

namespace
{

/// Lower limit of the load bound, as a share of a target's slots.
constexpr auto min_load_bound = 0.1;

auto excluded(target_id const& target, routing_request const& item) -> bool
{
    return std::ranges::find(item.excluded, target) != item.excluded.end();
}

auto slots_of(candidate const& it) -> double
{
    return std::max(it.slots, 1U);
}

/// Number of requests that a target may have within the bound, at least 1.
auto max_requests(candidate const& it, double load_bound) -> double
{
    return std::max(std::ceil(load_bound * slots_of(it)), 1.0);
}

} // namespace

auto to_string(choice_cause it) -> std::string_view
{
    switch (it)
    {
    case choice_cause::preferred:
        return "preferred";
    case choice_cause::warm:
        return "warm";
    case choice_cause::affinity:
        return "affinity";
    case choice_cause::spread:
        return "spread";
    }
    return "unknown";
}

auto serves(candidate const& target, routing_request const& item) -> bool
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
            auto const right_version =
                item.version.value().empty() || it.version == item.version;
            return it.model == item.model && right_version && has_adapter;
        });
}

router::router(router_settings settings)
    : settings_(settings), load_(settings.load), hints_(settings.hints)
{
}

auto router::eligible_targets(routing_request const& item,
                              std::span<candidate const> targets,
                              target_state state, time_point now) const
    -> std::vector<eligible_target>
{
    auto const depth = key_depth(item.blocks.size());
    auto const seed = depth == 0 ? 0 : rank_seed(item, item.blocks[depth - 1]);
    auto all = std::vector<eligible_target>{};
    for (auto const& it : targets)
    {
        if (it.state == state && serves(it, item) && !excluded(it.id, item))
        {
            auto const target_rank = depth == 0 ? 0 : rank(seed, it.id);
            all.push_back({&it, load_.expected(it.id, now),
                           it.domain != item.own_domain, target_rank});
        }
    }
    return all;
}

auto router::load_bound(std::vector<eligible_target> const& all) const -> double
{
    auto sum = 0.0;
    for (auto const& it : all)
    {
        sum += it.load / slots_of(*it.target);
    }
    auto const mean = sum / static_cast<double>(all.size());
    return std::max(settings_.load_bound_factor * mean, min_load_bound);
}

auto router::cost(eligible_target const& it, double load_bound,
                  std::size_t uncached_blocks) const -> double
{
    auto const slots = slots_of(*it.target);
    auto const over_bound =
        std::max(it.load + 1 - max_requests(*it.target, load_bound), 0.0);
    auto const over_slots = std::max(it.load + 1 - slots, 0.0);
    auto const cross_domain =
        it.cross_domain ? settings_.cross_domain_cost : 0us;
    return static_cast<double>(uncached_blocks) *
               to_seconds(settings_.block_cost) +
           over_bound * to_seconds(settings_.over_bound_cost) +
           over_slots * to_seconds(settings_.over_slots_cost) +
           to_seconds(cross_domain);
}

auto router::is_full(routing_request const& item,
                     eligible_target const& it) const -> bool
{
    if (item.resume)
    {
        return false;
    }
    auto const priority_steps = std::max(item.priority + 1, 0);
    auto const queue_allowance = settings_.max_queue_share * priority_steps;
    return it.load >= slots_of(*it.target) * (1 + queue_allowance);
}

auto router::highest_ranked(std::vector<eligible_target> const& all,
                            double load_bound, bool any_domain) const
    -> eligible_target const*
{
    eligible_target const* first = nullptr;
    for (auto const& it : all)
    {
        auto const in_scope = any_domain || !it.cross_domain;
        auto const within_bound =
            it.load + 1 <= max_requests(*it.target, load_bound);
        if (in_scope && within_bound &&
            (first == nullptr || it.rank > first->rank))
        {
            first = &it;
        }
    }
    return first;
}

auto router::sample(std::vector<eligible_target> const& all,
                    random_source& random)
    -> std::vector<eligible_target const*>
{
    auto in_domain = std::vector<eligible_target const*>{};
    for (auto const& it : all)
    {
        if (!it.cross_domain)
        {
            in_domain.push_back(&it);
        }
    }
    auto sampled = std::vector<eligible_target const*>{
        &all[random.below(all.size())], &all[random.below(all.size())]};
    for (auto n = 0; n < 2 && !in_domain.empty(); ++n)
    {
        sampled.push_back(in_domain[random.below(in_domain.size())]);
    }
    return sampled;
}

auto router::cheapest(routing_request const& item,
                      std::vector<eligible_target> const& all,
                      random_source& random) const -> scored_target
{
    auto const limit = load_bound(all);
    auto const warm = hints_.warm_targets(item.blocks);
    auto found = scored_target{};
    auto const consider = [&](eligible_target const& it, choice_cause cause,
                              std::size_t assumed_blocks)
    {
        auto const hint =
            std::ranges::find(warm, it.target->id, &warm_target::target);
        auto const hinted = hint == warm.end() ? 0 : hint->blocks;
        auto const uncached =
            item.blocks.size() - std::max(hinted, assumed_blocks);
        auto const candidate_cost = cost(it, limit, uncached);
        if (found.it == nullptr || candidate_cost < found.cost)
        {
            found = {&it, cause, candidate_cost};
        }
    };
    for (auto const& each : warm)
    {
        auto const it = std::ranges::find(
            all, each.target, [](eligible_target const& o) -> auto const& {
                return o.target->id;
            });
        if (it != all.end())
        {
            consider(*it, choice_cause::warm, 0);
        }
    }
    if (!item.blocks.empty())
    {
        auto const copy_locally =
            random.unit() < settings_.local_copy_probability;
        auto const all_blocks = item.blocks.size();
        if (auto const* it = highest_ranked(all, limit, false))
        {
            consider(*it, choice_cause::affinity,
                     copy_locally ? all_blocks : 0);
        }
        if (auto const* it = highest_ranked(all, limit, true))
        {
            consider(*it, choice_cause::affinity, all_blocks);
        }
    }
    for (auto const* it : sample(all, random))
    {
        consider(*it, choice_cause::spread, 0);
    }
    return found;
}

auto router::choose(routing_request const& item,
                    std::span<candidate const> targets, time_point now,
                    random_source& random) const -> outcome
{
    auto all = eligible_targets(item, targets, target_state::live, now);
    if (all.empty())
    {
        all = eligible_targets(item, targets, target_state::suspect, now);
    }
    if (all.empty())
    {
        return reason::no_target;
    }
    for (auto const& it : all)
    {
        if (item.preferred == it.target->id && !is_full(item, it))
        {
            return choice{it.target->id, choice_cause::preferred,
                          it.cross_domain};
        }
    }
    auto const found = cheapest(item, all, random);
    if (is_full(item, *found.it))
    {
        return reason::overloaded;
    }
    return choice{found.it->target->id, found.cause, found.it->cross_domain};
}

void router::dispatched(target_id const& target, routing_request const& item,
                        time_point now)
{
    load_.dispatched(target, now);
    hints_.dispatched(target, item.blocks);
}

void router::finished(target_id const& target, time_point now)
{
    load_.finished(target, now);
}

void router::reported(target_id const& target, load_report report)
{
    load_.reported(target, report);
}

void router::cache_events(target_id const& target,
                          std::span<cache_event const> events, bool gap)
{
    hints_.cache_events(target, events, gap);
}

void router::remove_target(target_id const& target)
{
    load_.remove_target(target);
    hints_.remove_target(target);
}

} // namespace primrosedeal::routing
