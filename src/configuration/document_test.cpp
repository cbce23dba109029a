#include "configuration/check.hpp"
#include "configuration/yaml.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <rapidcheck.h>
#include <set>
#include <sstream>

using namespace primrosedeal;
using namespace primrosedeal::configuration;

namespace
{

auto const start = std::string{R"(revision: 3
failure_domains: [a, b]
defaults:
  generation:
    silence_floor: 250ms
    default_deadline: 90s
services:
  fitting: {kind: engine, checks_fencing: true}
  order: {kind: plain, orders: [/orders, "/lasts/*"]}
models:
  m: {service: fitting, version: "2", adapters: [x], replica_floor: {a: 2}}
organisations:
  one: {keys: [)"} +
                   std::string(64, '1') + "]}\n  two: {keys: []}\n";

auto with_exceptions(std::string const& text) -> std::string
{
    return start + "exceptions:\n" + text;
}

auto exception_text(std::string const& scope, std::string const& value,
                    std::string const& more = "") -> std::string
{
    return "  - {scope: {" + scope +
           "}, field: admission.priority, value: " + value +
           ", reason: r, author: a" + more + "}\n";
}

auto findings_of(std::string const& text) -> std::vector<std::string>
{
    try
    {
        read_yaml(text, "f");
        return {};
    }
    catch (yaml_error const& ex)
    {
        return ex.lines();
    }
}

auto only_finding(std::string const& text) -> std::string
{
    auto const lines = findings_of(text);
    BOOST_REQUIRE_EQUAL(lines.size(), 1);
    return lines.front();
}

auto replaced(std::string text, std::string const& from, std::string const& to)
    -> std::string
{
    auto const at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

auto priority_of(document const& it, std::string const& service,
                 std::string const& organisation, std::string const& domain,
                 wall_time now = {}) -> std::uint64_t
{
    return effective(it, service_id{service}, organisation_id{organisation},
                     domain_id{domain}, now)
        .admission.priority;
}

auto sample(std::string const& name) -> std::string
{
    auto const here = std::string{__FILE__};
    auto const root = here.substr(0, here.rfind("/src/"));
    auto file = std::ifstream{root + "/samples/" + name};
    auto text = std::stringstream{};
    text << file.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(operators_file)

BOOST_AUTO_TEST_CASE(is_read_into_typed_values)
{
    auto const it = read_yaml(start, "f");
    BOOST_TEST(it.number.value() == 3);
    BOOST_TEST((it.defaults.generation.silence_floor == 250ms));
    BOOST_TEST((it.defaults.generation.default_deadline == 90s));
    BOOST_TEST(find_service(it, service_id{"fitting"})->checks_fencing);
    auto const& order = *find_service(it, service_id{"order"});
    BOOST_TEST(is_order_path(order, "/orders"));
    BOOST_TEST(is_order_path(order, "/lasts/7"));
    BOOST_TEST(!is_order_path(order, "/orders/7"));
    BOOST_TEST(it.models.front().replica_floor.at(domain_id{"a"}) == 2);
}

BOOST_AUTO_TEST_CASE(written_and_read_again_is_the_same)
{
    auto const text = with_exceptions(exception_text(
        "organisation: one", "7", ", expires: 2027-01-31T08:00:00Z"));
    auto const it = read_yaml(text, "f");
    BOOST_TEST((read_yaml(write_yaml(it), "f") == it));
}

BOOST_AUTO_TEST_CASE(samples_are_acceptable)
{
    auto const hormahan = read_yaml(sample("hormahan.defaults.yaml"), "h");
    auto const kigali = read_yaml(sample("kigali.defaults.yaml"), "k");
    BOOST_TEST((hormahan.defaults.generation.side == resume_side::resources));
    BOOST_TEST((kigali.defaults.generation.side == resume_side::latency));
    BOOST_TEST(hormahan.organisations.size() == 10);
    BOOST_TEST(kigali.organisations.size() == 10);
    auto const index = key_index{kigali};
    auto const* found = index.find(hash_key("key-of-parliament"));
    BOOST_REQUIRE(found != nullptr);
    BOOST_TEST(found->value() == "parliament");
    BOOST_TEST(index.find(hash_key("key-of-nobody")) == nullptr);
}

BOOST_AUTO_TEST_SUITE(is_refused_with_file_line_and_key)

BOOST_AUTO_TEST_CASE(for_an_unknown_key)
{
    BOOST_TEST(only_finding(replaced(start, "silence_floor", "silence")) ==
               "f:5: generation.silence: expected no such key here");
    BOOST_TEST(only_finding(start + "extra: 1\n") ==
               "f:15: extra: expected no such key here");
}

BOOST_AUTO_TEST_CASE(for_a_wrong_type_or_a_value_outside_its_bound)
{
    auto const expected_text =
        "f:5: generation.silence_floor: expected a duration from 20ms to "
        "2500ms";
    BOOST_TEST(only_finding(replaced(start, "250ms", "soon")) == expected_text);
    BOOST_TEST(only_finding(replaced(start, "250ms", "9s")) == expected_text);
    BOOST_TEST(only_finding(replaced(start, "250ms", "[250ms]")) ==
               "f:5: generation.silence_floor: expected a single value");
    BOOST_TEST(only_finding(replaced(start, "kind: engine", "kind: fast")) ==
               "f:8: kind: expected engine or plain");
}

BOOST_AUTO_TEST_CASE(for_a_key_given_twice)
{
    BOOST_TEST(only_finding(start + "revision: 4\n") ==
               "f:15: revision: expected each key once");
}

BOOST_AUTO_TEST_CASE(for_text_that_is_no_yaml)
{
    BOOST_TEST(findings_of("a: [").size() == 1);
    BOOST_TEST(findings_of("").size() == 1);
}

BOOST_AUTO_TEST_CASE(with_all_findings_at_once)
{
    auto const text =
        replaced(replaced(start, "250ms", "soon"), "kind: plain", "kind: x");
    BOOST_TEST(findings_of(text).size() == 2);
}

BOOST_AUTO_TEST_CASE(for_an_exception_without_a_reason)
{
    auto const text = with_exceptions(
        replaced(exception_text("service: order", "1"), "reason: r, ", ""));
    BOOST_TEST(only_finding(text) == "f:16: reason: expected a written reason");
}

BOOST_AUTO_TEST_CASE(for_a_scope_that_names_nothing_declared)
{
    BOOST_TEST(only_finding(
                   with_exceptions(exception_text("service: nowhere", "1"))) ==
               "f:16: scope.service: expected a declared service");
    BOOST_TEST(only_finding(with_exceptions(
                   exception_text("organisation: nobody", "1"))) ==
               "f:16: scope.organisation: expected a declared organisation");
    BOOST_TEST(
        only_finding(
            with_exceptions(exception_text("failure_domain: z", "1"))) ==
        "f:16: scope.failure_domain: expected a declared failure domain");
}

BOOST_AUTO_TEST_CASE(for_exceptions_that_contradict_each_other)
{
    auto const same = exception_text("service: order", "1") +
                      exception_text("service: order", "2");
    BOOST_TEST(only_finding(with_exceptions(same)) ==
               "f:17: field: expected one exception of admission.priority per "
               "scope (contradicts exception 1)");
    auto const crossing = exception_text("service: order", "1") +
                          exception_text("organisation: one", "2");
    BOOST_TEST(findings_of(with_exceptions(crossing)).size() == 1);
    auto const settled =
        crossing + exception_text("service: order, organisation: one", "3",
                                  ", overrides: true");
    BOOST_TEST(findings_of(with_exceptions(settled)).empty());
    auto const settled_for_a_while =
        crossing +
        exception_text("service: order, organisation: one", "3",
                       ", overrides: true, expires: 2027-01-01T00:00:00Z");
    BOOST_TEST(findings_of(with_exceptions(settled_for_a_while)).size() == 1);
}

BOOST_AUTO_TEST_CASE(for_one_that_shadows_a_wider_one_unsaid)
{
    auto const text = exception_text("service: order", "1") +
                      exception_text("service: order, failure_domain: a", "2");
    BOOST_TEST(only_finding(with_exceptions(text)) ==
               "f:17: overrides: expected true, since it shadows exception 1 "
               "for its scope");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(policies)

BOOST_AUTO_TEST_CASE(narrower_exceptions_go_before_wider_ones)
{
    auto const it = read_yaml(
        with_exceptions(exception_text("service: order, organisation: one", "3",
                                       ", overrides: true") +
                        exception_text("organisation: one", "2") +
                        exception_text("service: order", "1")),
        "f");
    BOOST_TEST(priority_of(it, "fitting", "two", "a") == 4);
    BOOST_TEST(priority_of(it, "order", "two", "a") == 1);
    BOOST_TEST(priority_of(it, "fitting", "one", "a") == 2);
    BOOST_TEST(priority_of(it, "order", "one", "a") == 3);
}

namespace
{

/// 0 for "all", else one of two names.
template <class Id>
auto any_part(char const* prefix) -> std::optional<Id>
{
    auto const n = *rc::gen::inRange(0, 3);
    return n == 0 ? std::nullopt
                  : std::optional{Id{prefix + std::to_string(n)}};
}

/// As many random exceptions as are accepted together.
auto any_document() -> document
{
    auto it = document{};
    it.domains = {domain_id{"d1"}, domain_id{"d2"}};
    it.services = {{service_id{"s1"}, service_kind::engine, false, {}},
                   {service_id{"s2"}, service_kind::plain, false, {}}};
    it.organisations = {{organisation_id{"o1"}, {}},
                        {organisation_id{"o2"}, {}}};
    for (auto tries = 0; tries < 12; ++tries)
    {
        auto entry = exception_entry{};
        entry.scope = {any_part<organisation_id>("o"),
                       any_part<service_id>("s"), any_part<domain_id>("d")};
        entry.field = "admission.priority";
        entry.value = *rc::gen::inRange<std::uint64_t>(0, 10);
        entry.reason = "r";
        entry.author = "a";
        entry.overrides = true;
        auto const expiry = *rc::gen::inRange(0, 4);
        if (expiry > 0)
        {
            entry.expires = wall_time{std::chrono::seconds{expiry}};
        }
        it.exceptions.push_back(entry);
        if (!check(it).empty())
        {
            it.exceptions.pop_back();
        }
    }
    return it;
}

/// Whether `a` covers all that `b` does.
auto contains(exception_scope const& a, exception_scope const& b) -> bool
{
    return (!a.organisation || a.organisation == b.organisation) &&
           (!a.service || a.service == b.service) &&
           (!a.domain || a.domain == b.domain);
}

/// The priorities that a reader of the list could claim: of the exceptions
/// in force there, those that have no narrower one.
auto claims(document const& it, exception_scope const& point, wall_time now)
    -> std::set<std::uint64_t>
{
    auto here = std::vector<exception_entry>{};
    for (auto const& each : it.exceptions)
    {
        auto const over = each.expires && *each.expires <= now;
        if (!over && contains(each.scope, point))
        {
            here.push_back(each);
        }
    }
    auto result = std::set<std::uint64_t>{};
    for (auto const& each : here)
    {
        auto const narrower = [&](exception_entry const& other)
        {
            return other.scope != each.scope &&
                   contains(each.scope, other.scope);
        };
        if (std::ranges::none_of(here, narrower))
        {
            result.insert(std::get<std::uint64_t>(each.value));
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(agree_with_the_only_claim_that_an_accepted_list_allows)
{
    auto accepted = 0;
    auto const ok = rc::check(
        "one claim at each point",
        [&]
        {
            auto const it = any_document();
            accepted += it.exceptions.size() > 1 ? 1 : 0;
            auto const point = exception_scope{
                organisation_id{*rc::gen::element<std::string>("o1", "o2")},
                service_id{*rc::gen::element<std::string>("s1", "s2")},
                domain_id{*rc::gen::element<std::string>("d1", "d2")}};
            auto const now =
                wall_time{std::chrono::seconds{*rc::gen::inRange(0, 4)}};
            auto const claimed = claims(it, point, now);
            RC_ASSERT(claimed.size() <= 1);
            auto const expected_priority = claimed.empty()
                                               ? it.defaults.admission.priority
                                               : *claimed.begin();
            RC_ASSERT(effective(it, *point.service, *point.organisation,
                                *point.domain, now)
                          .admission.priority == expected_priority);
        });
    BOOST_TEST(ok);
    BOOST_TEST(accepted > 50);
}

BOOST_AUTO_TEST_CASE(an_expired_exception_stops_at_its_civil_time)
{
    auto const it = read_yaml(
        with_exceptions(exception_text("service: order", "1",
                                       ", expires: 2027-01-31T08:00:00Z")),
        "f");
    auto const expiry = *parse_wall_time("2027-01-31T08:00:00Z");
    BOOST_TEST(priority_of(it, "order", "two", "a", expiry - 1s) == 1);
    BOOST_TEST(priority_of(it, "order", "two", "a", expiry) == 4);
    BOOST_TEST((next_expiry(it, expiry - 1s) == expiry));
    BOOST_TEST(!next_expiry(it, expiry));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(texts_of_values)

BOOST_AUTO_TEST_CASE(durations_carry_units)
{
    BOOST_TEST((parse_duration("250ms") == duration{250ms}));
    BOOST_TEST((parse_duration("1.5s") == duration{1500ms}));
    BOOST_TEST((parse_duration("2h") == duration{2h}));
    for (auto const* bad :
         {"", "3", "s", "3 s", "-3s", "3days", "0.5us", "1..s"})
    {
        BOOST_TEST(!parse_duration(bad), bad);
    }
}

BOOST_AUTO_TEST_CASE(a_formatted_value_reads_back_as_itself)
{
    auto const ok = rc::check(
        "durations",
        []
        {
            auto const micros = *rc::gen::inRange<std::int64_t>(0, 9'000'000);
            auto const it = duration{micros * *rc::gen::element(1, 1000)};
            RC_ASSERT(parse_duration(format_duration(it)) == it);
        });
    BOOST_TEST(ok);
    for (auto const& it : all_fields())
    {
        auto const value = get(it, policy{});
        BOOST_TEST((parse_value(it, format_value(value)) == value), it.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
