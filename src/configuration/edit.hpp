#pragma once

#include "configuration/cells.hpp"
#include "configuration/stored_form.hpp"
#include "external/guarded_write.hpp"

#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

/// The course of one operator's edit, from reading the accepted document to
/// knowing whether the edit is accepted.
///
/// Feed it the answers to its steps, one at a time. It writes only by
/// compare-and-swap, merges with what others accepted meanwhile where the
/// cells differ, and settles a lost answer by reading the change ids back.
namespace primrosedeal::configuration
{

/// Thrown by a plan that can't be made from the document it is given.
class edit_refused : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Says, from the first document read, what the edit changes.
using edit_plan =
    std::function<std::vector<cell_change>(document const& current)>;

struct edit_request
{
    change_id id;
    std::string author;
    edit_plan plan;
    /// An earlier run with this id and plan ended as unknown: its write may
    /// still be under way.
    bool repeated = false;
    /// Stop before the first write.
    bool dry_run = false;
};

struct edit_settings
{
    /// Reads after a lost answer, or of a service that doesn't answer.
    unsigned max_tries = 6;
    /// Writes that may lose a race.
    unsigned max_rounds = 100;
    external::backoff_settings backoff{50ms, 2s};
};

/// The accepted document as the service holds it; number 0: none yet.
struct document_view
{
    document content;
    external::store_revision modified;
    unsigned format = stored_format;
    /// Parts that the service holds, so that they need not be put again.
    std::set<part_name> parts{};
};

/// Read the accepted document; answer by `on_document` or `on_read_failure`.
struct read_document
{
};

/// Put those parts that the service may lack, then swap the head if it is as
/// of `expected`; answer by `on_written`, `on_condition_failed` or
/// `on_write_failure`.
struct write_document
{
    encoded_document content;
    external::store_revision expected;
};

/// Call `on_pause_over` after `how_long`.
struct pause_step
{
    duration how_long;
};

enum class acceptance
{
    /// It is accepted, as revision `number`.
    accepted,
    /// It is not accepted and never will be.
    not_accepted,
    /// Look again with the change id.
    unknown,
    /// A dry run found nothing against it.
    acceptable,
};

struct edit_outcome
{
    acceptance result = acceptance::unknown;
    /// The accepted revision; for others the one last read.
    revision number;
    /// Why it is not accepted, or what is not known.
    std::vector<std::string> reasons;
    std::vector<conflict> conflicts;
    /// What it changes, against the document last read.
    std::vector<cell_change> changes;
};

using edit_step =
    std::variant<read_document, write_document, pause_step, edit_outcome>;

class edit
{
public:
    edit(edit_request request, edit_settings settings)
        : request_(std::move(request)), settings_(settings)
    {
    }

    static auto start() -> edit_step
    {
        return read_document{};
    }

    auto on_document(document_view const& view, wall_time now,
                     random_source& random) -> edit_step;
    auto on_read_failure(random_source& random) -> edit_step;
    auto on_written() -> edit_step;
    auto on_condition_failed() -> edit_step;
    auto on_write_failure(external::call_fault fault, random_source& random)
        -> edit_step;

    static auto on_pause_over() -> edit_step
    {
        return read_document{};
    }

private:
    auto settle(document_view const& view, random_source& random) -> edit_step;
    auto attempt(document_view const& view, wall_time now) -> edit_step;
    auto follow(external::write_step const& step) -> edit_step;
    [[nodiscard]] auto unknown() const -> edit_outcome;
    [[nodiscard]] auto refused(std::string why) const -> edit_outcome;
    [[nodiscard]] auto accepted(revision number) const -> edit_outcome;

    edit_request request_;
    edit_settings settings_;
    std::optional<std::vector<cell_change>> changes_;
    std::optional<external::guarded_write> write_;
    write_document sent_;
    revision seen_;
    unsigned rounds_ = 0;
    unsigned read_failures_ = 0;
    bool condition_failed_ = false;
};

/// The revision that the change `id` made; nothing: not among the last.
auto find_change(document const& it, change_id const& id)
    -> std::optional<revision>;

/// Whether the history of `it` names every change after `since`.
auto history_reaches(document const& it, revision since) -> bool;

/// A change id of 128 random bits.
auto make_change_id(random_source& random) -> change_id;

} // namespace primrosedeal::configuration
