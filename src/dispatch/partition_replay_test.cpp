#include "dispatch/attempt_policy.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>

// Simulates one host whose failure domain is partitioned from the others: only
// targets in its own domain are reachable, which the host has to detect.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto connect_timeout = duration{250ms};
constexpr auto partition_time = duration{6s};

struct outcome
{
    int arrivals = 0;
    /// Requests that ended after the maximum number of attempts.
    int refused = 0;
    int attempts = 0;
    /// Longest time until a served request was accepted by a target.
    duration longest_wait{};
};

/// Requests run one after the other, without overlapping attempts.
/// `send_probes`: a suspected domain is probed by one request at a time.
/// Otherwise an expired suspicion is discarded, and every request may
/// try the domain.
auto replay(bool send_probes, std::uint64_t seed) -> outcome
{
    auto const targets = replay_engines();
    auto const reachable = domain_id{"d0"};
    auto detector = failure_detector{};
    // Running requests continue at reachable targets, so these are more loaded.
    auto loads = load_tracker{};
    auto const running = work_size{token_count{5000}, token_count{650}};
    for (auto const& it : targets)
    {
        if (it.domain == reachable)
        {
            loads.sent(it.id, running);
            loads.prefilled(it.id, running);
        }
        else
        {
            // The partition silences the stream there.
            detector.report(it.id, it.domain, observation::silent,
                            time_point{});
        }
    }
    auto const others = fleet::fleet_view{};
    auto random = random_source{seed};
    auto const view =
        placement_view{targets, detector, loads, others, no_limits, no_gate};
    auto out = outcome{};
    auto now = time_point{};
    constexpr auto per_second = 1.2;
    while (now < time_point{partition_time})
    {
        now += duration{static_cast<duration::rep>(
            -std::log(1 - random.unit()) / per_second * 1e6)};
        ++out.arrivals;
        auto const arrived = now;
        auto tried = std::vector<target_id>{};
        auto request = placement_request{};
        request.size = {token_count{5000}, token_count{650}};
        request.own_domain = reachable;
        auto served = false;
        while (!served && tried.size() < max_refusals)
        {
            request.tried = tried;
            auto const target = place(view, request, now, random);
            BOOST_REQUIRE(target);
            ++out.attempts;
            if (send_probes)
            {
                detector.sent_to(target->domain, now);
            }
            else
            {
                for (auto const& it : targets)
                {
                    detector.report(target_id{"any"}, it.domain,
                                    observation::answered, now);
                }
            }
            tried.push_back(target->id);
            served = target->domain == reachable;
            now += served ? duration{1ms} : connect_timeout;
            detector.report(
                target->id, target->domain,
                served ? observation::answered : observation::unreachable, now);
        }
        out.refused += served ? 0 : 1;
        out.longest_wait =
            std::max(out.longest_wait, served ? now - arrived : 0s);
    }
    return out;
}

auto replay_all(bool send_probes) -> outcome
{
    auto out = outcome{};
    constexpr auto seeds = std::uint64_t{100};
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed)
    {
        auto const it = replay(send_probes, seed);
        out.arrivals += it.arrivals;
        out.refused += it.refused;
        out.attempts += it.attempts;
        out.longest_wait = std::max(out.longest_wait, it.longest_wait);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_in_a_partitioned_domain)

BOOST_AUTO_TEST_CASE(soon_uses_only_reachable_targets)
{
    auto const without_probes = replay_all(false);
    auto const with_probes = replay_all(true);
    auto const attempts = [](outcome const& it)
    {
        return static_cast<double>(it.attempts) / it.arrivals;
    };
    BOOST_TEST_MESSAGE("attempts per request: "
                       << attempts(with_probes) << ", without probes "
                       << attempts(without_probes) << "; refused "
                       << with_probes.refused << " of " << with_probes.arrivals
                       << " and " << without_probes.refused << " of "
                       << without_probes.arrivals);
    // A request probes at most one domain, so it needs at most two attempts.
    constexpr auto max_mean_attempts = 2.0;
    BOOST_TEST(attempts(with_probes) <= max_mean_attempts);
    BOOST_TEST(attempts(without_probes) > max_mean_attempts);
    BOOST_TEST(with_probes.refused == 0);
    BOOST_TEST(without_probes.refused > 0);
}

BOOST_AUTO_TEST_CASE(probes_a_domain_less_often_until_it_answers)
{
    auto it = failure_detector{};
    auto const domain = domain_id{"d"};
    auto const fail_attempt = [&](int n, time_point now)
    {
        it.sent_to(domain, now);
        it.report(target_id{"t" + std::to_string(n)}, domain,
                  observation::unreachable, now);
    };
    auto now = time_point{};
    fail_attempt(0, now);
    fail_attempt(1, now);
    auto const first = detector_limits{}.initial_domain_suspicion;
    BOOST_TEST(!it.domain_suspected(domain, now + first));
    now += first;
    fail_attempt(2, now);
    BOOST_TEST(it.domain_suspected(domain, now + first));
    BOOST_TEST(!it.domain_suspected(domain, now + 2 * first));
    now += 2 * first;
    it.sent_to(domain, now);
    // Other requests avoid the domain until this probe finishes.
    BOOST_TEST(it.domain_suspected(domain, now));
    it.report(target_id{"t3"}, domain, observation::answered, now);
    BOOST_TEST(!it.domain_unverified(domain));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
