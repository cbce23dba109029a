#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"
#include "fleet/state_sender.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <queue>

// Replays a burst of long prompts at many hosts that hear of each other's load
// by paced digests, with engines that prefill one prompt at a time.
namespace primrosedeal::fleet
{

namespace
{

constexpr auto small_link = 1.25e6;
constexpr auto unknown_link = 0.0;
constexpr auto us_per_token = 200;
constexpr auto stream_time = duration{5s};
constexpr auto latency = duration{3ms};
constexpr auto end = time_point{14s};
/// Other targets at which each host has load, so that its digests have the size
/// of a busy host's.
constexpr auto background_targets = std::size_t{25};

struct placed_prompt
{
    std::size_t host = 0;
    target_id target;
    dispatch::work_size size;
};

struct replay_host
{
    explicit replay_host(double link) : sender(link) {}

    host_id id;
    std::vector<host_id> receivers;
    state_sender sender;
    fleet_view others;
    dispatch::load_tracker loads;
    quarantine::part_quarantine evidence;
    random_source random{1};
    std::uint64_t background_changes = 0;
    std::array<std::uint64_t, background_targets> background{};
};

class replay
{
public:
    replay(std::size_t hosts, double link, bool partial, std::uint64_t seed)
        : link_(link), partial_(partial), random_(seed)
    {
        auto ids = std::vector<host_id>{};
        for (auto i = std::size_t{0}; i < hosts; ++i)
        {
            ids.emplace_back("edge-" + std::to_string(i));
            index_[ids.back()] = i;
        }
        for (auto const& id : ids)
        {
            auto& it = hosts_.emplace_back(link);
            it.id = id;
            std::copy_if(ids.begin(), ids.end(),
                         std::back_inserter(it.receivers),
                         [&](auto const& other) { return other != id; });
        }
    }

    /// Time that each prompt waits for its prefill to start, in ascending
    /// order.
    auto run() -> std::vector<duration>
    {
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            schedule(time_point{random_duration(min_digest_period)},
                     [this, i](time_point now) { tick(i, now); });
        }
        schedule(time_point{1s}, [this](time_point now) { arrive(now); });
        while (!queue_.empty() && queue_.top().at < end)
        {
            auto const it = queue_.top();
            queue_.pop();
            (*it.action)(it.at);
        }
        std::sort(waits_.begin(), waits_.end());
        return waits_;
    }

private:
    using work = std::function<void(time_point)>;

    struct event
    {
        time_point at;
        std::uint64_t number = 0;
        std::shared_ptr<work> action;

        friend auto operator<(event const& a, event const& b) -> bool
        {
            return std::tie(a.at, a.number) > std::tie(b.at, b.number);
        }
    };

    void schedule(time_point when, work it)
    {
        queue_.push({when, ++number_, std::make_shared<work>(std::move(it))});
    }

    auto random_duration(duration most) -> duration
    {
        return duration{static_cast<duration::rep>(
            random_.below(static_cast<std::uint64_t>(most.count())))};
    }

    void tick(std::size_t host, time_point now)
    {
        auto& from = hosts_[host];
        // Where digests are paced, there are changes all the time.
        if (link_ > 0)
        {
            ++from.background_changes;
            ++from.background[from.random.below(background_targets)];
        }
        auto own = own_state{};
        own.make_digest = [&]
        {
            auto out = digest{};
            out.host = from.id;
            out.process_start = incarnation{1};
            out.loads = from.loads.all();
            for (auto i = std::size_t{0}; i < background_targets; ++i)
            {
                out.loads[target_id{"server-" + std::to_string(i)}] = {
                    1, 2000, 4000 + from.background[i]};
            }
            return out;
        };
        own.changes = from.loads.change_count() + from.background_changes;
        own.receivers = from.receivers;
        for (auto const& it : from.sender.next(own, from.evidence, from.others,
                                               from.random, now))
        {
            auto got = decode_digest(it.bytes, now);
            BOOST_REQUIRE(got);
            got->reads_all_forms = partial_;
            auto const shared = std::make_shared<digest const>(*got);
            for (auto const& to : it.to)
            {
                schedule(now + latency,
                         [this, shared, to](time_point then) {
                             hosts_[index_.at(to)].others.apply(*shared, then);
                         });
            }
        }
        schedule(now + min_digest_period,
                 [this, host](time_point then) { tick(host, then); });
    }

    void arrive(time_point now)
    {
        constexpr auto per_second = 9.4;
        auto const burst = now >= time_point{3s} && now < time_point{6s};
        auto const rate = burst ? 2 * per_second : per_second;
        auto const gap = -std::log(1 - random_.unit()) / rate;
        schedule(now + duration{static_cast<duration::rep>(gap * 1e6)},
                 [this](time_point then) { arrive(then); });
        auto it = placed_prompt{};
        it.host = random_.below(hosts_.size());
        it.size = {token_count{3500 + random_.below(3000)}, token_count{650}};
        auto& at = hosts_[it.host];
        auto request = dispatch::placement_request{};
        request.size = it.size;
        request.target_memory = 55000;
        auto const chosen =
            dispatch::place({targets_, healthy_, at.loads, at.others,
                             dispatch::no_limits, dispatch::no_gate},
                            request, now, at.random);
        BOOST_REQUIRE(chosen);
        it.target = chosen->id;
        at.loads.sent(it.target, it.size);
        auto& free_at = free_at_[it.target];
        auto const starts = std::max(free_at, now);
        waits_.push_back(starts - now);
        free_at = starts + duration{static_cast<duration::rep>(
                               it.size.prompt.value() * us_per_token)};
        schedule(free_at, [this, it](time_point)
                 { hosts_[it.host].loads.prefilled(it.target, it.size); });
        schedule(free_at + stream_time, [this, it](time_point)
                 { hosts_[it.host].loads.ended(it.target, it.size, true); });
    }

    double link_;
    bool partial_;
    std::vector<replay_host> hosts_;
    std::map<host_id, std::size_t> index_;
    std::vector<directory::listed_target> targets_ = dispatch::replay_engines();
    dispatch::failure_detector healthy_;
    std::map<target_id, time_point> free_at_;
    std::vector<duration> waits_;
    std::priority_queue<event> queue_;
    std::uint64_t number_ = 0;
    random_source random_;
};

auto fraction_over(std::vector<duration> const& waits, duration limit) -> double
{
    auto const over =
        waits.end() - std::upper_bound(waits.begin(), waits.end(), limit);
    return static_cast<double>(over) / static_cast<double>(waits.size());
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_burst_of_long_prompts_on_small_links)

/// Fraction of the prompts that wait for long.
auto late_fraction(std::size_t hosts, double link, bool partial) -> double
{
    constexpr auto wait_limit = duration{500ms};
    auto waits = std::vector<duration>{};
    for (auto seed = 1U; seed <= 3U; ++seed)
    {
        auto const some = replay{hosts, link, partial, seed}.run();
        waits.insert(waits.end(), some.begin(), some.end());
    }
    std::sort(waits.begin(), waits.end());
    return fraction_over(waits, wait_limit);
}

BOOST_AUTO_TEST_CASE(waits_less_if_paced_digests_are_partial)
{
    constexpr auto hosts = std::size_t{69};
    auto const unpaced = late_fraction(hosts, unknown_link, false);
    auto const whole = late_fraction(hosts, small_link, false);
    auto const partial = late_fraction(hosts, small_link, true);
    BOOST_TEST_MESSAGE("late: at each change " << unpaced << ", paced whole "
                                               << whole << ", paced partial "
                                               << partial);
    // Closer to links without limit than to whole digests.
    BOOST_TEST(partial < (unpaced + whole) / 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
