#pragma once

#include "configuration/edit.hpp"
#include "declare/editor.hpp"
#include "declare/in_force.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' commands on defaults and exceptions, without flags and
/// sockets: parsed options and seams in, exit code and text out.
namespace primrosedeal::declare
{

/// Exit codes; docs/operations/configuration.md explains them to operators.
enum class exit_code
{
    done = 0,
    /// `diff` or a dry run: done, and there are differences.
    differs = 1,
    /// The file or the options are wrong; nothing was sent.
    wrong_input = 2,
    /// Not accepted, and it never will be.
    not_accepted = 3,
    /// It is not known whether it is accepted: look again with the change id.
    unknown = 4,
    /// Accepted, but not in force on all hosts within the waiting time.
    not_everywhere = 5,
    /// A reading command had no answer from the key-value service.
    unavailable = 6,
};

struct command_result
{
    exit_code code = exit_code::done;
    /// For standard output; ends in a newline unless empty.
    std::string output;
    /// For standard error; ends in a newline unless empty.
    std::string errors;
    /// What the file's text should become; empty: leave it.
    std::string new_file_text;
};

using result_handler = std::function<void(command_result)>;

/// A file as the caller has read it.
struct input_file
{
    std::string name;
    std::string text;
};

struct change_options
{
    std::string author;
    /// Empty: a new one. Given: the edit that ended as unknown.
    std::string change_id;
    bool dry_run = false;
    /// Wait until the revision is in force everywhere, at most this long;
    /// zero: don't.
    duration wait{};
    bool json = false;
};

/// What the commands need from outside; must outlive them.
struct command_seams
{
    editor_seams editor;
    /// Asks every host known for its status.
    std::function<void(std::function<void(std::vector<host_status>)>)>
        host_statuses;
    /// Seed of a new change id; must differ from run to run.
    std::uint64_t change_seed = 0;
};

/// `check FILE`: needs nothing from outside.
auto check_file(input_file const& file) -> command_result;

/// `defaults show`: the accepted document as YAML.
void show_defaults(command_seams const& seams, result_handler const& done);

/// `defaults diff FILE`: what applying it would change.
void diff_defaults(command_seams const& seams, input_file const& file,
                   result_handler const& done);

/// `defaults apply FILE`. The file's `revision` names the revision that it
/// was taken from; what others changed since stays.
void apply_defaults(command_seams const& seams, input_file const& file,
                    change_options const& options, result_handler const& done);

/// `exceptions list`. Expired ones are marked as of `now`.
void list_exceptions(command_seams const& seams, wall_time now, bool json,
                     result_handler const& done);

struct exception_options
{
    configuration::exception_scope scope;
    std::string field;
    /// Only for `add`.
    std::string value;
    std::string reason;
    /// A time as in the file; empty: none.
    std::string expires;
    bool overrides = false;
};

/// `exceptions add`: refused if there is one of the same scope and field.
void add_exception(command_seams const& seams, exception_options const& it,
                   change_options const& options, result_handler const& done);

/// `exceptions remove`, by scope and field.
void remove_exception(command_seams const& seams, exception_options const& it,
                      change_options const& options,
                      result_handler const& done);

} // namespace primrosedeal::declare
