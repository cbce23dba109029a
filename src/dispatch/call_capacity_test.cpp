#include "dispatch/call_capacity.hpp"

#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"
#include "dispatch/time_estimates.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <queue>
#include <vector>

// Replays calls of tens of milliseconds from many hosts to few targets.
namespace primrosedeal::dispatch
{

namespace
{

constexpr auto slots = std::uint32_t{6};
constexpr auto target_queue = std::size_t{24};
constexpr auto call_time = duration{30ms};
constexpr auto latency_objective = duration{150ms};

struct replay_case
{
    std::size_t hosts = 72;
    std::size_t targets = 1;
    double calls_per_second = 107;
    /// Time between the digests of one host.
    duration digest_period = 200ms;
    /// Places calls by the digests alone.
    bool digests_only = false;
};

struct replay_result
{
    int calls = 0;
    int refused = 0;
    /// Rejected by a target.
    int rejected = 0;
    /// Answered within the objective.
    int in_time = 0;
};

/// A target with `slots` and a queue, which serves in order of arrival.
class queueing_target
{
public:
    /// Time at which the call ends; nothing if the target rejects it.
    auto accept(time_point now, duration takes) -> std::optional<time_point>
    {
        while (!ends_.empty() && ends_.top() <= now)
        {
            ends_.pop();
        }
        if (ends_.size() >= slots + target_queue)
        {
            return std::nullopt;
        }
        auto& slot = *std::min_element(free_at_.begin(), free_at_.end());
        slot = std::max(slot, now) + takes;
        ends_.push(slot);
        return slot;
    }

private:
    std::vector<time_point> free_at_ = std::vector<time_point>(slots);
    std::priority_queue<time_point, std::vector<time_point>, std::greater<>>
        ends_;
};

struct end_of_call
{
    time_point at;
    std::size_t host;
    target_id target;
    duration took;

    friend auto operator>(end_of_call const& a, end_of_call const& b) -> bool
    {
        return a.at > b.at;
    }
};

auto replay(replay_case const& it) -> replay_result
{
    auto random = random_source{20261206};
    auto targets = replay_engines();
    targets.resize(it.targets);
    for (auto& each : targets)
    {
        each.slots = slots;
    }
    auto servers = std::vector<queueing_target>(it.targets);
    auto loads = std::vector<load_tracker>(it.hosts);
    auto digest_due = std::vector<time_point>(it.hosts);
    auto digest_changes = std::vector<std::uint64_t>(it.hosts);
    auto sequence = std::vector<std::uint64_t>(it.hosts);
    // All hosts receive the same digests, so one view serves them all. It
    // includes the host's own load as of its last digest.
    auto view = fleet::fleet_view{};
    auto const detector = failure_detector{};
    auto ends = std::priority_queue<end_of_call, std::vector<end_of_call>,
                                    std::greater<>>{};
    auto const size = work_size{};
    auto out = replay_result{};
    constexpr auto length = duration{10s};
    constexpr auto step = duration{20ms};
    auto next_call = time_point{};
    auto observed = completion_time_estimate{call_time};
    for (auto now = time_point{step}; now < time_point{length}; now += step)
    {
        for (; next_call < now;
             next_call += duration{static_cast<duration::rep>(
                 -std::log(1 - random.unit()) / it.calls_per_second * 1e6)})
        {
            while (!ends.empty() && ends.top().at <= next_call)
            {
                loads[ends.top().host].ended(ends.top().target, size, true);
                observed.observe(ends.top().took);
                ends.pop();
            }
            auto const host = random.below(it.hosts);
            auto request = placement_request{};
            if (!it.digests_only)
            {
                request.calls = call_demand{it.calls_per_second,
                                            observed.value(), it.targets};
            }
            ++out.calls;
            auto const found = place(
                {targets, detector, loads[host], view, no_limits, no_gate},
                request, next_call, random);
            if (!found)
            {
                ++out.refused;
                continue;
            }
            auto const n = static_cast<std::size_t>(
                std::find_if(targets.begin(), targets.end(),
                             [&](auto const& each)
                             { return each.id == found->id; }) -
                targets.begin());
            auto const takes = duration{static_cast<duration::rep>(
                call_time.count() * (0.5 + random.unit()))};
            auto const end = servers[n].accept(next_call, takes);
            if (!end)
            {
                ++out.rejected;
                continue;
            }
            out.in_time += *end - next_call <= latency_objective ? 1 : 0;
            loads[host].sent(found->id, size);
            ends.push({*end, host, found->id, *end - next_call});
        }
        for (auto i = std::size_t{0}; i < it.hosts; ++i)
        {
            if (now < digest_due[i] ||
                digest_changes[i] == loads[i].change_count())
            {
                continue;
            }
            digest_changes[i] = loads[i].change_count();
            digest_due[i] = now + it.digest_period;
            auto digest = fleet::digest{};
            digest.host = host_id{"h" + std::to_string(i)};
            digest.process_start = incarnation{1};
            digest.sequence = ++sequence[i];
            digest.loads = loads[i].all();
            view.apply(digest, now);
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(calls_to_few_targets)

BOOST_AUTO_TEST_SUITE(beside_digests_that_take_longer_than_a_call)

BOOST_AUTO_TEST_CASE(are_not_refused_while_slots_are_free)
{
    // Half of the only target's slots are busy.
    auto it = replay_case{};
    auto const now = replay(it);
    it.digests_only = true;
    auto const by_digests = replay(it);
    BOOST_TEST_MESSAGE("of " << now.calls << ": refused " << now.refused
                             << ", by digests alone " << by_digests.refused);
    BOOST_TEST(now.refused == 0);
    BOOST_TEST(now.rejected == 0);
    BOOST_TEST(now.in_time == now.calls);
    BOOST_TEST(by_digests.refused > by_digests.calls / 4);
}

BOOST_AUTO_TEST_CASE(are_not_refused_at_360_hosts)
{
    auto it = replay_case{};
    it.hosts = 360;
    it.targets = 4;
    it.calls_per_second = 500;
    it.digest_period = 800ms;
    auto const now = replay(it);
    BOOST_TEST(now.refused == 0);
    BOOST_TEST(now.in_time > now.calls * 99 / 100);
}

BOOST_AUTO_TEST_CASE(are_refused_where_more_come_than_the_targets_serve)
{
    // Twice as many as the only target serves.
    auto it = replay_case{};
    it.calls_per_second = 400;
    auto const now = replay(it);
    auto const served = static_cast<double>(now.in_time) / now.calls;
    BOOST_TEST_MESSAGE("served in time " << served << ", refused "
                                         << now.refused << ", rejected "
                                         << now.rejected);
    // The target is kept busy, and its queue is not a place to wait.
    BOOST_TEST(served > 0.4);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(of_other_hosts_are_no_more_than_digests_list)
{
    auto const it = call_demand{1000, 40ms, 2};
    BOOST_TEST(calls_elsewhere(it, 100) == 20.0);
    BOOST_TEST(calls_elsewhere(it, 3) == 3.0);
    BOOST_TEST(calls_elsewhere({1000, 40ms, 0}, 100) == 40.0);
}

BOOST_AUTO_TEST_CASE(beyond_the_capacity_are_taken_in_part)
{
    BOOST_TEST(has_room_for_call(11, 6, 0.999));
    BOOST_TEST(has_room_for_call(24, 6, 0.49));
    BOOST_TEST(!has_room_for_call(24, 6, 0.51));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
