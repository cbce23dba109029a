#include "configuration_check/check.hpp"
#include "configuration_check/differences.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// Configurations that hosts would take, with one fault each.
namespace primrosedeal::configuration_check
{

namespace
{

auto make_route(std::string host, std::string prefix) -> routes::route
{
    auto out = routes::route{};
    out.host = std::move(host);
    out.path_prefix = std::move(prefix);
    out.timeout = 5s;
    out.objective = 1s;
    out.split = {{service_id{"s"}, 1}};
    return out;
}

/// Has no findings.
struct proper
{
    proper()
    {
        it.configuration.version = routes::configuration_version{7};
        it.configuration.routes = {make_route("h", "/a/"),
                                   make_route("h", "/b/")};
        it.configuration.services = {{service_id{"s"}, "/healthz", 0, {}}};
        it.configuration.organisations = {
            {organisation_id{"o"}, {}, {"secret-1"}},
            {organisation_id{"p"}, 2, {"secret-2"}}};
    }

    /// The only finding.
    auto only() -> finding
    {
        auto const all = check(it);
        BOOST_REQUIRE(all.size() == 1);
        for (auto const* const key : {"secret-1", "secret-2"})
        {
            BOOST_TEST(all.front().text.find(key) == std::string::npos);
        }
        return all.front();
    }

    auto route(std::size_t i = 0) -> routes::route&
    {
        return it.configuration.routes.at(i);
    }

    auto limits() -> routes::client_limits&
    {
        return it.configuration.limits;
    }

    document it;
};

auto route_at(std::size_t i, member of = member::all) -> place
{
    return {section::routes, i, of};
}

auto limit(member of) -> place
{
    return {section::limits, 0, of};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_configuration_that_is_checked)

BOOST_FIXTURE_TEST_CASE(has_no_findings_if_it_is_proper, proper)
{
    BOOST_TEST(check(it).empty());
    it.configuration = {};
    BOOST_TEST(check(it).empty());
}

BOOST_FIXTURE_TEST_CASE(has_a_route_that_another_one_hides, proper)
{
    it.configuration.routes.push_back(make_route("H.", "/a/"));
    auto const same = only();
    BOOST_TEST((same.at == route_at(2)));
    BOOST_REQUIRE(same.because);
    BOOST_TEST((*same.because == route_at(0)));
    // The route without a port goes first, although it stands behind.
    route(0).host = "h:80";
    route(2).host = "h";
    auto const earlier = only();
    BOOST_TEST((earlier.at == route_at(0)));
    BOOST_TEST((*earlier.because == route_at(2)));
}

BOOST_FIXTURE_TEST_CASE(has_a_prefix_that_no_path_has, proper)
{
    for (auto const* const prefix : {"", "/a", "a/", "/a?/", "/a#/"})
    {
        route(1).path_prefix = prefix;
        BOOST_TEST((only().at == route_at(1, member::path_prefix)));
    }
}

BOOST_FIXTURE_TEST_CASE(has_services_that_no_request_reaches, proper)
{
    it.configuration.services.push_back({service_id{"t"}, "/", 0, {}});
    BOOST_TEST((only().at == place{section::services, 1}));
    route(0).split = {{service_id{"s"}, 1}, {service_id{"t"}, 0}};
    BOOST_TEST((only().at == route_at(0, member::split)));
    route(0).split = {{service_id{"s"}, 1}, {service_id{"t"}, 1}};
    BOOST_TEST(check(it).empty());
    route(0).split.push_back({service_id{"unknown"}, 1});
    BOOST_TEST((only().at == route_at(0, member::split)));
    route(0).split.pop_back();
    it.configuration.services.push_back({service_id{"s"}, "/", 0, {}});
    BOOST_TEST((only().at == place{section::services, 2}));
}

BOOST_FIXTURE_TEST_CASE(has_organisations_that_no_key_or_two_name, proper)
{
    auto& all = it.configuration.organisations;
    all[1].keys.clear();
    auto const none = only();
    BOOST_TEST((none.at == place{section::organisations, 1, member::keys}));
    BOOST_TEST(none.text.ends_with("p"));
    all[1].keys = {"secret-2", "secret-1"};
    auto const shared = only();
    BOOST_TEST((shared.at == place{section::organisations, 1, member::keys}));
    BOOST_TEST(
        (*shared.because == place{section::organisations, 0, member::keys}));
    all[1].keys = {"secret-2", "secret-2"};
    BOOST_TEST((only().at == place{section::organisations, 1, member::keys}));
}

BOOST_FIXTURE_TEST_CASE(has_times_and_numbers_that_cannot_be, proper)
{
    route(1).objective = 6s;
    BOOST_TEST((only().at == route_at(1, member::objective)));
    route(1).objective = 5s;
    route(1).gap_objective = 6s;
    BOOST_TEST((only().at == route_at(1, member::gap_objective)));
    route(1).gap_objective = 0s;
    for (auto const priority : {-1, 9})
    {
        route(1).priority = priority;
        BOOST_TEST((only().at == route_at(1, member::priority)));
    }
    route(1).priority = 8;
    it.configuration.organisations[1].priority = -1;
    BOOST_TEST(
        (only().at == place{section::organisations, 1, member::priority}));
    it.configuration.organisations[1].priority = 0;
    it.stated_attempts = {std::nullopt, 0};
    BOOST_TEST((only().at == route_at(1, member::max_attempts)));
    it.stated_attempts = {1, 3};
    BOOST_TEST(check(it).empty());
}

BOOST_FIXTURE_TEST_CASE(has_limits_that_contradict_each_other, proper)
{
    auto const usual = limits();
    limits().body_bytes = limits().head_bytes - 1;
    BOOST_TEST((only().at == limit(member::body_bytes)));
    limits().body_bytes = max_body_bytes + 1;
    BOOST_TEST((only().at == limit(member::body_bytes)));
    limits() = usual;
    for (auto const bytes : {std::size_t{0}, max_head_bytes + 1})
    {
        limits().head_bytes = bytes;
        BOOST_TEST((only().at == limit(member::head_bytes)));
    }
    limits() = usual;
    limits().head_timeout = limits().idle_timeout + 1s;
    BOOST_TEST((only().at == limit(member::head_timeout)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_configuration_beside_the_one_in_force)

BOOST_FIXTURE_TEST_CASE(has_a_higher_version, proper)
{
    auto next = it.configuration;
    auto const same = compare(it.configuration, next);
    BOOST_TEST(same.differences.empty());
    BOOST_REQUIRE(same.version);
    BOOST_TEST(
        (same.version->at == place{section::document, 0, member::version}));
    next.version = routes::configuration_version{8};
    BOOST_TEST(!compare(it.configuration, next).version);
    BOOST_TEST(compare(next, it.configuration).version.has_value());
}

BOOST_FIXTURE_TEST_CASE(adds_removes_and_changes_entries, proper)
{
    auto next = it.configuration;
    // The order does not count.
    std::swap(next.routes[0], next.routes[1]);
    next.routes[0].timeout = 6s;
    next.routes[0].split = {{service_id{"t"}, 2}};
    next.routes[1].path_prefix = "/c/";
    next.services[0].engine = routes::engine_limits{};
    next.services.push_back({service_id{"t"}, "/", 0, {}});
    next.organisations[0].keys = {"secret-3", "secret-4"};
    next.organisations.pop_back();
    next.limits.idle_timeout = 20s;
    auto text = std::vector<std::string>{};
    for (auto const& each : compare(it.configuration, next).differences)
    {
        text.push_back(std::string{to_string(each.what)} + ' ' + each.entry);
        for (auto const& name : each.members)
        {
            text.back() += ", " + name;
        }
    }
    auto const expected = std::vector<std::string>{
        "removed route h/a/",
        "changed route h/b/, timeout, split",
        "added route h/c/",
        "changed service s, engine",
        "added service t",
        "changed organisation o, keys (2 added, 1 removed)",
        "removed organisation p",
        "changed limits, idle timeout"};
    BOOST_TEST(text == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::configuration_check
