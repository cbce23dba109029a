#include "fleet/fleet_view.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <string>
#include <vector>

// Services that a host does not reach, in digests and in the view of them.
namespace primrosedeal::fleet
{

namespace
{

using service_list = std::vector<service_id>;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto make_digest(std::string const& host, std::uint64_t sequence,
                 service_list unreachable) -> digest
{
    auto out = digest{};
    out.host = host_id{host};
    out.process_start = incarnation{1};
    out.sequence = sequence;
    out.unreachable_services = std::move(unreachable);
    return out;
}

auto reread(digest const& it) -> digest
{
    auto const got = decode_digest(encode(it, at(1000)), at(1000));
    BOOST_REQUIRE(got);
    return *got;
}

auto element_count(std::string const& bytes) -> std::size_t
{
    return msgpack::unpack(bytes.data(), bytes.size())->via.array.size;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_that_does_not_reach_a_service)

BOOST_AUTO_TEST_CASE(names_it_in_whole_and_partial_digests)
{
    auto const services = service_list{service_id{"fitting"}, service_id{"p"}};
    auto it = make_digest("h1", 1, services);
    BOOST_TEST((reread(it).unreachable_services == services));
    it.partial = true;
    auto const got = reread(it);
    BOOST_TEST(got.partial);
    BOOST_TEST((got.unreachable_services == services));
}

BOOST_AUTO_TEST_CASE(keeps_the_fields_of_other_lists)
{
    auto it = make_digest("h1", 1, {service_id{"fitting"}});
    it.limits.push_back(
        {target_id{"t"}, {incarnation{7}, {}, at(900)}, at(900)});
    auto const got = reread(it);
    BOOST_TEST(got.limits.size() == 1U);
    BOOST_TEST(got.unreachable_services.size() == 1U);
    it.unreachable_services.clear();
    BOOST_TEST(reread(it).limits.size() == 1U);
    BOOST_TEST(reread(it).unreachable_services.empty());
}

BOOST_AUTO_TEST_CASE(sends_no_field_for_it_while_it_reaches_all)
{
    auto const without = encode(make_digest("h1", 1, {}), at(1000));
    auto const with = encode(make_digest("h1", 1, {service_id{"s"}}), at(1000));
    BOOST_TEST(element_count(without) + 4 == element_count(with));
    // A host of an earlier version sends no such field, as here.
    auto const got = decode_digest(without, at(1000));
    BOOST_REQUIRE(got);
    BOOST_TEST(got->unreachable_services.empty());
}

BOOST_AUTO_TEST_CASE(is_not_among_those_that_reach_it)
{
    auto const fitting = service_id{"fitting"};
    auto it = fleet_view{};
    BOOST_TEST(!it.any_host_reaches(fitting));
    it.apply(make_digest("h1", 1, {fitting}), at(1000));
    BOOST_TEST(!it.any_host_reaches(fitting));
    BOOST_TEST(it.any_host_reaches(service_id{"lookup"}));
    it.apply(make_digest("h2", 1, {}), at(1000));
    BOOST_TEST(it.any_host_reaches(fitting));
    BOOST_TEST((it.hosts_reaching(fitting) == std::vector{host_id{"h2"}}));
    auto restored = make_digest("h1", 2, {});
    restored.partial = true;
    it.apply(restored, at(1100));
    BOOST_TEST(it.hosts_reaching(fitting).size() == 2U);
}

BOOST_AUTO_TEST_CASE(counts_only_while_its_digests_are_current)
{
    auto it = fleet_view{};
    it.apply(make_digest("h1", 1, {}), at(1000));
    it.expire(at(1000) + host_timeout + 1ms);
    BOOST_TEST(!it.any_host_reaches(service_id{"fitting"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
