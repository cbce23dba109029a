#include "dispatch/own_link.hpp"

#include "dispatch/attempt_policy.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <string>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto connect_time_limit = duration{250ms};
constexpr auto outage = duration{3s};
constexpr auto seeds = std::uint64_t{100};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto domains(int n) -> std::set<domain_id>
{
    auto out = std::set<domain_id>{};
    for (auto i = 0; i < n; ++i)
    {
        out.insert(domain_id{"d" + std::to_string(i)});
    }
    return out;
}

/// Reports a timeout at target `n`, which is in domain `n` modulo four.
auto time_out(own_link& it, int n, int begun_ms, int now_ms)
    -> std::optional<own_link_down>
{
    auto const domain =
        domain_id{"d" + std::to_string(n % static_cast<int>(replay_domains))};
    return it.timed_out(target_id{"t" + std::to_string(n)}, domain,
                        at(begun_ms), domains(replay_domains), at(now_ms));
}

struct outcome
{
    int requests = 0;
    int attempts = 0;
    int served = 0;
    int found_down = 0;
    /// Targets that are excluded or suspected as the outage ends.
    int avoided = 0;
    /// Losses that peers were told of.
    int told = 0;
};

using reachable = std::function<bool(directory::listed_target const&)>;

/// Requests of one host, one after the other, during an outage in which only
/// targets for which `reaches` holds answer. `detects` whether the host detects
/// that it reaches nobody.
void replay(reachable const& reaches, bool detects, std::uint64_t seed,
            outcome& out)
{
    auto const targets = replay_engines();
    auto detector = failure_detector{};
    auto link = own_link{};
    auto const loads = load_tracker{};
    auto const others = fleet::fleet_view{};
    auto const view =
        placement_view{targets, detector, loads, others, no_limits, no_gate};
    auto random = random_source{seed};
    auto now = at(1);
    auto told = std::set<target_id>{};
    while (now < time_point{outage})
    {
        ++out.requests;
        constexpr auto longest_pause_us = 200'000.0;
        now += duration{
            static_cast<duration::rep>(random.unit() * longest_pause_us)};
        auto request = placement_request{};
        request.own_domain = domain_id{"d0"};
        auto tried = std::vector<target_id>{};
        auto refusals = std::uint32_t{0};
        while (refusals < max_refusals)
        {
            request.tried = tried;
            auto const target = place(view, request, now, random);
            BOOST_REQUIRE(target);
            tried.push_back(target->id);
            ++out.attempts;
            detector.sent_to(target->domain, now);
            auto const begun_at = now;
            if (reaches(*target))
            {
                now += 1ms;
                link.answered(now);
                detector.report(target->id, target->domain,
                                observation::answered, now);
                ++out.served;
                break;
            }
            now += connect_time_limit;
            auto const change =
                link.timed_out(target->id, target->domain, begun_at,
                               domains(replay_domains), now);
            if (detects && change)
            {
                ++out.found_down;
                for (auto const& it : change->evidence)
                {
                    detector.withdraw_unreachable(it.target, it.domain, now);
                    told.erase(it.target);
                }
            }
            if (detects && link.down())
            {
                break;
            }
            ++refusals;
            if (detector.report(target->id, target->domain,
                                observation::unreachable, now))
            {
                told.insert(target->id);
            }
        }
    }
    out.told += static_cast<int>(told.size());
    out.avoided += static_cast<int>(std::count_if(
        targets.begin(), targets.end(),
        [&](directory::listed_target const& it) {
            return detector.health_of(it.id, it.domain, now) != health::healthy;
        }));
}

auto replay_all(reachable const& reaches, bool detects) -> outcome
{
    auto out = outcome{};
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed)
    {
        replay(reaches, detects, seed, out);
    }
    BOOST_TEST_MESSAGE((detects ? "with" : "without")
                       << " detection: requests " << out.requests
                       << ", attempts " << out.attempts << ", served "
                       << out.served << ", found down " << out.found_down
                       << ", targets avoided " << out.avoided
                       << ", losses told " << out.told);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host)

BOOST_AUTO_TEST_SUITE(that_reaches_nobody)

BOOST_AUTO_TEST_CASE(finds_it_by_timeouts_in_every_domain)
{
    auto it = own_link{};
    BOOST_TEST(!time_out(it, 0, 1, 250).has_value());
    BOOST_TEST(!time_out(it, 1, 1, 250).has_value());
    BOOST_TEST(!time_out(it, 2, 1, 250).has_value());
    BOOST_TEST(!time_out(it, 6, 1, 300).has_value());
    BOOST_TEST(!it.down());
    auto const change = time_out(it, 3, 100, 350);
    BOOST_REQUIRE(change);
    BOOST_TEST(it.down());
    BOOST_TEST(change->evidence.size() == 5U);
    BOOST_TEST(change->targets == 5U);
    BOOST_TEST(change->domains == 4U);
    BOOST_TEST((change->span == 100ms));
    // The state is reported once.
    BOOST_TEST(!time_out(it, 4, 100, 350).has_value());
}

BOOST_AUTO_TEST_CASE(holds_it_until_a_connection_is_answered)
{
    auto it = own_link{};
    for (auto n = 0; n < 4; ++n)
    {
        time_out(it, n, 1, 250);
    }
    time_out(it, 5, 300, 5000);
    BOOST_TEST(it.down());
    auto const change = it.answered(at(5250));
    BOOST_REQUIRE(change);
    BOOST_TEST(change->timeouts == 5U);
    BOOST_TEST((change->span == 5s));
    BOOST_TEST(!it.down());
    BOOST_TEST(!it.answered(at(5300)).has_value());
}

BOOST_AUTO_TEST_CASE(excluded_targets_and_tried_six_for_each_request)
{
    auto const nobody = [](directory::listed_target const&)
    {
        return false;
    };
    auto const naive = replay_all(nobody, false);
    auto const it = replay_all(nobody, true);
    BOOST_TEST(it.found_down == static_cast<int>(seeds));
    BOOST_TEST(naive.avoided > 0);
    BOOST_TEST(it.avoided == 0);
    BOOST_TEST(naive.told > 0);
    BOOST_TEST(it.told == 0);
    auto const mean_attempts = [](outcome const& seen)
    {
        return static_cast<double>(seen.attempts) / seen.requests;
    };
    BOOST_TEST(mean_attempts(it) < mean_attempts(naive));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_reaches_somebody)

BOOST_AUTO_TEST_CASE(does_not_count_timeouts_across_an_answer)
{
    auto it = own_link{};
    time_out(it, 0, 1, 250);
    time_out(it, 1, 1, 250);
    it.answered(at(260));
    // These were under way when another connection was answered.
    time_out(it, 2, 200, 450);
    time_out(it, 3, 260, 450);
    time_out(it, 0, 261, 511);
    time_out(it, 1, 261, 511);
    BOOST_TEST(!it.down());
    time_out(it, 2, 261, 511);
    time_out(it, 3, 261, 511);
    BOOST_TEST(it.down());
}

BOOST_AUTO_TEST_CASE(does_not_count_timeouts_that_are_far_apart)
{
    auto it = own_link{};
    time_out(it, 0, 1, 250);
    time_out(it, 1, 1, 250);
    time_out(it, 2, 4000, 4251);
    time_out(it, 3, 4000, 4251);
    BOOST_TEST(!it.down());
}

BOOST_AUTO_TEST_CASE(is_not_cut_off_by_a_few_targets_or_domains)
{
    auto it = own_link{};
    for (auto n = 0; n < 3; ++n)
    {
        auto const target = target_id{"t" + std::to_string(n)};
        it.timed_out(target, domain_id{"d0"}, at(1), domains(1), at(250));
        it.timed_out(target, domain_id{"d1"}, at(1), domains(2), at(250));
    }
    BOOST_TEST(!it.down());
}

BOOST_AUTO_TEST_CASE(takes_a_dark_domain_for_what_it_is)
{
    auto const all_but_one = [](directory::listed_target const& it)
    {
        return it.domain != domain_id{"d1"};
    };
    auto const it = replay_all(all_but_one, true);
    BOOST_TEST(it.found_down == 0);
    BOOST_TEST(it.served == it.requests);
}

BOOST_AUTO_TEST_CASE(in_its_own_domain_alone_uses_that)
{
    auto const own = [](directory::listed_target const& it)
    {
        return it.domain == domain_id{"d0"};
    };
    auto const naive = replay_all(own, false);
    auto const it = replay_all(own, true);
    BOOST_TEST(it.found_down == 0);
    BOOST_TEST(it.served == naive.served);
    // Before it suspects the others a request may meet six of their targets.
    BOOST_TEST(it.requests - it.served <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
