#include "declare/commands.hpp"

#include "configuration/check.hpp"
#include "configuration/yaml.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

// Every command that changes something goes through `change`: one edit, then
// its outcome as text, then, if asked for, the wait until it is in force.
namespace primrosedeal::declare
{
namespace
{

using namespace configuration;

constexpr auto poll_interval = duration{250ms};

auto unavailable(external::call_failure const& it) -> command_result
{
    return {exit_code::unavailable, "",
            "the key-value service does not answer: " + it.text + "\n", ""};
}

auto wrong_input(std::string const& text) -> command_result
{
    return {exit_code::wrong_input, "", text + "\n", ""};
}

auto shown(std::optional<std::string> const& it) -> std::string
{
    return it.value_or("(nothing)");
}

auto describe(std::vector<cell_change> const& changes) -> std::string
{
    auto text = std::string{};
    for (auto const& it : changes)
    {
        auto const* sign = !it.after ? "- " : it.before == 0 ? "+ " : "~ ";
        text += sign + it.name + (it.after ? " " + *it.after : "") + "\n";
    }
    return text;
}

auto code_of(edit_outcome const& it) -> exit_code
{
    switch (it.result)
    {
    case acceptance::accepted:
        return exit_code::done;
    case acceptance::acceptable:
        return it.changes.empty() ? exit_code::done : exit_code::differs;
    case acceptance::not_accepted:
        return exit_code::not_accepted;
    case acceptance::unknown:
        break;
    }
    return exit_code::unknown;
}

auto headline(edit_outcome const& it, change_id const& id) -> std::string
{
    auto const number = std::to_string(it.number.value());
    switch (it.result)
    {
    case acceptance::accepted:
        return "accepted as revision " + number;
    case acceptance::acceptable:
        return "would be accepted after revision " + number;
    case acceptance::not_accepted:
        return "not accepted; revision " + number + " stays";
    case acceptance::unknown:
        break;
    }
    return "unknown: look again with --change_id=" + id.value();
}

auto to_json(edit_outcome const& it, change_id const& id) -> std::string
{
    constexpr auto results =
        std::array{"accepted", "not_accepted", "unknown", "acceptable"};
    auto conflicts = nlohmann::json::array();
    for (auto const& each : it.conflicts)
    {
        conflicts.push_back({{"cell", each.name},
                             {"mine", shown(each.mine)},
                             {"theirs", shown(each.theirs)}});
    }
    auto changes = nlohmann::json::array();
    for (auto const& each : it.changes)
    {
        changes.push_back({{"cell", each.name}, {"after", shown(each.after)}});
    }
    return nlohmann::json{
        {"result", results.at(static_cast<std::size_t>(it.result))},
        {"revision", it.number.value()},
        {"change_id", id.value()},
        {"reasons", it.reasons},
        {"conflicts", std::move(conflicts)},
        {"changes", std::move(changes)}}
        .dump();
}

auto render(edit_outcome const& it, change_id const& id, bool json)
    -> command_result
{
    auto result = command_result{code_of(it), "", "", ""};
    if (json)
    {
        result.output = to_json(it, id) + "\n";
        return result;
    }
    result.output = headline(it, id) + "\n" + describe(it.changes);
    for (auto const& reason : it.reasons)
    {
        result.errors += reason + "\n";
    }
    for (auto const& each : it.conflicts)
    {
        result.errors += each.name + ": yours " + shown(each.mine) +
                         ", accepted " + shown(each.theirs) + "\n";
    }
    return result;
}

/// Asks the hosts again and again until the revision is in force or the time
/// is up. Accepted stays accepted whatever the wait shows.
void wait_for_force(command_seams const& seams, revision number,
                    change_options const& options, duration left,
                    command_result const& so_far, result_handler const& done)
{
    auto const on_statuses = [seams, number, options, left, so_far,
                              done](std::vector<host_status> const& hosts)
    {
        auto const report = report_force(number, hosts);
        if (!everywhere(report) && left > duration{})
        {
            seams.editor.later(poll_interval,
                               [=]
                               {
                                   wait_for_force(seams, number, options,
                                                  left - poll_interval, so_far,
                                                  done);
                               });
            return;
        }
        auto result = so_far;
        result.output +=
            options.json ? declare::to_json(report) + "\n" : to_text(report);
        if (!everywhere(report))
        {
            result.code = exit_code::not_everywhere;
        }
        done(std::move(result));
    };
    seams.host_statuses(on_statuses);
}

auto random_id(command_seams const& seams, change_options const& options)
    -> change_id
{
    auto random = random_source{seams.change_seed};
    return options.change_id.empty() ? make_change_id(random)
                                     : change_id{options.change_id};
}

using finisher = std::function<void(edit_outcome const&, command_result&)>;

void change(command_seams const& seams, change_options const& options,
            edit_plan plan, finisher const& finish, result_handler const& done)
{
    if (options.author.empty())
    {
        done(wrong_input("--author: expected who asks for it"));
        return;
    }
    auto const id = random_id(seams, options);
    auto request = edit_request{id, options.author, std::move(plan),
                                !options.change_id.empty(), options.dry_run};
    auto const on_outcome =
        [seams, options, id, finish, done](edit_outcome const& it)
    {
        auto result = render(it, id, options.json);
        if (finish)
        {
            finish(it, result);
        }
        if (it.result == acceptance::accepted && options.wait > duration{})
        {
            wait_for_force(seams, it.number, options, options.wait, result,
                           done);
            return;
        }
        done(std::move(result));
    };
    run_edit(seams.editor, std::move(request), {}, on_outcome);
}

/// The change of one who edited `wanted`, taken from its revision.
auto plan_file(document const& current, document const& wanted)
    -> std::vector<cell_change>
{
    auto changes = changes_since(current, wanted.number, to_cells(wanted));
    if (!changes)
    {
        throw edit_refused(
            "revision " + std::to_string(wanted.number.value()) +
            " is too old or unknown here: take the file from revision " +
            std::to_string(current.number.value()) + " (defaults show)");
    }
    return std::move(*changes);
}

/// The file's text with its revision line brought up to date; empty if what
/// was accepted holds more than the file.
auto updated_text(input_file const& file, document const& wanted,
                  revision accepted) -> std::string
{
    if (accepted.value() != wanted.number.value() + 1)
    {
        return {};
    }
    auto const line = std::string_view{"revision:"};
    auto const at = file.text.starts_with(line)
                        ? std::size_t{0}
                        : file.text.find("\n" + std::string{line}) + 1;
    if (at == 0 && !file.text.starts_with(line))
    {
        return "revision: " + std::to_string(accepted.value()) + "\n" +
               file.text;
    }
    auto const end = std::min(file.text.find('\n', at), file.text.size());
    return file.text.substr(0, at) +
           "revision: " + std::to_string(accepted.value()) +
           file.text.substr(end);
}

auto expired(exception_entry const& it, wall_time now) -> bool
{
    return it.expires && *it.expires <= now;
}

auto describe_scope(exception_scope const& it) -> std::string
{
    auto text = std::string{};
    auto const add = [&](char const* key, std::string const& value)
    {
        text += (text.empty() ? "" : ",") + std::string{key} + "=" + value;
    };
    if (it.organisation)
    {
        add("organisation", it.organisation->value());
    }
    if (it.service)
    {
        add("service", it.service->value());
    }
    if (it.domain)
    {
        add("failure_domain", it.domain->value());
    }
    return text;
}

auto list_text(document const& it, wall_time now) -> std::string
{
    auto text = std::string{};
    for (auto const& each : it.exceptions)
    {
        text += describe_scope(each.scope) + " " + each.field + " = " +
                format_value(each.value);
        if (each.expires)
        {
            text +=
                std::string{expired(each, now) ? ", expired " : ", expires "} +
                format_wall_time(*each.expires);
        }
        text += " (" + each.author + ": " + each.reason + ")\n";
    }
    return text;
}

auto list_json(document const& it, wall_time now) -> std::string
{
    auto list = nlohmann::json::array();
    for (auto const& each : it.exceptions)
    {
        list.push_back({{"scope", describe_scope(each.scope)},
                        {"field", each.field},
                        {"value", format_value(each.value)},
                        {"reason", each.reason},
                        {"author", each.author},
                        {"expired", expired(each, now)}});
    }
    return list.dump() + "\n";
}

auto same_place(exception_entry const& entry, exception_options const& it)
    -> bool
{
    return entry.scope == it.scope && entry.field == it.field;
}

/// Throws std::runtime_error that names the option.
auto read_exception(exception_options const& it, std::string const& author)
    -> exception_entry
{
    auto const* known = find_field(it.field);
    if (known == nullptr)
    {
        throw std::runtime_error("--field: expected the name of a field");
    }
    auto const value = parse_value(*known, it.value);
    if (!value)
    {
        throw std::runtime_error("--value: expected " + expected(*known));
    }
    auto const expires = parse_wall_time(it.expires);
    if (!it.expires.empty() && !expires)
    {
        throw std::runtime_error(
            "--expires: expected a time such as 2027-01-31T00:00:00Z");
    }
    if (it.reason.find_first_not_of(" \t\n") == std::string::npos)
    {
        throw std::runtime_error("--reason: expected a written reason");
    }
    return {it.scope, it.field, *value,      it.reason,
            author,   expires,  it.overrides};
}

} // namespace

auto check_file(input_file const& file) -> command_result
{
    try
    {
        auto const it = read_yaml(file.text, file.name);
        encode(it);
        return {exit_code::done, file.name + ": acceptable\n", "", ""};
    }
    catch (yaml_error const& ex)
    {
        return wrong_input(ex.what());
    }
    catch (stored_form_error const& ex)
    {
        return wrong_input(file.name + ":1: " + ex.what());
    }
}

void show_defaults(command_seams const& seams, result_handler const& done)
{
    read_document(
        seams.editor.store,
        [done](external::answer<document_view> const& it)
        {
            auto const* view = std::get_if<document_view>(&it);
            done(view == nullptr
                     ? unavailable(std::get<external::call_failure>(it))
                     : command_result{exit_code::done,
                                      write_yaml(view->content), "", ""});
        });
}

void diff_defaults(command_seams const& seams, input_file const& file,
                   result_handler const& done)
{
    auto options = change_options{};
    options.author = "diff";
    options.dry_run = true;
    apply_defaults(seams, file, options, done);
}

void apply_defaults(command_seams const& seams, input_file const& file,
                    change_options const& options, result_handler const& done)
{
    auto const checked = check_file(file);
    if (checked.code != exit_code::done)
    {
        done(checked);
        return;
    }
    auto const wanted = read_yaml(file.text, file.name);
    auto const plan = [wanted](document const& current)
    {
        return plan_file(current, wanted);
    };
    auto const finish =
        [file, wanted](edit_outcome const& it, command_result& result)
    {
        if (it.result == acceptance::accepted && !it.changes.empty())
        {
            result.new_file_text = updated_text(file, wanted, it.number);
        }
    };
    change(seams, options, plan, finish, done);
}

void list_exceptions(command_seams const& seams, wall_time now, bool json,
                     result_handler const& done)
{
    read_document(
        seams.editor.store,
        [now, json, done](external::answer<document_view> const& it)
        {
            auto const* view = std::get_if<document_view>(&it);
            if (view == nullptr)
            {
                done(unavailable(std::get<external::call_failure>(it)));
                return;
            }
            auto const& content = view->content;
            done({exit_code::done,
                  json ? list_json(content, now) : list_text(content, now), "",
                  ""});
        });
}

void add_exception(command_seams const& seams, exception_options const& it,
                   change_options const& options, result_handler const& done)
{
    auto entry = exception_entry{};
    try
    {
        entry = read_exception(it, options.author);
    }
    catch (std::runtime_error const& ex)
    {
        done(wrong_input(ex.what()));
        return;
    }
    auto const plan = [entry](document const&)
    {
        // Starting from "no such exception" makes an existing one a conflict.
        auto next = document{};
        next.exceptions.push_back(entry);
        return difference(to_cells(document{}), to_cells(next));
    };
    change(seams, options, plan, {}, done);
}

void remove_exception(command_seams const& seams, exception_options const& it,
                      change_options const& options, result_handler const& done)
{
    auto const plan = [it](document const& current)
    {
        auto next = current;
        auto const same = [&](exception_entry const& entry)
        {
            return same_place(entry, it);
        };
        if (std::erase_if(next.exceptions, same) == 0)
        {
            throw edit_refused("there is no exception of " + it.field +
                               " for " + describe_scope(it.scope));
        }
        return difference(to_cells(current), to_cells(next));
    };
    change(seams, options, plan, {}, done);
}

} // namespace primrosedeal::declare
