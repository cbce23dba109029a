#include "declare/commands.hpp"

#include "configuration/yaml.hpp"
#include "external/etcd_client.hpp"
#include "standins/key_value_standin.hpp"

#include <boost/test/unit_test.hpp>
#include <list>
#include <nlohmann/json.hpp>

using namespace primrosedeal;
using namespace primrosedeal::declare;

namespace
{

constexpr auto file_text = R"(revision: 0
failure_domains: [a, b]
defaults:
  admission: {priority: 4}
services:
  order: {kind: plain, orders: [/orders]}
organisations:
  one: {keys: []}
)";

auto by_ann() -> change_options
{
    auto options = change_options{};
    options.author = "ann";
    return options;
}

/// A key-value service, and operators who each run commands by it.
class desk
{
public:
    desk()
    {
        net::initialise_process();
        port_ = service.listen({"127.0.0.1", 0});
        // Ten operators share this client; in life each has its own budget.
        auto const shared = external::call_budget_settings{1000, 1000, 0};
        client_ = std::make_unique<external::etcd_client>(
            loop,
            external::etcd_settings{{"127.0.0.1", port_}, 2s, shared, {}});
    }

    auto seams() -> command_seams
    {
        auto const later = [this](duration delay, std::function<void()> work)
        {
            timers_.push_back(loop.after(delay, std::move(work)));
        };
        auto const statuses = [this](auto const& done)
        {
            loop.post([this, done] { done(hosts); });
        };
        return {{*client_, later, [] { return wall_time{}; }, ++seed_},
                statuses,
                seed_ + 100};
    }

    /// Runs the loop until the command has ended.
    template <class Command>
    auto run(Command command) -> command_result
    {
        auto results = run_all({[&](auto const& done)
                                {
                                    command(done);
                                }});
        return results.front();
    }

    auto run_all(
        std::vector<std::function<void(result_handler const&)>> const& commands)
        -> std::vector<command_result>
    {
        auto results = std::vector<command_result>(commands.size());
        auto left = commands.size();
        for (auto i = std::size_t{0}; i < commands.size(); ++i)
        {
            commands[i](
                [&, i](command_result const& it)
                {
                    results[i] = it;
                    if (--left == 0)
                    {
                        loop.stop();
                    }
                });
        }
        loop.run();
        return results;
    }

    auto apply(std::string const& text,
               change_options const& options = by_ann()) -> command_result
    {
        return run(
            [&](auto const& done) {
                apply_defaults(seams(), {"f", text}, options, done);
            });
    }

    auto show() -> configuration::document
    {
        auto const it =
            run([&](auto const& done) { show_defaults(seams(), done); });
        return configuration::read_yaml(it.output, "shown");
    }

    auto add(std::uint64_t value, std::string const& of = "order")
        -> command_result
    {
        auto options = exception_options{};
        options.scope.service = service_id{of};
        options.field = "admission.priority";
        options.value = std::to_string(value);
        options.reason = "since";
        return run([&](auto const& done)
                   { add_exception(seams(), options, by_ann(), done); });
    }

    net::event_loop loop;
    standins::key_value_standin service{loop};
    std::vector<host_status> hosts;

private:
    std::uint16_t port_ = 0;
    std::unique_ptr<external::etcd_client> client_;
    std::list<net::timer> timers_;
    std::uint64_t seed_ = 0;
};

auto with(std::string text, std::string const& from, std::string const& to)
    -> std::string
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(check_a_file_offline)
{
    BOOST_TEST((check_file({"f", file_text}).code == exit_code::done));
    auto const bad = check_file({"f", with(file_text, "priority", "rank")});
    BOOST_TEST((bad.code == exit_code::wrong_input));
    BOOST_TEST(bad.errors ==
               "f:4: admission.rank: expected no such key here\n");
}

BOOST_AUTO_TEST_CASE(apply_a_file_and_see_it_accepted)
{
    auto it = desk{};
    auto const first = it.apply(file_text);
    BOOST_TEST((first.code == exit_code::done));
    BOOST_TEST(first.output.starts_with("accepted as revision 1\n"));
    BOOST_TEST(first.new_file_text == with(file_text, "n: 0", "n: 1"));
    BOOST_TEST(it.show().number.value() == 1);
    auto const again = it.apply(first.new_file_text);
    BOOST_TEST(again.output == "accepted as revision 1\n");
}

BOOST_AUTO_TEST_CASE(see_a_difference_before_they_apply_it)
{
    auto it = desk{};
    it.apply(file_text);
    auto const changed =
        with(with(file_text, "n: 0", "n: 1"), "priority: 4", "priority: 6");
    auto const diff = it.run(
        [&](auto const& done) {
            diff_defaults(it.seams(), {"f", changed}, done);
        });
    BOOST_TEST((diff.code == exit_code::differs));
    BOOST_TEST(diff.output == "would be accepted after revision 1\n"
                              "~ defaults.admission.priority 6\n");
    BOOST_TEST(it.show().defaults.admission.priority == 4);
}

BOOST_AUTO_TEST_CASE(who_race_see_each_others_change)
{
    auto it = desk{};
    it.apply(file_text);
    auto const base = with(file_text, "n: 0", "n: 1");
    it.apply(with(base, "priority: 4", "priority: 6"));
    // Another cell: both hold.
    auto const merged = it.apply(with(base, "/orders", "/lasts"));
    BOOST_TEST((merged.code == exit_code::done));
    BOOST_TEST(merged.new_file_text.empty());
    BOOST_TEST(it.show().defaults.admission.priority == 6);
    // The same cell: refused, and told why.
    auto const refused = it.apply(with(base, "priority: 4", "priority: 2"));
    BOOST_TEST((refused.code == exit_code::not_accepted));
    BOOST_TEST(refused.errors ==
               "another edit has changed the same\n"
               "defaults.admission.priority: yours 2, accepted 6\n");
    BOOST_TEST(it.show().number.value() == 3);
}

BOOST_AUTO_TEST_CASE(ten_at_once_lose_no_edit)
{
    auto it = desk{};
    auto text = std::string{file_text};
    for (auto i = 0; i < 10; ++i)
    {
        text += "  o" + std::to_string(i) + ": {keys: []}\n";
    }
    it.apply(text);
    auto commands = std::vector<std::function<void(result_handler const&)>>{};
    for (auto i = 0; i < 10; ++i)
    {
        auto options = exception_options{};
        options.scope.organisation = organisation_id{"o" + std::to_string(i)};
        options.field = "admission.priority";
        options.value = std::to_string(i);
        options.reason = "since";
        commands.emplace_back(
            [&, options](auto const& done)
            { add_exception(it.seams(), options, by_ann(), done); });
    }
    auto accepted = std::size_t{0};
    for (auto const& each : it.run_all(commands))
    {
        accepted += each.code == exit_code::done ? 1 : 0;
    }
    auto const now = it.show();
    BOOST_TEST(now.exceptions.size() == accepted);
    BOOST_TEST(now.number.value() == 1 + accepted);
    BOOST_TEST(accepted == 10);
}

BOOST_AUTO_TEST_CASE(whose_answer_was_lost_learn_what_became_of_it)
{
    auto it = desk{};
    it.apply(file_text);
    it.service.set_fault({standins::fault::lose_answer, 300ms});
    auto const result = it.add(7);
    BOOST_TEST((result.code == exit_code::done));
    BOOST_TEST(it.show().exceptions.size() == 1);
    BOOST_TEST(it.show().number.value() == 2);
}

BOOST_AUTO_TEST_CASE(who_never_hear_of_a_write_look_again_with_its_id)
{
    auto it = desk{};
    it.apply(file_text);
    auto options = exception_options{};
    options.scope.service = service_id{"order"};
    options.field = "admission.priority";
    options.value = "7";
    options.reason = "since";
    auto seams = it.seams();
    // The time is asked for between the first read and the write.
    seams.editor.civil_now = [&]
    {
        it.service.set_fault({standins::fault::lose_answer, std::nullopt});
        return wall_time{};
    };
    auto const lost =
        it.run([&](auto const& done)
               { add_exception(seams, options, by_ann(), done); });
    BOOST_TEST((lost.code == exit_code::unknown));
    it.service.set_fault({standins::fault::none, std::nullopt});
    auto again = by_ann();
    auto const at = lost.output.find("change_id=") + 10;
    again.change_id = lost.output.substr(at, 32);
    auto const found =
        it.run([&](auto const& done)
               { add_exception(it.seams(), options, again, done); });
    BOOST_TEST((found.code == exit_code::done));
    BOOST_TEST(found.output.starts_with("accepted as revision 2\n"));
    BOOST_TEST(it.show().number.value() == 2);
}

BOOST_AUTO_TEST_CASE(keep_exceptions_with_their_reasons)
{
    auto it = desk{};
    it.apply(file_text);
    BOOST_TEST((it.add(7).code == exit_code::done));
    BOOST_TEST((it.add(3).code == exit_code::not_accepted));
    BOOST_TEST((it.add(30).code == exit_code::wrong_input));
    BOOST_TEST((it.add(3, "nowhere").code == exit_code::not_accepted));
    auto const list = it.run([&](auto const& done)
                             { list_exceptions(it.seams(), {}, false, done); });
    BOOST_TEST(list.output ==
               "service=order admission.priority = 7 (ann: since)\n");
    auto gone = exception_options{};
    gone.scope.service = service_id{"order"};
    gone.field = "admission.priority";
    auto const remove = [&]
    {
        return it.run([&](auto const& done)
                      { remove_exception(it.seams(), gone, by_ann(), done); });
    };
    BOOST_TEST((remove().code == exit_code::done));
    BOOST_TEST((remove().code == exit_code::not_accepted));
    BOOST_TEST(it.show().exceptions.empty());
}

BOOST_AUTO_TEST_CASE(wait_until_it_is_in_force_and_see_who_is_cut_off)
{
    auto it = desk{};
    it.hosts = {{host_id{"h1"}, domain_id{"a"}, revision{1}, true},
                {host_id{"h2"}, domain_id{"b"}, revision{0}, false}};
    auto options = by_ann();
    options.wait = 500ms;
    auto const result = it.apply(file_text, options);
    BOOST_TEST((result.code == exit_code::not_everywhere));
    auto const report = result.output.substr(result.output.find("\na:") + 1);
    BOOST_TEST(report ==
               "a: revision 1 in force on 1 of 1 hosts\n"
               "b: revision 1 in force on 0 of 1 hosts; cut off, not known: "
               "h2\n");
    it.hosts[1] = {host_id{"h2"}, domain_id{"b"}, revision{2}, true};
    auto const all = it.apply(
        with(with(file_text, "n: 0", "n: 1"), "priority: 4", "priority: 6"),
        options);
    BOOST_TEST((all.code == exit_code::not_everywhere));
    it.hosts[0].number = revision{3};
    it.hosts[1].number = revision{3};
    auto const third = it.apply(
        with(with(file_text, "n: 0", "n: 1"), "/orders", "/lasts"), options);
    BOOST_TEST((third.code == exit_code::done));
}

BOOST_AUTO_TEST_CASE(are_refused_while_the_service_is_down)
{
    auto it = desk{};
    it.service.set_fault({standins::fault::die, std::nullopt});
    auto const shown =
        it.run([&](auto const& done) { show_defaults(it.seams(), done); });
    BOOST_TEST((shown.code == exit_code::unavailable));
    auto const applied = it.apply(file_text);
    BOOST_TEST((applied.code == exit_code::not_accepted));
    auto repeat = by_ann();
    repeat.change_id = "0123";
    auto const repeated = it.apply(file_text, repeat);
    BOOST_TEST((repeated.code == exit_code::unknown));
    BOOST_TEST(repeated.output ==
               "unknown: look again with --change_id=0123\n");
}

BOOST_AUTO_TEST_SUITE_END()
