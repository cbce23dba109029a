#include "routes/route_table.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace primrosedeal::routes
{

namespace
{

auto make_route(std::string host, std::string prefix) -> route
{
    auto out = route{};
    out.name = host + prefix;
    out.host = std::move(host);
    out.path_prefix = std::move(prefix);
    return out;
}

/// Reference implementation that compares every route.
auto reference_match(configuration const& it, std::string const& host,
                     std::string const& path) -> route const*
{
    route const* best = nullptr;
    for (auto const& r : it.routes)
    {
        if (r.host == host && path.starts_with(r.path_prefix) &&
            (best == nullptr ||
             best->path_prefix.size() < r.path_prefix.size()))
        {
            best = &r;
        }
    }
    return best;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_route)

BOOST_AUTO_TEST_CASE(is_the_one_with_the_longest_prefix_of_its_host)
{
    auto random = random_source{11};
    auto const path_of = [&]
    {
        static constexpr std::string_view segments[] = {"a/", "b/", "ab/"};
        auto out = std::string{"/"};
        for (auto n = random.below(4); n > 0; --n)
        {
            out += segments[random.below(3)];
        }
        return out;
    };
    constexpr auto tries = 2000;
    for (auto i = 0; i < tries; ++i)
    {
        auto prefixes = std::set<std::string>{};
        for (auto n = random.below(6); n > 0; --n)
        {
            prefixes.insert(path_of());
        }
        auto it = configuration{};
        for (auto const& prefix : prefixes)
        {
            it.routes.push_back(make_route("h", prefix));
        }
        auto const path = path_of() + (random.below(2) == 0 ? "x" : "");
        auto const table = route_table{it};
        auto const* const found = table.match("h", path + "?a/b/");
        auto const* const expected = reference_match(it, "h", path);
        BOOST_REQUIRE((found == nullptr) == (expected == nullptr));
        BOOST_TEST((found == nullptr || found->name == expected->name));
    }
}

BOOST_AUTO_TEST_CASE(is_found_by_host_without_port_and_in_any_case)
{
    auto it = configuration{};
    it.routes = {make_route("h.example", "/a/")};
    auto const table = route_table{it};
    BOOST_TEST(table.match("H.Example:80", "/a/b") != nullptr);
    BOOST_TEST(table.match("other", "/a/b") == nullptr);
    BOOST_TEST(table.match("h.example", "/A/b") == nullptr);
    BOOST_TEST(table.match("h.example", "/a") == nullptr);
}

// A fully qualified name with its dot was an unknown host.
BOOST_AUTO_TEST_CASE(is_found_by_a_host_with_its_final_dot_or_in_brackets)
{
    auto it = configuration{};
    it.routes = {make_route("h.example", "/a/"),
                 make_route("dotted.example.", "/a/"),
                 make_route("[::1]", "/a/")};
    auto const table = route_table{it};
    for (auto const* const host :
         {"h.example.", "H.example.:80", "dotted.example", "dotted.example.",
          "[::1]", "[::1]:80"})
    {
        BOOST_TEST(table.match(host, "/a/b") != nullptr, host);
    }
    for (auto const* const host : {"h.example..", ".", "[::2]", "[", ""})
    {
        BOOST_TEST(table.match(host, "/a/b") == nullptr, host);
    }
}

BOOST_AUTO_TEST_CASE(keeps_its_host_beside_one_with_a_port)
{
    auto it = configuration{};
    it.routes = {make_route("h", "/a/"), make_route("h:8080", "/a/")};
    for (auto i = 0; i < 2; ++i)
    {
        auto const table = route_table{it};
        auto const* const found = table.match("h", "/a/b");
        BOOST_REQUIRE(found != nullptr);
        BOOST_TEST(found->host == "h");
        std::swap(it.routes[0], it.routes[1]);
    }
}

BOOST_AUTO_TEST_CASE(is_split_over_services_by_weight)
{
    auto it = make_route("h", "/");
    it.split = {
        {service_id{"x"}, 90}, {service_id{"y"}, 10}, {service_id{"never"}, 0}};
    auto random = random_source{1};
    auto count = std::map<std::string, int>{};
    constexpr auto draws = 10000;
    for (auto i = 0; i < draws; ++i)
    {
        ++count[choose_service(it, random)->value()];
    }
    BOOST_TEST(count["x"] > draws * 0.88);
    BOOST_TEST(count["y"] > draws * 0.08);
    BOOST_TEST(count["never"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_key)

BOOST_AUTO_TEST_CASE(identifies_its_organisation)
{
    auto it = configuration{};
    it.organisations = {{organisation_id{"o"}, 1, {"k1", "k2"}}};
    auto const table = route_table{it};
    BOOST_TEST(table.requires_keys());
    BOOST_TEST(table.find_organisation("k2")->id.value() == "o");
    BOOST_TEST(table.find_organisation("k3") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_split_route)

BOOST_AUTO_TEST_CASE(allows_the_services_that_requests_may_be_sent_to)
{
    auto const a = service_id{"a"};
    auto const b = service_id{"b"};
    auto it = route{};
    BOOST_TEST(!allows(it, a));
    it.split = {{a, 5}, {b, 95}};
    BOOST_TEST((allows(it, a) && allows(it, b)));
    BOOST_TEST(!allows(it, service_id{"c"}));
    it.split = {{a, 0}, {b, 100}};
    BOOST_TEST((!allows(it, a) && allows(it, b)));
    it.split = {{a, 0}, {b, 0}};
    BOOST_TEST((allows(it, a) && !allows(it, b)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::routes
