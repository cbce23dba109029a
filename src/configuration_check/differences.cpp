#include "configuration_check/differences.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace primrosedeal::configuration_check
{

namespace
{

using members = std::vector<std::string>;

template <class Value>
void note(members& out, char const* name, Value const& a, Value const& b)
{
    if (!(a == b))
    {
        out.emplace_back(name);
    }
}

auto weights(routes::route const& it)
    -> std::vector<std::pair<std::string, std::uint32_t>>
{
    auto out = std::vector<std::pair<std::string, std::uint32_t>>{};
    for (auto const& share : it.split)
    {
        out.emplace_back(share.service.value(), share.weight);
    }
    return out;
}

auto changed_members(routes::route const& a, routes::route const& b) -> members
{
    auto out = members{};
    note(out, "name", a.name, b.name);
    note(out, "kind", a.kind, b.kind);
    note(out, "timeout", a.timeout, b.timeout);
    note(out, "objective", a.objective, b.objective);
    note(out, "priority", a.priority, b.priority);
    note(out, "attempts", a.max_attempts, b.max_attempts);
    note(out, "anonymous", a.anonymous, b.anonymous);
    note(out, "resumable", a.resumable, b.resumable);
    note(out, "objective for pauses", a.gap_objective, b.gap_objective);
    note(out, "split", weights(a), weights(b));
    return out;
}

auto changed_members(routes::service const& a, routes::service const& b)
    -> members
{
    auto out = members{};
    note(out, "health path", a.health_path, b.health_path);
    note(out, "connections", a.max_connections, b.max_connections);
    note(out, "engine", a.engine.has_value(), b.engine.has_value());
    if (a.engine && b.engine)
    {
        note(out, "slots", a.engine->slots, b.engine->slots);
        note(out, "memory", a.engine->memory, b.engine->memory);
        note(out, "continuous copies", a.engine->supports_continuous_copy,
             b.engine->supports_continuous_copy);
        note(out, "copies on demand", a.engine->supports_copy_on_demand,
             b.engine->supports_copy_on_demand);
        note(out, "copy lifetime", a.engine->copy_lifetime,
             b.engine->copy_lifetime);
    }
    return out;
}

auto sorted(std::vector<std::string> it) -> std::vector<std::string>
{
    std::sort(it.begin(), it.end());
    return it;
}

auto changed_members(routes::organisation const& a,
                     routes::organisation const& b) -> members
{
    auto out = members{};
    note(out, "priority", a.priority, b.priority);
    auto const before = sorted(a.keys);
    auto const after = sorted(b.keys);
    auto added = std::vector<std::string>{};
    auto removed = std::vector<std::string>{};
    std::set_difference(after.begin(), after.end(), before.begin(),
                        before.end(), std::back_inserter(added));
    std::set_difference(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(removed));
    if (!added.empty() || !removed.empty())
    {
        out.push_back("keys (" + std::to_string(added.size()) + " added, " +
                      std::to_string(removed.size()) + " removed)");
    }
    return out;
}

auto name_of(routes::route const& it) -> std::string
{
    return "route " + it.host + it.path_prefix;
}

auto name_of(routes::service const& it) -> std::string
{
    return "service " + it.id.value();
}

auto name_of(routes::organisation const& it) -> std::string
{
    return "organisation " + it.id.value();
}

template <class Entry>
auto by_name(std::vector<Entry> const& all)
    -> std::map<std::string, Entry const*>
{
    auto out = std::map<std::string, Entry const*>{};
    for (auto const& it : all)
    {
        out.emplace(name_of(it), &it);
    }
    return out;
}

template <class Entry>
void compare_entries(std::vector<Entry> const& in_force,
                     std::vector<Entry> const& next,
                     std::vector<difference>& out)
{
    auto const before = by_name(in_force);
    auto const after = by_name(next);
    for (auto const& [name, it] : before)
    {
        auto const found = after.find(name);
        if (found == after.end())
        {
            out.push_back({change::removed, name});
            continue;
        }
        auto differing = changed_members(*it, *found->second);
        if (!differing.empty())
        {
            out.push_back({change::changed, name, std::move(differing)});
        }
    }
    for (auto const& [name, it] : after)
    {
        if (!before.contains(name))
        {
            out.push_back({change::added, name});
        }
    }
}

} // namespace

auto to_string(change it) -> std::string_view
{
    switch (it)
    {
    case change::added:
        return "added";
    case change::removed:
        return "removed";
    case change::changed:
        return "changed";
    }
    return "unknown";
}

auto compare(routes::configuration const& in_force,
             routes::configuration const& next) -> comparison
{
    auto out = comparison{};
    compare_entries(in_force.routes, next.routes, out.differences);
    compare_entries(in_force.services, next.services, out.differences);
    compare_entries(in_force.organisations, next.organisations,
                    out.differences);
    auto limits = members{};
    auto const& a = in_force.limits;
    auto const& b = next.limits;
    note(limits, "head bytes", a.head_bytes, b.head_bytes);
    note(limits, "body bytes", a.body_bytes, b.body_bytes);
    note(limits, "head timeout", a.head_timeout, b.head_timeout);
    note(limits, "idle timeout", a.idle_timeout, b.idle_timeout);
    if (!limits.empty())
    {
        out.differences.push_back(
            {change::changed, "limits", std::move(limits)});
    }
    if (next.version.value() <= in_force.version.value())
    {
        out.version = finding{
            {section::document, 0, member::version},
            "version " + std::to_string(next.version.value()) +
                " is not above " + std::to_string(in_force.version.value()) +
                ", which is in force"};
    }
    return out;
}

} // namespace primrosedeal::configuration_check
