#include "fleet/digest.hpp"
#include "fleet/origin_message.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>

#include <string>
#include <tuple>
#include <vector>

// Versions of streams in digests, and for hosts that have started.
namespace primrosedeal::fleet
{

namespace
{

using stream_origin::reported_origin;
using stream_origin::stream_id;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto some_origins(std::uint64_t n) -> std::vector<reported_origin>
{
    auto out = std::vector<reported_origin>{};
    for (auto i = std::uint64_t{0}; i < n; ++i)
    {
        out.push_back({stream_id{~i},
                       software_version{i % 3 == 0 ? "v1.1" : "v1.2"},
                       at(1000 - static_cast<int>(i % 1000)),
                       {}});
    }
    return out;
}

auto same(std::vector<reported_origin> const& a,
          std::vector<reported_origin> const& b, duration later) -> bool
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](auto const& x, auto const& y)
                      {
                          return x.stream == y.stream &&
                                 x.version == y.version && x.at + later == y.at;
                      });
}

auto digest_with(std::vector<reported_origin> origins) -> digest
{
    auto out = digest{};
    out.host = host_id{"h"};
    out.process_start = incarnation{1};
    out.sequence = 1;
    out.origins = std::move(origins);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(origins_of_streams)

BOOST_AUTO_TEST_SUITE(in_a_digest)

BOOST_AUTO_TEST_CASE(keep_their_ages_between_hosts_with_other_clocks)
{
    auto const own = some_origins(7);
    auto const got =
        decode_digest(encode(digest_with(own), at(1000)), at(5000));
    BOOST_REQUIRE(got);
    BOOST_TEST(same(own, got->origins, 4s));
}

BOOST_AUTO_TEST_CASE(name_their_services)
{
    auto own = some_origins(5);
    own[0].service = service_id{"a"};
    own[1].service = service_id{"b"};
    // The same version at another service.
    own[3].service = service_id{"b"};
    auto const bytes = encode(digest_with(own), at(1000));
    auto const got = decode_digest(bytes, at(1000));
    BOOST_REQUIRE(got);
    BOOST_TEST(same(own, got->origins, 0s));
    auto const body = encode(known_origins{true, own}, at(1000));
    auto const all = decode_known_origins(body, at(1000));
    BOOST_REQUIRE(all);
    BOOST_TEST(same(own, all->origins, 0s));
    for (auto i = std::size_t{0}; i < own.size(); ++i)
    {
        BOOST_TEST((got->origins[i].service == own[i].service));
        BOOST_TEST((all->origins[i].service == own[i].service));
    }
}

BOOST_AUTO_TEST_CASE(of_hosts_of_earlier_versions_name_none)
{
    using old_body =
        std::tuple<bool, std::vector<std::string>, std::vector<origin_row>>;
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, old_body{true, {"v1"}, {{7, 0, 100}}});
    auto const got = decode_known_origins({buf.data(), buf.size()}, at(1000));
    BOOST_REQUIRE(got);
    BOOST_TEST(got->complete);
    BOOST_REQUIRE(got->origins.size() == 1U);
    BOOST_TEST((got->origins.front().version == software_version{"v1"}));
    BOOST_TEST(!got->origins.front().service);
    // Those hosts read the body of today.
    auto own = some_origins(3);
    own[0].service = service_id{"a"};
    auto const bytes = encode(known_origins{true, own}, at(1000));
    auto const handle = msgpack::unpack(bytes.data(), bytes.size());
    auto const [complete, versions, rows] = handle.get().as<old_body>();
    BOOST_TEST(complete);
    BOOST_TEST(same(own, to_origins({versions, rows}, at(1000)), 0s));
}

BOOST_AUTO_TEST_CASE(take_few_bytes_each)
{
    auto const without = encode(digest_with({}), at(1000)).size();
    constexpr auto n = stream_origin::max_reported_origins;
    auto const bytes =
        encode(digest_with(some_origins(n)), at(1000)).size() - without;
    BOOST_TEST_MESSAGE(bytes << " bytes for " << n << " streams");
    constexpr auto most_each = std::size_t{16};
    BOOST_TEST(bytes <= n * most_each);
}

BOOST_AUTO_TEST_CASE(give_way_where_a_digest_has_little_room)
{
    constexpr auto most = std::size_t{300};
    auto const bytes = encode(digest_with(some_origins(64)), at(1000), most);
    BOOST_TEST(bytes.size() <= most);
    auto const got = decode_digest(bytes, at(1000));
    BOOST_REQUIRE(got);
    BOOST_TEST(!got->origins.empty());
    BOOST_TEST((got->origins.front().stream == some_origins(1).front().stream));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(for_a_host_that_has_started)

BOOST_AUTO_TEST_CASE(are_all_that_another_one_knows)
{
    auto const own = some_origins(stream_origin::max_known_origins);
    auto const bytes = encode(known_origins{true, own}, at(1000));
    BOOST_TEST_MESSAGE(bytes.size() << " bytes");
    auto const got = decode_known_origins(bytes, at(1000));
    BOOST_REQUIRE(got);
    BOOST_TEST(got->complete);
    BOOST_TEST(same(own, got->origins, 0s));
}

BOOST_AUTO_TEST_CASE(are_rejected_if_malformed_and_name_a_version)
{
    auto const bytes = encode(known_origins{false, some_origins(3)}, at(1000));
    for (auto n = std::size_t{0}; n < bytes.size(); ++n)
    {
        BOOST_TEST(!decode_known_origins(bytes.substr(0, n), at(0)));
    }
    constexpr auto no_such_version = 7U;
    BOOST_TEST(to_origins({{"v1"}, {{1, no_such_version, 0}}}, at(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
