#pragma once

#include "configuration/edit.hpp"
#include "external/key_value.hpp"

#include <functional>
#include <memory>

/// Carries out an edit's steps against the key-value service.
namespace primrosedeal::declare
{

/// Runs `work` after `delay`, on the caller's loop.
using run_later =
    std::function<void(duration delay, std::function<void()> work)>;

/// Civil time now.
using civil_clock = std::function<wall_time()>;

/// Reads the accepted document with the parts that the head names; a store
/// without a head gives revision 0. `done` may be called with a failure.
void read_document(
    external::key_value_service& store,
    external::answer_handler<configuration::document_view> const& done);

/// What an editor needs from outside. All must outlive the edit.
struct editor_seams
{
    external::key_value_service& store;
    run_later later;
    civil_clock civil_now;
    /// Seed of the back-off's jitter.
    std::uint64_t seed = 0;
};

/// Runs the edit to its outcome. After an accepted one it removes the parts
/// that nothing names any more.
void run_edit(editor_seams const& seams, configuration::edit_request request,
              configuration::edit_settings settings,
              std::function<void(configuration::edit_outcome)> done);

} // namespace primrosedeal::declare
