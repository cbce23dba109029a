#include "dispatch/placement.hpp"

#include <algorithm>
#include <tuple>

// Candidates are ranked by standing, whether the request has tried them, and
// outstanding prefill. From those that rank first a random sample is taken; the
// one with the fewest running requests (prefill slows each of them) wins, then
// the least memory, then the local domain. Taking the overall minimum instead
// makes hosts herd: digests are older than the other hosts' last choices.
namespace primrosedeal::dispatch
{

namespace
{

/// Size of the random sample. Larger samples herd (placement_replay_test.cpp),
/// smaller ones balance worse.
constexpr auto drawn = std::size_t{4};

/// What a candidate must not be worse in than any other.
using rank = std::tuple<int, bool, std::uint64_t>;

/// What two candidates of the same rank are compared by.
using preference = std::tuple<std::uint64_t, std::uint64_t, bool>;

auto whole_load(placement_view const& view, target_id const& id) -> target_load
{
    auto const own = view.loads.of(id);
    auto const others = view.others.load_of(id);
    return {own.requests + others.requests,
            own.unread_tokens + others.unread_tokens,
            own.memory_tokens + others.memory_tokens};
}

auto has_room(target_load const& load, directory::listed_target const& target,
              placement_request const& it) -> bool
{
    auto const needed = it.size.prompt.value() + it.size.output.value();
    auto const fits = it.target_memory == 0 || load.memory_tokens == 0 ||
                      load.memory_tokens + needed <= it.target_memory;
    return load.requests < target.slots && fits;
}

auto met(placement_request const& it, target_id const& id) -> bool
{
    return std::find(it.met.begin(), it.met.end(), id) != it.met.end();
}

auto rank_of(placement_view const& view, placement_request const& it,
             directory::listed_target const& target, time_point now) -> rank
{
    auto where = view.doubts.of(target.id, target.domain, now);
    // A request that has failed somewhere tests no domain.
    if (!it.met.empty() && view.doubts.unproven(target.domain))
    {
        where = std::max(where, standing::doubtful);
    }
    return {static_cast<int>(where), met(it, target.id),
            whole_load(view, target.id).unread_tokens};
}

auto preference_of(placement_view const& view, placement_request const& it,
                   directory::listed_target const& target) -> preference
{
    auto const load = whole_load(view, target.id);
    auto const plain = it.size.prompt.value() == 0;
    return {load.requests, plain ? 0 : load.memory_tokens,
            target.domain != it.own_domain};
}

template <class Allowed>
auto best(placement_view const& view, placement_request const& it,
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
        auto const its = rank_of(view, it, target, now);
        if (!lowest || its < *lowest)
        {
            lowest = its;
            ties.clear();
        }
        if (its == *lowest)
        {
            ties.push_back(&target);
        }
    }
    if (ties.empty())
    {
        return std::nullopt;
    }
    auto const* chosen = ties[random.below(ties.size())];
    for (auto i = std::size_t{1}; i < drawn; ++i)
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
    return best(view, it, now, random,
                [&](directory::listed_target const& target)
                { return has_room(whole_load(view, target.id), target, it); });
}

auto place_copy(placement_view const& view, placement_request const& it,
                directory::listed_target const& primary, time_point now,
                random_source& random)
    -> std::optional<directory::listed_target>
{
    auto const usable = [&](directory::listed_target const& target)
    {
        return target.id != primary.id && !met(it, target.id) &&
               view.doubts.of(target.id, target.domain, now) ==
                   standing::trusted &&
               has_room(whole_load(view, target.id), target, it);
    };
    auto found =
        best(view, it, now, random,
             [&](directory::listed_target const& target)
             { return usable(target) && target.domain != primary.domain; });
    return found ? found : best(view, it, now, random, usable);
}

} // namespace primrosedeal::dispatch
