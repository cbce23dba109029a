#include "configuration/edit.hpp"

#include "configuration/check.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

// The plan is made once, against the first document read; later rounds merge
// the same changes into what has been accepted meanwhile. So a change keeps
// the cells it started from, and one that another operator has changed since
// is a conflict, however often the write is tried.
//
// A repeated edit can't tell from its own silence that nothing will happen:
// the write of the earlier run may still arrive. It is refused only by what
// it reads, since a document that refuses it is another one than the earlier
// run's write is guarded by.
namespace primrosedeal::configuration
{
namespace
{

auto section_name(section it) -> std::string
{
    switch (it)
    {
    case section::defaults:
        return "defaults";
    case section::services:
        return "services";
    case section::models:
        return "models";
    case section::organisations:
        return "organisations";
    case section::exceptions:
        return "exceptions";
    }
    return "document";
}

auto describe(finding const& it) -> std::string
{
    auto text = section_name(it.where);
    if (it.where != section::defaults)
    {
        text += " " + std::to_string(it.index + 1);
    }
    return text + ": " + it.key + ": expected " + it.text;
}

auto make_record(edit_request const& request, revision made, wall_time now,
                 std::vector<changed_cell> cells) -> change_record
{
    auto const wide = cells.size() > max_changed_cells;
    if (wide)
    {
        cells.clear();
    }
    return {request.id, made, request.author, now, std::move(cells), wide};
}

} // namespace

auto find_change(document const& it, change_id const& id)
    -> std::optional<revision>
{
    auto const found = std::ranges::find(it.changes, id, &change_record::id);
    return found == it.changes.end() ? std::nullopt
                                     : std::optional{found->made};
}

auto history_reaches(document const& it, revision since) -> bool
{
    return it.number.value() <= since.value() + it.changes.size();
}

auto make_change_id(random_source& random) -> change_id
{
    auto buf = std::array<char, 33>{};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random()),
                  static_cast<unsigned long long>(random()));
    return change_id{buf.data()};
}

auto edit::refused(std::string why) const -> edit_outcome
{
    auto outcome = edit_outcome{};
    outcome.result = acceptance::not_accepted;
    outcome.number = seen_;
    outcome.reasons.push_back(std::move(why));
    return outcome;
}

auto edit::unknown() const -> edit_outcome
{
    auto outcome = edit_outcome{};
    outcome.number = seen_;
    outcome.reasons.emplace_back("the answer was lost: look again with " +
                                 request_.id.value());
    return outcome;
}

auto edit::accepted(revision number) const -> edit_outcome
{
    auto outcome = edit_outcome{};
    outcome.result = acceptance::accepted;
    outcome.number = number;
    outcome.changes = changes_.value_or(std::vector<cell_change>{});
    return outcome;
}

auto edit::on_document(document_view const& view, wall_time now,
                       random_source& random) -> edit_step
{
    read_failures_ = 0;
    seen_ = view.content.number;
    if (auto const made = find_change(view.content, request_.id))
    {
        return accepted(*made);
    }
    return write_ ? settle(view, random) : attempt(view, now);
}

auto edit::settle(document_view const& view, random_source& random) -> edit_step
{
    auto const seen = external::guard_view{
        view.modified, false,
        history_reaches(view.content,
                        revision{sent_.content.number.value() - 1})};
    auto const step = std::exchange(condition_failed_, false)
                          ? write_->on_condition_failed(seen)
                          : write_->on_read(seen);
    auto const* outcome = std::get_if<external::write_outcome>(&step);
    auto const lost_race = outcome != nullptr &&
                           *outcome == external::write_outcome::not_applied &&
                           view.modified != sent_.expected;
    if (!lost_race)
    {
        return follow(step);
    }
    write_.reset();
    if (++rounds_ == settings_.max_rounds)
    {
        return refused("other edits were accepted first, too many times");
    }
    // A pause spreads operators who race; the next round reads afresh.
    return pause_step{external::full_jitter(settings_.backoff,
                                            std::min(rounds_ - 1, 3U), random)};
}

auto edit::attempt(document_view const& view, wall_time now) -> edit_step
{
    if (view.format > stored_format)
    {
        return refused("a later release wrote the document; edit with that");
    }
    try
    {
        if (!changes_)
        {
            changes_ = request_.plan(view.content);
        }
        auto merged = merge(to_cells(view.content), *changes_);
        if (!merged.conflicts.empty())
        {
            auto outcome = refused("another edit has changed the same");
            outcome.conflicts = std::move(merged.conflicts);
            return outcome;
        }
        if (merged.changed.empty())
        {
            return accepted(seen_);
        }
        auto next = from_cells(merged.merged);
        next.number = revision{seen_.value() + 1};
        next.changes = view.content.changes;
        next.changes.push_back(
            make_record(request_, next.number, now, std::move(merged.changed)));
        auto const findings = check(next);
        if (!findings.empty())
        {
            auto outcome = refused(describe(findings.front()));
            std::for_each(findings.begin() + 1, findings.end(),
                          [&](finding const& it)
                          { outcome.reasons.push_back(describe(it)); });
            return outcome;
        }
        sent_ = {encode(next), view.modified};
    }
    catch (std::runtime_error const& ex)
    {
        return refused(ex.what());
    }
    if (request_.dry_run)
    {
        auto outcome = accepted(seen_);
        outcome.result = acceptance::acceptable;
        return outcome;
    }
    write_.emplace(sent_.expected, settings_.max_tries, settings_.backoff,
                   request_.repeated);
    return follow(external::guarded_write::start());
}

auto edit::follow(external::write_step const& step) -> edit_step
{
    if (std::holds_alternative<external::send_write>(step))
    {
        return sent_;
    }
    if (std::holds_alternative<external::send_read>(step))
    {
        return read_document{};
    }
    if (auto const* wait = std::get_if<external::wait_then_read>(&step))
    {
        return pause_step{wait->how_long};
    }
    switch (std::get<external::write_outcome>(step))
    {
    case external::write_outcome::applied:
        return accepted(sent_.content.number);
    case external::write_outcome::not_applied:
        return refused("the key-value service does not take it");
    case external::write_outcome::unknown:
        break;
    }
    return unknown();
}

auto edit::on_read_failure(random_source& random) -> edit_step
{
    if (write_)
    {
        return follow(write_->on_read_failure(random));
    }
    if (++read_failures_ >= settings_.max_tries)
    {
        if (request_.repeated)
        {
            return unknown();
        }
        return refused("the key-value service does not answer");
    }
    return pause_step{
        external::full_jitter(settings_.backoff, read_failures_ - 1, random)};
}

auto edit::on_written() -> edit_step
{
    return follow(write_->on_written());
}

auto edit::on_condition_failed() -> edit_step
{
    condition_failed_ = true;
    return read_document{};
}

auto edit::on_write_failure(external::call_fault fault, random_source& random)
    -> edit_step
{
    return follow(write_->on_write_failure(fault, random));
}

} // namespace primrosedeal::configuration
