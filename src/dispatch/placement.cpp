#include "dispatch/placement.hpp"

#include <algorithm>
#include <tuple>

// Candidates are ranked by health, whether they were tried for the request, and
// outstanding prefill. A random sample is drawn from those that rank best, and
// the target with the fewest running requests (prefill slows each of them) is
// chosen, then the one with the least memory in use, then one in the local
// domain. Choosing the overall minimum instead makes hosts herd, because
// digests lag behind the other hosts' latest choices.
namespace primrosedeal::dispatch
{

namespace
{

/// Targets in the random sample. Larger samples herd
/// (placement_replay_test.cpp), smaller ones balance worse.
constexpr auto sample_size = std::size_t{4};

/// Only candidates with the lowest rank are considered.
using rank = std::tuple<int, bool, std::uint64_t>;

/// Orders candidates of equal rank; the lower one is preferred.
using preference = std::tuple<std::uint64_t, std::uint64_t, bool>;

auto total_load(placement_view const& view, target_id const& id) -> target_load
{
    auto const own = view.loads.at_target(id);
    auto const others = view.others.load_of(id);
    return {own.requests + others.requests,
            own.pending_prefill_tokens + others.pending_prefill_tokens,
            own.memory_tokens + others.memory_tokens};
}

auto has_room(placement_view const& view, placement_request const& it,
              directory::listed_target const& target, double draw) -> bool
{
    if (it.calls)
    {
        auto const own = view.loads.at_target(target.id).requests;
        auto const others =
            calls_elsewhere(*it.calls, view.others.load_of(target.id).requests);
        return has_room_for_call(own + others, target.slots, draw);
    }
    auto const load = total_load(view, target.id);
    auto const needed = it.size.prompt.value() + it.size.output.value();
    auto const fits = it.target_memory == 0 || load.memory_tokens == 0 ||
                      load.memory_tokens + needed <= it.target_memory;
    return load.requests < target.slots && fits;
}

auto tried(placement_request const& it, target_id const& id) -> bool
{
    return std::find(it.tried.begin(), it.tried.end(), id) != it.tried.end();
}

auto wants_requests(placement_view const& view,
                    directory::listed_target const& target, time_point now)
    -> bool
{
    return view.pauses == nullptr || view.pauses->permits(target, now);
}

auto rank_of(placement_view const& view, placement_request const& it,
             directory::listed_target const& target, time_point now) -> rank
{
    auto where = view.detector.health_of(target.id, target.domain, now);
    // Only first attempts probe a domain, so a request is delayed by at most
    // one probe.
    if (!it.tried.empty() && view.detector.domain_unverified(target.domain))
    {
        where = std::max(where, health::suspected);
    }
    return {static_cast<int>(where), tried(it, target.id),
            total_load(view, target.id).pending_prefill_tokens};
}

auto preference_of(placement_view const& view, placement_request const& it,
                   directory::listed_target const& target) -> preference
{
    auto const load = total_load(view, target.id);
    auto const plain = it.size.prompt.value() == 0;
    return {load.requests, plain ? 0 : load.memory_tokens,
            target.domain != it.own_domain};
}

auto use_of(placement_view const& view, target_id const& id)
    -> expected_cost::target_use
{
    auto const own = view.loads.at_target(id);
    auto const others = view.others.load_of(id);
    return {own.requests,
            others.requests,
            {own.pending_prefill_tokens, others.pending_prefill_tokens}};
}

/// Of the candidates that rank best by health, and by whether they were tried,
/// one where the answer is expected early.
template <class Allowed>
auto choose_by_cost(placement_view const& view, placement_request const& it,
                    time_point now, random_source& random,
                    Allowed const& allowed)
    -> std::optional<directory::listed_target>
{
    using group = std::pair<int, bool>;
    auto lowest = std::optional<group>{};
    auto targets = std::vector<directory::listed_target const*>{};
    for (auto const& target : view.targets)
    {
        if (!allowed(target))
        {
            continue;
        }
        auto const [health, was_tried, tokens] = rank_of(view, it, target, now);
        auto const its = group{health, was_tried};
        if (!lowest || its < *lowest)
        {
            lowest = its;
            targets.clear();
        }
        if (its == *lowest)
        {
            targets.push_back(&target);
        }
    }
    if (targets.empty())
    {
        return std::nullopt;
    }
    auto candidates = std::vector<expected_cost::candidate>{};
    candidates.reserve(targets.size());
    for (auto const* const target : targets)
    {
        candidates.push_back(
            view.costs->candidate_at(*target, use_of(view, target->id), now));
        candidates.back().crosses = target->domain != it.own_domain;
    }
    auto const work = view.costs->to_place(
        static_cast<double>(it.size.prompt.value()), it.expected_output,
        it.objective_left, targets.front()->slots);
    return *targets[expected_cost::choose(candidates, work, random)];
}

template <class Allowed>
auto choose_best(placement_view const& view, placement_request const& it,
                 time_point now, random_source& random, Allowed const& allowed)
    -> std::optional<directory::listed_target>
{
    auto lowest = std::optional<rank>{};
    auto ties = std::vector<directory::listed_target const*>{};
    for (auto const& target : view.targets)
    {
        if (!allowed(target))
        {
            continue;
        }
        auto const candidate_rank = rank_of(view, it, target, now);
        if (!lowest || candidate_rank < *lowest)
        {
            lowest = candidate_rank;
            ties.clear();
        }
        if (candidate_rank == *lowest)
        {
            ties.push_back(&target);
        }
    }
    if (ties.empty())
    {
        return std::nullopt;
    }
    auto const* chosen = ties[random.below(ties.size())];
    for (auto i = std::size_t{1}; i < sample_size; ++i)
    {
        auto const* const other = ties[random.below(ties.size())];
        if (preference_of(view, it, *other) < preference_of(view, it, *chosen))
        {
            chosen = other;
        }
    }
    return *chosen;
}

} // namespace

auto place(placement_view const& view, placement_request const& it,
           time_point now, random_source& random)
    -> std::optional<directory::listed_target>
{
    auto const draw = it.calls ? random.unit() : 0.0;
    auto const allowed = [&](directory::listed_target const& target)
    {
        return (it.versions.empty() || it.versions.contains(target.version)) &&
               wants_requests(view, target, now) &&
               view.limiter.permits(target.id, now) &&
               view.gate.permits(target.id, it.arrival) &&
               has_room(view, it, target, draw);
    };
    return view.costs != nullptr && it.size.prompt.value() > 0
               ? choose_by_cost(view, it, now, random, allowed)
               : choose_best(view, it, now, random, allowed);
}

auto place_copy(placement_view const& view, placement_request const& it,
                directory::listed_target const& primary, time_point now,
                random_source& random)
    -> std::optional<directory::listed_target>
{
    auto const usable = [&](directory::listed_target const& target)
    {
        return target.id != primary.id && !tried(it, target.id) &&
               target.version == primary.version &&
               wants_requests(view, target, now) &&
               !view.limiter.limited(target.id) &&
               view.gate.has_ample_room(target.id) &&
               view.detector.health_of(target.id, target.domain, now) ==
                   health::healthy &&
               has_room(view, it, target, 0.0);
    };
    auto const usable_elsewhere = [&](directory::listed_target const& target)
    {
        return usable(target) && target.domain != primary.domain;
    };
    auto found = choose_best(view, it, now, random,
                             [&](directory::listed_target const& target) {
                                 return usable_elsewhere(target) &&
                                        target.domain == it.own_domain;
                             });
    if (!found)
    {
        found = choose_best(view, it, now, random, usable_elsewhere);
    }
    return found ? found : choose_best(view, it, now, random, usable);
}

} // namespace primrosedeal::dispatch
