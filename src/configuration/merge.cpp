#include "configuration/cells.hpp"

#include <algorithm>
#include <xxhash.h>

// Comparing hashes of what a cell held is enough to tell whose change it is,
// so the history needs no old texts.
namespace primrosedeal::configuration
{
namespace
{

auto text_of(cells const& it, std::string const& name)
    -> std::optional<std::string>
{
    auto const found = it.find(name);
    return found == it.end() ? std::nullopt : std::optional{found->second};
}

auto hash_of(std::optional<std::string> const& it) -> std::uint64_t
{
    return it ? cell_hash(*it) : 0;
}

} // namespace

auto cell_hash(std::string_view text) -> std::uint64_t
{
    auto const hash = XXH64(text.data(), text.size(), 0);
    return hash == 0 ? 1 : hash;
}

auto difference(cells const& from, cells const& to) -> std::vector<cell_change>
{
    auto changes = std::vector<cell_change>{};
    for (auto const& [name, text] : to)
    {
        auto const before = text_of(from, name);
        if (before != text)
        {
            changes.push_back({name, hash_of(before), text});
        }
    }
    for (auto const& [name, text] : from)
    {
        if (!to.contains(name))
        {
            changes.push_back({name, cell_hash(text), std::nullopt});
        }
    }
    return changes;
}

auto merge(cells const& current, std::vector<cell_change> const& changes)
    -> merge_result
{
    auto result = merge_result{current, {}, {}};
    for (auto const& change : changes)
    {
        auto const theirs = text_of(current, change.name);
        if (theirs == change.after)
        {
            continue;
        }
        if (hash_of(theirs) != change.before)
        {
            result.conflicts.push_back({change.name, change.after, theirs});
            continue;
        }
        result.changed.push_back({cell_hash(change.name), change.before});
        if (change.after)
        {
            result.merged[change.name] = *change.after;
        }
        else
        {
            result.merged.erase(change.name);
        }
    }
    return result;
}

auto changes_since(document const& current, revision base, cells const& mine)
    -> std::optional<std::vector<cell_change>>
{
    if (base > current.number)
    {
        return std::nullopt;
    }
    // The first change of a cell after `base` tells what it held at `base`.
    auto at_base = std::map<std::uint64_t, std::uint64_t>{};
    auto oldest = current.number.value() + 1;
    for (auto const& change : current.changes)
    {
        oldest = std::min(oldest, change.made.value());
        if (change.made <= base)
        {
            continue;
        }
        if (change.wide)
        {
            return std::nullopt;
        }
        for (auto const& cell : change.cells)
        {
            at_base.emplace(cell.name_hash, cell.before_hash);
        }
    }
    if (base.value() + 1 < oldest)
    {
        return std::nullopt;
    }
    auto changes = std::vector<cell_change>{};
    for (auto& change : difference(to_cells(current), mine))
    {
        auto const found = at_base.find(cell_hash(change.name));
        if (found != at_base.end())
        {
            change.before = found->second;
        }
        // What the editor left as it was is not the editor's change.
        if (hash_of(change.after) != change.before)
        {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

} // namespace primrosedeal::configuration
