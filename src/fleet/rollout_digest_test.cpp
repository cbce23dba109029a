#include "fleet/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <msgpack.hpp>

#include <string>
#include <tuple>

// Evidence on software versions in digests.
namespace primrosedeal::fleet
{

namespace
{

constexpr auto now = time_point{100s};

auto make_report(int routes) -> rollout::report
{
    auto it = rollout::own_evidence{2s};
    for (auto i = 0; i < routes; ++i)
    {
        auto const route = "route-" + std::to_string(i);
        for (auto ms = 1; ms < 4000; ms *= 2)
        {
            it.observe({route, true, false, std::chrono::milliseconds{ms}, {}},
                       now);
            it.observe(
                {route, false, ms == 1, std::chrono::milliseconds{ms}, {}},
                now);
        }
    }
    return {service_id{"s"}, rollout::entry_revision{7}, 1500ms, true, true,
            it.counts(now)};
}

auto make_digest(std::vector<rollout::report> rollouts) -> digest
{
    auto out = digest{};
    out.host = host_id{"h"};
    out.process_start = incarnation{1};
    out.sequence = 1;
    out.rollouts = std::move(rollouts);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_evidence_on_versions_in_a_digest)

BOOST_AUTO_TEST_CASE(arrives_as_it_was)
{
    for (auto const partial : {false, true})
    {
        auto it = make_digest({make_report(2)});
        it.partial = partial;
        auto const got = decode_digest(encode(it, now), now);
        BOOST_REQUIRE(got);
        BOOST_REQUIRE(got->rollouts.size() == 1U);
        auto const& sent = it.rollouts.front();
        auto const& one = got->rollouts.front();
        BOOST_TEST(one.service.value() == "s");
        BOOST_TEST(one.order.value() == 7);
        BOOST_TEST((one.age == sent.age));
        BOOST_TEST(one.bad);
        BOOST_TEST(one.whole);
        for (auto const& [route, counts] : sent.counts.others)
        {
            auto const& other = one.counts.others.at(route);
            BOOST_TEST(other.all.failures == counts.all.failures);
            BOOST_TEST((other.all.by_time == counts.all.by_time));
            BOOST_TEST((other.recent.by_time == counts.recent.by_time));
        }
        BOOST_TEST(one.counts.target.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(takes_no_room_where_there_is_none)
{
    auto const without = encode(make_digest({}), now);
    BOOST_TEST(without.size() < 40U);
    BOOST_TEST(decode_digest(without, now)->rollouts.empty());
}

BOOST_AUTO_TEST_CASE(is_bounded)
{
    auto const it =
        make_digest(std::vector<rollout::report>(10, make_report(40)));
    auto const bytes = encode(it, now);
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    BOOST_TEST(encode(make_digest({make_report(3)}), now).size() < 600U);
    auto const got = decode_digest(bytes, now);
    BOOST_REQUIRE(got);
    BOOST_TEST(got->rollouts.size() == 8U);
}

// Hosts of earlier versions read the first elements and check the limits of
// the whole message.
BOOST_AUTO_TEST_CASE(keeps_to_the_limits_of_hosts_of_earlier_versions)
{
    constexpr auto max_rows = std::size_t{4096};
    constexpr auto max_text = std::size_t{1024};
    constexpr auto max_depth = std::size_t{4};
    auto const bytes = encode(make_digest({make_report(12)}), now);
    auto const handle = msgpack::unpack(
        bytes.data(), bytes.size(), nullptr, nullptr,
        msgpack::unpack_limit(max_rows, 0, max_text, 0, 0, max_depth));
    auto const first = handle.get().as<std::tuple<std::string>>();
    BOOST_TEST(std::get<0>(first) == "h");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
