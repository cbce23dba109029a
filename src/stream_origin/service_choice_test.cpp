#include "stream_origin/service_choice.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace primrosedeal::stream_origin
{

namespace
{

auto const a = service_id{"a"};
auto const b = service_id{"b"};
auto const c = service_id{"c"};
auto const plain = service_id{"plain"};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};

auto route_to(std::vector<routes::service_share> split) -> routes::route
{
    auto out = routes::route{};
    out.kind = routes::request_kind::streaming;
    out.resumable = true;
    out.split = std::move(split);
    return out;
}

auto const split = route_to({{a, 5}, {b, 95}});
auto const moved = route_to({{b, 1}});

auto chosen(service_choice const& it) -> std::optional<service_id>
{
    auto const* const only = std::get_if<only_service>(&it);
    return only == nullptr ? std::nullopt : std::optional{only->service};
}

auto is_unknown(service_choice const& it) -> bool
{
    return std::holds_alternative<service_unknown>(it);
}

auto is_gone(service_choice const& it) -> bool
{
    return std::holds_alternative<service_gone>(it);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_service_of_a_stream_that_is_taken_up)

// It was drawn anew by the weights of the route, and the stream was refused.
BOOST_AUTO_TEST_CASE(is_the_one_that_began_it_whatever_the_weights)
{
    auto const recorded = versions_by_service{{a, {v1}}, {b, {v2}}};
    BOOST_TEST((chosen(choose_service(origin{a, v1}, split, recorded)) == a));
    BOOST_TEST((chosen(choose_service(origin{b, v2}, split, recorded)) == b));
    BOOST_TEST((chosen(choose_service(origin{a, v1}, split, {})) == a));
}

BOOST_AUTO_TEST_CASE(has_gone_if_the_route_moved_to_another_one)
{
    auto const recorded = versions_by_service{{a, {v1}}, {b, {v1}}};
    BOOST_TEST(is_gone(choose_service(origin{a, v1}, moved, recorded)));
    BOOST_TEST(is_gone(
        choose_service(origin{a, v1}, route_to({{a, 0}, {b, 100}}), recorded)));
}

BOOST_AUTO_TEST_SUITE(without_a_record)

// All hosts were lost: streams of one service went on at the other one, which
// named its version alike.
BOOST_AUTO_TEST_CASE(is_not_guessed_if_several_services_have_streams)
{
    auto const recorded = versions_by_service{{a, {v1}}, {b, {v1}}};
    BOOST_TEST(is_unknown(choose_service({}, split, recorded)));
    // The route may have moved just before.
    BOOST_TEST(is_unknown(choose_service({}, moved, recorded)));
    BOOST_TEST(is_unknown(choose_service({}, moved, {{a, {v1}}})));
}

BOOST_AUTO_TEST_CASE(is_the_only_one_that_has_streams)
{
    BOOST_TEST((chosen(choose_service({}, moved, {{b, {v1}}})) == b));
    BOOST_TEST((chosen(choose_service({}, split, {{b, {v1}}})) == b));
    // Which version began it is not known then.
    BOOST_TEST((chosen(choose_service({}, moved, {})) == b));
    BOOST_TEST(is_unknown(choose_service({}, split, {})));
}

BOOST_AUTO_TEST_CASE(
    is_the_only_one_with_the_version_that_an_older_host_reports)
{
    auto const recorded = versions_by_service{{a, {v1}}, {b, {v2}}};
    BOOST_TEST((chosen(choose_service(origin{{}, v1}, split, recorded)) == a));
    BOOST_TEST((chosen(choose_service(origin{{}, v2}, split, recorded)) == b));
    auto const alike = versions_by_service{{a, {v1}}, {b, {v1}}};
    BOOST_TEST(is_unknown(choose_service(origin{{}, v1}, split, alike)));
    BOOST_TEST(is_unknown(choose_service(origin{{}, v1}, moved, recorded)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_no_plain_service_that_no_stream_can_use)
{
    auto it = routes::configuration{};
    it.routes = {split};
    auto calls = route_to({{plain, 1}});
    calls.kind = routes::request_kind::non_idempotent;
    it.routes.push_back(calls);
    it.services = {{a, "", 1, {}},
                   {b, "", 1, {}},
                   {plain, "", 1, {}},
                   {c, "", 1, routes::engine_limits{}}};
    auto const table = routes::route_table{std::move(it)};
    auto const gone = service_id{"gone"};
    auto const all = versions_by_service{
        {a, {v1}}, {b, {v1}}, {c, {v1}}, {plain, {v1}}, {gone, {v1}}};
    auto const found = stream_services(all, table);
    BOOST_TEST(found.size() == 4U);
    BOOST_TEST(!found.contains(plain));
    // No route uses an engine, or one that the configuration has no more: one
    // did before, perhaps.
    BOOST_TEST(found.contains(c));
    BOOST_TEST(found.contains(gone));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::stream_origin
