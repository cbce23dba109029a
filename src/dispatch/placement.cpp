#include "dispatch/placement.hpp"

#include <algorithm>
#include <tuple>

// Candidates are compared by a tuple, most important first: standing, whether
// the request met them, outstanding prefill, running requests (each is slowed
// while a prompt is read beside it), memory, and the domain last. Bytes
// between domains cost little beside a prompt that waits behind another.
namespace primrosedeal::dispatch
{

namespace
{

using rank = std::tuple<int, bool, std::uint64_t, std::uint64_t,
                        std::uint64_t, bool, std::uint64_t>;

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
             directory::listed_target const& target, time_point now,
             random_source& random) -> rank
{
    auto const load = whole_load(view, target.id);
    auto const where = view.doubts.of(target.id, target.domain, now);
    auto const plain = it.size.prompt.value() == 0;
    return {static_cast<int>(where),
            met(it, target.id),
            load.unread_tokens,
            load.requests,
            plain ? 0 : load.memory_tokens,
            target.domain != it.own_domain,
            random()};
}

template <class Allowed>
auto best(placement_view const& view, placement_request const& it,
          time_point now, random_source& random, Allowed const& allowed)
    -> std::optional<directory::listed_target>
{
    auto found = std::optional<std::pair<rank, directory::listed_target>>{};
    for (auto const& target : view.targets)
    {
        if (!allowed(target))
        {
            continue;
        }
        auto const its = rank_of(view, it, target, now, random);
        if (!found || its < found->first)
        {
            found.emplace(its, target);
        }
    }
    return found ? std::optional{std::move(found->second)} : std::nullopt;
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
    auto elsewhere = it;
    auto found = best(view, elsewhere, now, random,
                      [&](directory::listed_target const& target) {
                          return usable(target) &&
                                 target.domain != primary.domain;
                      });
    return found ? found : best(view, elsewhere, now, random, usable);
}

} // namespace primrosedeal::dispatch
