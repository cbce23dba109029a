#include "stream_origin/origin_table.hpp"
#include "stream_origin/version_choice.hpp"

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

auto const engines = service_id{"engines"};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto id(std::uint64_t n) -> stream_id
{
    return stream_id{n};
}

auto targets_of(std::vector<software_version> const& versions)
    -> std::vector<directory::listed_target>
{
    auto out = std::vector<directory::listed_target>{};
    for (auto const& it : versions)
    {
        out.emplace_back();
        out.back().version = it;
    }
    return out;
}

/// All that a host in contact knows, with a record of these versions.
struct known_service
{
    known_service(std::vector<software_version> const& listed,
                  version_set served)
        : usable(targets_of(listed)), recorded(std::move(served)),
          stored(recorded)
    {
    }

    [[nodiscard]] auto
    choose(bool begun, std::optional<software_version> const& origin) const
        -> version_choice
    {
        return choose_version({begun, origin},
                              {usable, recorded, one_listed, list_is_current,
                               stored, record_is_complete});
    }

    std::vector<directory::listed_target> usable;
    version_set recorded;
    std::optional<version_set> stored;
    bool one_listed = true;
    bool list_is_current = true;
    bool record_is_complete = true;
};

auto version_of(origin_table const& it, stream_id stream)
    -> std::optional<software_version>
{
    auto const found = it.find(stream);
    return found ? std::optional{found->version} : std::nullopt;
}

auto chosen(version_choice const& it) -> std::optional<software_version>
{
    auto const* const only = std::get_if<only_version>(&it);
    return only == nullptr ? std::nullopt : std::optional{only->version};
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_version_of_a_stream)

BOOST_AUTO_TEST_SUITE(that_has_no_event)

BOOST_AUTO_TEST_CASE(is_any_that_is_recorded)
{
    auto const it = known_service{{v1, v2}, {v1}}.choose(false, v1);
    auto const* const first = std::get_if<recorded_versions>(&it);
    BOOST_REQUIRE(first != nullptr);
    BOOST_TEST((first->versions == version_set{v1}));
}

BOOST_AUTO_TEST_CASE(is_any_if_no_recorded_one_serves)
{
    BOOST_TEST(std::holds_alternative<any_version>(
        known_service({v2}, {v1}).choose(false, {})));
    BOOST_TEST(std::holds_alternative<any_version>(
        known_service({v2}, {}).choose(false, {})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_has_begun)

BOOST_AUTO_TEST_CASE(is_the_one_that_began_it)
{
    BOOST_TEST(
        (chosen(known_service({v1, v2}, {v1, v2}).choose(true, v2)) == v2));
    BOOST_TEST((chosen(known_service({v1}, {v1}).choose(true, v1)) == v1));
}

BOOST_AUTO_TEST_CASE(has_gone_with_the_last_target_that_takes_requests)
{
    auto const it = known_service{{v2, v2}, {v2}}.choose(true, v1);
    BOOST_TEST(std::holds_alternative<version_gone>(it));
}

BOOST_AUTO_TEST_CASE(is_open_while_no_target_is_known_at_all)
{
    BOOST_TEST(std::holds_alternative<any_version>(
        known_service({}, {v1}).choose(true, v1)));
    BOOST_TEST(std::holds_alternative<any_version>(
        known_service({}, {v1}).choose(true, {})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(of_unknown_origin)

BOOST_AUTO_TEST_CASE(is_the_only_one_and_is_not_guessed_otherwise)
{
    auto it = known_service{{v1, v1}, {v1}};
    BOOST_TEST((chosen(it.choose(true, {})) == v1));
    it.one_listed = false;
    BOOST_TEST(std::holds_alternative<version_unknown>(it.choose(true, {})));
}

BOOST_AUTO_TEST_CASE(is_not_the_only_one_that_a_new_host_finds)
{
    auto const unknown = [](known_service const& it)
    {
        return std::holds_alternative<version_unknown>(it.choose(true, {}));
    };
    BOOST_TEST(unknown({{v2}, {v1, v2}}));
    // All targets were replaced while no host ran.
    BOOST_TEST(unknown({{v2}, {v1}}));
    BOOST_TEST(unknown({{v2}, {}}));
}

BOOST_AUTO_TEST_CASE(is_not_the_only_one_known_before_the_request_arrived)
{
    auto it = known_service{{v1}, {v1}};
    it.stored.reset();
    BOOST_TEST(std::holds_alternative<record_needed>(it.choose(true, {})));
    for (auto const& versions : {version_set{v1, v2}, {v2}, version_set{}})
    {
        it.stored = versions;
        BOOST_TEST(
            std::holds_alternative<version_unknown>(it.choose(true, {})));
    }
}

// Hosts that started beside a restored store took the record that it came back
// with for proof, and went on with streams of a version that it lacked.
BOOST_AUTO_TEST_CASE(is_not_the_only_one_of_a_record_that_is_not_confirmed)
{
    auto it = known_service{{v1}, {v1}};
    it.record_is_complete = false;
    BOOST_TEST(std::holds_alternative<record_unconfirmed>(it.choose(true, {})));
    BOOST_TEST((chosen(it.choose(true, v1)) == v1));
    // A confirmation tells nothing more where several versions serve.
    it.one_listed = false;
    BOOST_TEST(std::holds_alternative<version_unknown>(it.choose(true, {})));
}

BOOST_AUTO_TEST_CASE(is_not_the_only_one_of_a_list_that_may_be_old)
{
    auto it = known_service{{v1}, {v1}};
    it.list_is_current = false;
    BOOST_TEST(std::holds_alternative<version_unknown>(it.choose(true, {})));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_record_of_a_stream)

BOOST_AUTO_TEST_CASE(is_replaced_by_a_newer_one_of_any_host)
{
    auto it = origin_table{};
    BOOST_TEST(!it.find(id(1)));
    it.record(id(1), {engines, v1}, at(100));
    BOOST_TEST((version_of(it, id(1)) == v1));
    // A second attempt, before the first event.
    it.record(id(1), {engines, v2}, at(200));
    BOOST_TEST((version_of(it, id(1)) == v2));
    it.merge({id(1), v1, at(150), {}}, at(300));
    BOOST_TEST((version_of(it, id(1)) == v2));
    it.merge({id(1), v1, at(250), {}}, at(300));
    BOOST_TEST((version_of(it, id(1)) == v1));
}

// The service of a stream that was taken up was drawn anew.
BOOST_AUTO_TEST_CASE(names_the_service_too)
{
    auto it = origin_table{};
    it.record(id(1), {engines, v1}, at(100));
    BOOST_TEST((it.find(id(1)) == origin{engines, v1}));
    BOOST_TEST((it.report(at(100)).front().service == engines));
    BOOST_TEST((it.all().front().service == engines));
    auto other = origin_table{};
    other.merge(it.all().front(), at(200));
    BOOST_TEST((other.find(id(1)) == origin{engines, v1}));
}

BOOST_AUTO_TEST_CASE(keeps_its_service_beside_hosts_that_do_not_report_it)
{
    auto it = origin_table{};
    it.merge({id(1), v1, at(100), {}}, at(150));
    BOOST_TEST((it.find(id(1)) == origin{{}, v1}));
    it.merge({id(1), v1, at(100), {}, engines}, at(150));
    BOOST_TEST((it.find(id(1)) == origin{engines, v1}));
    it.merge({id(1), v1, at(200), {}}, at(250));
    BOOST_TEST((it.find(id(1)) == origin{engines, v1}));
}

BOOST_AUTO_TEST_CASE(is_reported_for_some_digests_by_the_host_that_made_it)
{
    auto it = origin_table{};
    it.merge({id(1), v1, at(0), {}}, at(0));
    it.record(id(2), {engines, v1}, at(100));
    it.record(id(3), {engines, v2}, at(200));
    auto const report = it.report(at(200));
    BOOST_REQUIRE(report.size() == 2U);
    BOOST_TEST((report[0].stream == id(3)));
    BOOST_TEST((report[1].stream == id(2)));
    BOOST_TEST(it.report(at(150) + report_lifetime).size() == 1U);
    BOOST_TEST(it.report(at(201) + report_lifetime).empty());
}

BOOST_AUTO_TEST_CASE(is_reported_once_however_often_it_was_made)
{
    auto it = origin_table{};
    for (auto ms = 0; ms < 10; ++ms)
    {
        it.record(id(1), {engines, v1}, at(ms));
    }
    BOOST_TEST(it.report(at(10)).size() == 1U);
    BOOST_TEST(it.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(of_others_is_passed_on_to_a_host_that_has_started)
{
    auto it = origin_table{};
    it.merge({id(1), v1, at(0), {}}, at(50));
    it.record(id(2), {engines, v2}, at(100));
    auto const all = it.all();
    BOOST_REQUIRE(all.size() == 2U);
    BOOST_TEST((all[0].stream == id(2)));
    BOOST_TEST((all[1].version == v1));
    BOOST_TEST((all[1].at == at(0)));
}

BOOST_AUTO_TEST_CASE(may_be_known_elsewhere_once_it_has_been_reported)
{
    auto it = origin_table{};
    it.record(id(1), {engines, v1}, at(0));
    it.record(id(2), {engines, v1}, at(0));
    BOOST_TEST(!it.may_be_known_elsewhere(id(1)));
    // Not in a report of another time.
    BOOST_TEST(it.report(at(1) + report_lifetime).empty());
    BOOST_TEST(!it.may_be_known_elsewhere(id(1)));
    BOOST_TEST(it.report(at(1)).size() == 2U);
    BOOST_TEST(it.may_be_known_elsewhere(id(1)));
    it.record(id(1), {engines, v1}, at(2));
    BOOST_TEST(it.may_be_known_elsewhere(id(1)));
    it.record(id(3), {engines, v1}, at(3));
    BOOST_TEST(!it.may_be_known_elsewhere(id(3)));
    BOOST_TEST(it.all().size() == 3U);
    BOOST_TEST(it.may_be_known_elsewhere(id(3)));
}

BOOST_AUTO_TEST_CASE(may_be_known_elsewhere_if_it_is_not_this_hosts_alone)
{
    auto it = origin_table{};
    it.merge({id(1), v1, at(0), {}}, at(0));
    BOOST_TEST(it.may_be_known_elsewhere(id(1)));
    it.record(id(1), {engines, v1}, at(1));
    BOOST_TEST(it.may_be_known_elsewhere(id(1)));
    it.record(id(2), {engines, v1}, at(2));
    it.merge({id(2), v1, at(1), {}}, at(3));
    BOOST_TEST(it.may_be_known_elsewhere(id(2)));
    // It may have been dropped here.
    BOOST_TEST(it.may_be_known_elsewhere(id(3)));
}

BOOST_AUTO_TEST_CASE(is_forgotten_once_no_client_wants_its_stream)
{
    auto it = origin_table{};
    it.record(id(1), {engines, v1}, at(0));
    it.expire(at(0) + origin_lifetime);
    BOOST_TEST(it.size() == 1U);
    it.record(id(1), {engines, v1}, at(100));
    it.expire(at(1) + origin_lifetime);
    BOOST_TEST(it.size() == 1U);
    it.expire(at(101) + origin_lifetime);
    BOOST_TEST(it.size() == 0U);
    it.merge({id(2), v1, at(0), {}}, at(1) + origin_lifetime);
    BOOST_TEST(it.size() == 0U);
}

BOOST_AUTO_TEST_CASE(takes_bounded_memory)
{
    auto it = origin_table{};
    constexpr auto n = max_origins + 100;
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        it.record(id(i), {engines, v1}, at(0));
    }
    BOOST_TEST(it.size() == max_origins);
    BOOST_TEST(!it.find(id(0)));
    BOOST_TEST(it.find(id(n - 1)).has_value());
    BOOST_TEST(it.report(at(0)).size() == max_reported_origins);
    BOOST_TEST(it.all().size() == max_known_origins);
}

BOOST_AUTO_TEST_CASE(is_named_by_the_request_that_began_its_stream)
{
    BOOST_TEST(
        (to_stream_id(request_id{"a"}) == to_stream_id(request_id{"a"})));
    BOOST_TEST(
        (to_stream_id(request_id{"a"}) != to_stream_id(request_id{"b"})));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::stream_origin
