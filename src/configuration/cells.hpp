#pragma once

#include "configuration/document.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// A document as named cells of text: the grain in which edits are compared
/// and merged.
///
/// `defaults.FIELD`, `domains`, `service.NAME`, `model.NAME`,
/// `organisation.NAME` and `exception.SCOPE/FIELD`. Two edits that touch
/// different cells don't disturb each other.
namespace primrosedeal::configuration
{

using cells = std::map<std::string, std::string>;

/// All cells of `it`; its number and its changes are not among them.
auto to_cells(document const& it) -> cells;

/// The document of these cells. Cells and members that this release doesn't
/// know are skipped. Throws std::runtime_error for a cell it can't read.
auto from_cells(cells const& it) -> document;

/// Hash of a cell's text or name; never 0, which stands for "no such cell".
auto cell_hash(std::string_view text) -> std::uint64_t;

/// What an edit does to one cell.
struct cell_change
{
    std::string name;
    /// `cell_hash` of the text that the editor started from; 0: none.
    std::uint64_t before = 0;
    /// The new text; nothing removes the cell.
    std::optional<std::string> after;

    friend auto operator==(cell_change const&, cell_change const&)
        -> bool = default;
};

/// What turns `from` into `to`, by name.
auto difference(cells const& from, cells const& to) -> std::vector<cell_change>;

/// A cell that another accepted edit has changed otherwise.
struct conflict
{
    std::string name;
    std::optional<std::string> mine;
    std::optional<std::string> theirs;
};

struct merge_result
{
    cells merged;
    /// The changes that had an effect, by name.
    std::vector<changed_cell> changed;
    std::vector<conflict> conflicts;
};

/// Applies `changes` to `current`. A change whose cell is not as its editor
/// found it is a conflict, unless the cell already holds what it wants.
auto merge(cells const& current, std::vector<cell_change> const& changes)
    -> merge_result;

/// The changes that an editor made who took `mine` from revision `base`, as
/// far as the history of `current` tells which cells others have changed
/// since. Nothing: the history doesn't reach back to `base`.
auto changes_since(document const& current, revision base, cells const& mine)
    -> std::optional<std::vector<cell_change>>;

} // namespace primrosedeal::configuration
