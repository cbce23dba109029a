#include "cli/subcommands.hpp"

#include "cli/input_file.hpp"
#include "cli/operators_client.hpp"
#include "declare/commands.hpp"
#include "external/etcd_client.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <absl/time/time.h>

#include <fstream>
#include <iostream>
#include <list>
#include <random>
#include <stdexcept>

ABSL_FLAG(std::string, key_value, "",
          "address of the key-value service, IPV4:PORT");
ABSL_FLAG(std::string, author, "", "who makes the change");
ABSL_FLAG(std::string, change_id, "",
          "look again for the change of an edit that ended as unknown");
ABSL_FLAG(bool, dry_run, false, "stop before the write");
ABSL_FLAG(absl::Duration, wait, absl::ZeroDuration(),
          "wait so long until the change is in force on --operators");
ABSL_FLAG(std::string, service, "", "exceptions: service of the scope");
ABSL_FLAG(std::string, organisation, "",
          "exceptions: organisation of the scope");
ABSL_FLAG(std::string, failure_domain, "",
          "exceptions: failure domain of the scope");
ABSL_FLAG(std::string, field, "", "exceptions: field, admission.weight say");
ABSL_FLAG(std::string, value, "", "exceptions: value of the field");
ABSL_FLAG(std::string, reason, "", "exceptions: why it is needed");
ABSL_FLAG(std::string, expires, "",
          "exceptions: when it ends, as 2027-01-31T00:00:00Z");
ABSL_FLAG(bool, overrides, false,
          "exceptions: it narrows a wider one of the same field");
ABSL_DECLARE_FLAG(std::string, format);

namespace primrosedeal::cli
{

namespace
{

auto key_value_address() -> net::endpoint
{
    auto const at = net::parse_endpoint(absl::GetFlag(FLAGS_key_value));
    if (!at)
    {
        throw std::invalid_argument{"--key_value: IPV4:PORT was expected"};
    }
    return *at;
}

auto is_json() -> bool
{
    return absl::GetFlag(FLAGS_format) == "json";
}

auto change_options_of_flags() -> declare::change_options
{
    auto it = declare::change_options{};
    it.author = absl::GetFlag(FLAGS_author);
    it.change_id = absl::GetFlag(FLAGS_change_id);
    it.dry_run = absl::GetFlag(FLAGS_dry_run);
    it.wait = duration{absl::ToInt64Microseconds(absl::GetFlag(FLAGS_wait))};
    it.json = is_json();
    return it;
}

auto exception_options_of_flags() -> declare::exception_options
{
    auto it = declare::exception_options{};
    auto const service = absl::GetFlag(FLAGS_service);
    auto const organisation = absl::GetFlag(FLAGS_organisation);
    auto const domain = absl::GetFlag(FLAGS_failure_domain);
    if (!service.empty())
    {
        it.scope.service = service_id{service};
    }
    if (!organisation.empty())
    {
        it.scope.organisation = organisation_id{organisation};
    }
    if (!domain.empty())
    {
        it.scope.domain = domain_id{domain};
    }
    it.field = absl::GetFlag(FLAGS_field);
    it.value = absl::GetFlag(FLAGS_value);
    it.reason = absl::GetFlag(FLAGS_reason);
    it.expires = absl::GetFlag(FLAGS_expires);
    it.overrides = absl::GetFlag(FLAGS_overrides);
    return it;
}

/// A loop with all that the commands need from outside.
class desk
{
public:
    using work = std::function<void(declare::command_seams const&,
                                    declare::result_handler const&)>;

    desk() : store_(loop_, {key_value_address(), 2s, {}, {}}) {}

    auto run(work const& what) -> declare::command_result
    {
        auto result = declare::command_result{};
        auto const it = seams();
        what(it,
             [&](declare::command_result const& got)
             {
                 result = got;
                 loop_.stop();
             });
        loop_.run();
        return result;
    }

private:
    auto seams() -> declare::command_seams
    {
        auto device = std::random_device{};
        auto const later = [this](duration delay, std::function<void()> it)
        {
            timers_.push_back(loop_.after(delay, std::move(it)));
        };
        auto const ask = [this](auto const& done)
        {
            ask_all_hosts(loop_,
                          [done](std::vector<status_answer> const& answers)
                          {
                              auto all = std::vector<declare::host_status>{};
                              for (auto const& it : answers)
                              {
                                  all.push_back(to_host_status(it));
                              }
                              done(all);
                          });
        };
        auto const clock = []
        {
            return net::event_loop::wall_now();
        };
        auto const seed = (std::uint64_t{device()} << 32U) | device();
        return {{store_, later, clock, seed}, ask, seed + 1};
    }

    net::event_loop loop_;
    external::etcd_client store_;
    std::list<net::timer> timers_;
};

auto print(declare::command_result const& it, std::string const& file)
    -> exit_code
{
    std::cout << it.output;
    std::cerr << it.errors;
    if (!it.new_file_text.empty() && !file.empty())
    {
        std::ofstream{file, std::ios::binary} << it.new_file_text;
    }
    return static_cast<exit_code>(it.code);
}

auto bad_usage(std::string const& text) -> exit_code
{
    std::cerr << text << "\n";
    return exit_code::usage;
}

} // namespace

auto defaults(arguments const& words) -> exit_code
{
    using declare::command_seams;
    using declare::result_handler;
    auto const verb = words.empty() ? "" : words.front();
    if (verb == "show" && words.size() == 1)
    {
        return print(desk{}.run(declare::show_defaults), "");
    }
    if ((verb != "diff" && verb != "apply") || words.size() != 2)
    {
        return bad_usage("defaults: show, diff FILE or apply FILE was "
                         "expected");
    }
    auto const file = read_file(words[1]);
    if (verb == "diff")
    {
        auto const diff =
            [&](command_seams const& seams, result_handler const& done)
        {
            declare::diff_defaults(seams, file, done);
        };
        return print(desk{}.run(diff), "");
    }
    auto const apply =
        [&](command_seams const& seams, result_handler const& done)
    {
        declare::apply_defaults(seams, file, change_options_of_flags(), done);
    };
    return print(desk{}.run(apply), words[1]);
}

auto exceptions(arguments const& words) -> exit_code
{
    using declare::command_seams;
    using declare::result_handler;
    auto const verb = words.size() == 1 ? words.front() : "";
    auto const scope = exception_options_of_flags();
    auto const change = change_options_of_flags();
    if (verb == "list")
    {
        auto const list =
            [&](command_seams const& seams, result_handler const& done)
        {
            declare::list_exceptions(seams, net::event_loop::wall_now(),
                                     is_json(), done);
        };
        return print(desk{}.run(list), "");
    }
    if (verb == "add")
    {
        auto const add =
            [&](command_seams const& seams, result_handler const& done)
        {
            declare::add_exception(seams, scope, change, done);
        };
        return print(desk{}.run(add), "");
    }
    if (verb == "remove")
    {
        auto const remove =
            [&](command_seams const& seams, result_handler const& done)
        {
            declare::remove_exception(seams, scope, change, done);
        };
        return print(desk{}.run(remove), "");
    }
    return bad_usage("exceptions: list, add or remove was expected");
}

} // namespace primrosedeal::cli
