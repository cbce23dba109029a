#include "fleet/state_sender.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

// Request limits of targets in digests.
namespace primrosedeal::fleet
{

namespace
{

using request_limit::reported_limit;
using request_limit::request_rate;

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto limit_of(int target, std::optional<request_rate> limit, int ms)
    -> reported_limit
{
    return {target_id{"server-" + std::to_string(target)},
            {incarnation{1774603870030U}, limit, at(ms)},
            at(ms)};
}

auto make_digest(std::vector<reported_limit> limits) -> digest
{
    auto out = digest{};
    out.host = host_id{"h"};
    out.process_start = incarnation{1};
    out.sequence = 1;
    out.limits = std::move(limits);
    return out;
}

/// Limits of the only datagram that a host sends to `to` now.
auto limits_sent(state_sender& sender, fleet_view const& others,
                 digest const& own, std::uint64_t changes, time_point now)
    -> std::vector<reported_limit>
{
    auto evidence = quarantine::part_quarantine{};
    auto random = random_source{1};
    auto const receivers = std::vector{host_id{"other"}};
    auto state = own_state{};
    state.make_digest = [&]
    {
        return own;
    };
    state.changes = changes;
    state.receivers = receivers;
    auto const out = sender.next(state, evidence, others, random, now);
    BOOST_REQUIRE(out.size() == 1U);
    auto const got = decode_digest(out.front().bytes, now);
    BOOST_REQUIRE(got);
    return got->limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_digest_with_limits)

BOOST_AUTO_TEST_CASE(carries_their_ages_between_hosts_with_other_clocks)
{
    auto const bytes = encode(make_digest({limit_of(1, request_rate{1.8}, 900),
                                           limit_of(2, {}, 400)}),
                              at(1000));
    auto const got = decode_digest(bytes, at(70000));
    BOOST_REQUIRE(got);
    BOOST_REQUIRE(got->limits.size() == 2U);
    BOOST_TEST(got->limits[0].target == target_id{"server-1"});
    BOOST_TEST((got->limits[0].state ==
                request_limit::limit_state{incarnation{1774603870030U},
                                           request_rate{1.8}, at(69900)}));
    BOOST_TEST(!got->limits[1].state.limit);
    BOOST_TEST((got->limits[1].state.observed_at == at(69400)));
}

BOOST_AUTO_TEST_CASE(leaves_out_those_that_are_no_limits)
{
    auto const bytes = encode(
        make_digest({limit_of(1, request_rate{-5}, 0), limit_of(2, {}, 2000),
                     limit_of(3, request_rate{2}, 0)}),
        at(1000));
    auto const got = decode_digest(bytes, at(1000));
    BOOST_REQUIRE(got);
    BOOST_REQUIRE(got->limits.size() == 1U);
    BOOST_TEST(got->limits[0].target == target_id{"server-3"});
}

BOOST_AUTO_TEST_CASE(takes_few_bytes_for_each)
{
    auto const without = encode(make_digest({}), at(1000)).size();
    auto limits = std::vector<reported_limit>{};
    for (auto i = 0; i < static_cast<int>(request_limit::max_reported_limits);
         ++i)
    {
        limits.push_back(limit_of(i, request_rate{2.5}, 0));
    }
    auto const bytes = encode(make_digest(limits), at(1000)).size() - without;
    BOOST_TEST_MESSAGE(bytes << " bytes for " << limits.size() << " limits");
    constexpr auto most_a_row = std::size_t{40};
    BOOST_TEST(bytes <= limits.size() * most_a_row);
}

BOOST_AUTO_TEST_CASE(that_is_partial_has_only_new_ones)
{
    constexpr auto unknown_link = 0.0;
    auto sender = state_sender{unknown_link};
    auto others = fleet_view{};
    auto other = make_digest({});
    other.host = host_id{"other"};
    other.reads_all_forms = true;
    others.apply(other, at(1000));
    auto own = make_digest({limit_of(1, request_rate{2}, 500)});
    BOOST_TEST(limits_sent(sender, others, own, 1, at(1000)).size() == 1U);
    own.limits.push_back(limit_of(2, request_rate{3}, 1010));
    auto const news = limits_sent(sender, others, own, 2, at(1020));
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST(news[0].target == target_id{"server-2"});
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
