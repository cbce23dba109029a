#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

// Simulates long prompts that arrive at many hosts, with engines that prefill
// one prompt at a time. Hosts learn of each other's load after a lag.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto host_count = std::size_t{8};
/// Half of the digest period plus the latency between domains, doubled for a
/// busy host.
constexpr auto digest_lag = duration{23ms};
constexpr auto us_per_token = 200;
constexpr auto stream_time = duration{5s};

struct arrival
{
    time_point at;
    std::size_t host = 0;
    work_size size;
};

/// Poisson arrivals of `per_second` prompts, doubled in the third second.
auto burst_arrivals(double per_second) -> std::vector<arrival>
{
    auto random = random_source{20261204};
    auto out = std::vector<arrival>{};
    auto now = time_point{};
    constexpr auto end = time_point{20s};
    while (now < end)
    {
        auto const burst = now >= time_point{3s} && now < time_point{6s};
        auto const rate = burst ? 2 * per_second : per_second;
        auto const gap = -std::log(1 - random.unit()) / rate;
        now += duration{static_cast<duration::rep>(gap * 1e6)};
        out.push_back(
            {now,
             random.below(host_count),
             {token_count{3500 + random.below(3000)}, token_count{650}}});
    }
    return out;
}

using policy = std::function<std::size_t(
    std::vector<directory::listed_target> const&, arrival const&,
    load_tracker const& own, fleet::fleet_view const& others, random_source&)>;

/// Time that each prompt waits for its prefill to start, in ascending order.
auto replay(std::vector<arrival> const& arrivals, policy const& choose)
    -> std::vector<duration>
{
    struct pending
    {
        time_point at;
        std::size_t host;
        std::size_t target;
        work_size size;
        int stage;
    };
    auto const later = [](pending const& a, pending const& b)
    {
        return a.at > b.at;
    };
    auto const targets = replay_engines();
    auto books = std::vector<load_tracker>(host_count);
    auto views = std::vector<fleet::fleet_view>(host_count);
    auto sequences = std::vector<std::uint64_t>(host_count);
    auto free_at = std::vector<time_point>(replay_targets);
    auto queue = std::vector<pending>{};
    auto digests = std::deque<std::pair<time_point, fleet::digest>>{};
    auto random = random_source{7};
    auto out = std::vector<duration>{};

    auto const send_digest = [&](std::size_t host, time_point now)
    {
        auto it = fleet::digest{};
        it.host = host_id{"h" + std::to_string(host)};
        it.process_start = incarnation{1};
        it.sequence = ++sequences[host];
        it.loads = books[host].all();
        digests.emplace_back(now + digest_lag, it);
    };
    auto const deliver = [&](time_point now)
    {
        while (!digests.empty() && digests.front().first <= now)
        {
            auto const& it = digests.front().second;
            for (auto host = std::size_t{0}; host < host_count; ++host)
            {
                if (it.host != host_id{"h" + std::to_string(host)})
                {
                    views[host].apply(it, now);
                }
            }
            digests.pop_front();
        }
    };
    auto const advance = [&](time_point now)
    {
        while (!queue.empty() && queue.front().at <= now)
        {
            std::pop_heap(queue.begin(), queue.end(), later);
            auto it = queue.back();
            queue.pop_back();
            auto const& id = targets[it.target].id;
            if (it.stage == 0)
            {
                books[it.host].prefilled(id, it.size);
                queue.push_back(
                    {it.at + stream_time, it.host, it.target, it.size, 1});
                std::push_heap(queue.begin(), queue.end(), later);
            }
            else
            {
                books[it.host].ended(id, it.size, true);
            }
            send_digest(it.host, it.at);
        }
    };

    for (auto const& it : arrivals)
    {
        advance(it.at);
        deliver(it.at);
        auto const target =
            choose(targets, it, books[it.host], views[it.host], random);
        books[it.host].sent(targets[target].id, it.size);
        send_digest(it.host, it.at);
        auto const starts = std::max(free_at[target], it.at);
        auto const prefill_time = duration{
            static_cast<duration::rep>(it.size.prompt.value() * us_per_token)};
        free_at[target] = starts + prefill_time;
        out.push_back(starts - it.at);
        queue.push_back({starts + prefill_time, it.host, target, it.size, 0});
        std::push_heap(queue.begin(), queue.end(), later);
    }
    std::sort(out.begin(), out.end());
    return out;
}

auto by_placement(bool use_digests) -> policy
{
    return [use_digests](std::vector<directory::listed_target> const& targets,
                         arrival const& it, load_tracker const& own,
                         fleet::fleet_view const& others,
                         random_source& random) -> std::size_t
    {
        static auto const without_digests = fleet::fleet_view{};
        static auto const healthy = failure_detector{};
        auto request = placement_request{};
        request.size = it.size;
        request.target_memory = 55000;
        auto const view = placement_view{
            targets,   healthy, own, use_digests ? others : without_digests,
            no_limits, no_gate};
        auto const chosen = place(view, request, it.at, random);
        BOOST_REQUIRE(chosen);
        return std::stoul(chosen->id.value().substr(1));
    };
}

auto at_random(std::vector<directory::listed_target> const& targets,
               arrival const& /*it*/, load_tracker const& /*own*/,
               fleet::fleet_view const& /*others*/, random_source& random)
    -> std::size_t
{
    return random.below(targets.size());
}

auto round_robin() -> policy
{
    return [next = std::vector<std::size_t>(host_count)](
               std::vector<directory::listed_target> const& targets,
               arrival const& it, load_tracker const&, fleet::fleet_view const&,
               random_source&) mutable
    {
        // All hosts start at the same target, so they collide.
        return next[it.host]++ % targets.size();
    };
}

auto fraction_over(std::vector<duration> const& waits, duration limit) -> double
{
    auto const over =
        waits.end() - std::upper_bound(waits.begin(), waits.end(), limit);
    return static_cast<double>(over) / static_cast<double>(waits.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_burst_of_long_prompts)

BOOST_AUTO_TEST_CASE(rarely_waits_if_hosts_exchange_digests)
{
    auto const arrivals = burst_arrivals(9.4);
    auto const with_digests = replay(arrivals, by_placement(true));
    auto const without_digests = replay(arrivals, by_placement(false));
    auto const random = replay(arrivals, at_random);
    auto const rotating = replay(arrivals, round_robin());
    // Even the peak arrival rate is about half of the engines' prefill
    // capacity, so long waits are avoidable.
    constexpr auto wait_limit = duration{500ms};
    constexpr auto max_late_fraction = 0.02;
    BOOST_TEST_MESSAGE(
        "late: with digests "
        << fraction_over(with_digests, wait_limit) << ", without digests "
        << fraction_over(without_digests, wait_limit) << ", random "
        << fraction_over(random, wait_limit) << ", round robin "
        << fraction_over(rotating, wait_limit));
    BOOST_TEST(fraction_over(with_digests, wait_limit) <= max_late_fraction);
    BOOST_TEST(fraction_over(without_digests, wait_limit) > max_late_fraction);
    BOOST_TEST(fraction_over(random, wait_limit) > max_late_fraction);
    BOOST_TEST(fraction_over(rotating, wait_limit) > max_late_fraction);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_copy)

BOOST_AUTO_TEST_CASE(
    is_placed_in_another_domain_and_never_at_a_suspected_target)
{
    auto const targets = replay_engines();
    auto detector = failure_detector{};
    auto const loads = load_tracker{};
    auto const others = fleet::fleet_view{};
    auto random = random_source{3};
    auto const now = time_point{1s};
    detector.report(target_id{"t1"}, domain_id{"d1"}, observation::unreachable,
                    now);
    detector.report(target_id{"t5"}, domain_id{"d1"}, observation::unreachable,
                    now);
    auto const view =
        placement_view{targets, detector, loads, others, no_limits, no_gate};
    auto request = placement_request{};
    request.size = {token_count{5000}, token_count{650}};
    request.target_memory = 55000;
    for (auto i = 0; i < 200; ++i)
    {
        auto const primary = place(view, request, now, random);
        BOOST_REQUIRE(primary);
        auto const copy = place_copy(view, request, *primary, now, random);
        BOOST_REQUIRE(copy);
        BOOST_TEST(copy->domain != primary->domain);
        BOOST_TEST(copy->domain != domain_id{"d1"});
    }
}

BOOST_AUTO_TEST_CASE(counts_as_load_at_its_target)
{
    auto targets = replay_engines();
    targets.resize(1);
    auto const detector = failure_detector{};
    auto loads = load_tracker{};
    auto const others = fleet::fleet_view{};
    auto random = random_source{3};
    auto request = placement_request{};
    request.size = {token_count{5000}, token_count{650}};
    request.target_memory = 12000;
    auto const view =
        placement_view{targets, detector, loads, others, no_limits, no_gate};
    loads.copy_added(targets.front().id, request.size);
    BOOST_TEST(place(view, request, time_point{}, random).has_value());
    loads.copy_added(targets.front().id, request.size);
    BOOST_TEST(!place(view, request, time_point{}, random).has_value());
    loads.copy_dropped(targets.front().id, request.size);
    BOOST_TEST(place(view, request, time_point{}, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
