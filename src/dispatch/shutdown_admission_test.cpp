#include "core/part_of.hpp"
#include "core/random.hpp"
#include "dispatch/shutdown.hpp"
#include "dispatch/shutdown_admission.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

namespace primrosedeal::dispatch
{

namespace
{

using routes::request_kind;

constexpr auto usual_grace = duration{8s};
constexpr auto objective = duration{500ms};
constexpr auto timeout = duration{5s};

auto at(duration since) -> time_point
{
    return time_point{since};
}

auto request_of(request_kind kind, bool resumable = false) -> shutdown_request
{
    return {kind, resumable, objective, timeout};
}

/// Most answers take 40 to 80 ms, one of 50 takes 300 to 900 ms.
auto steady(random_source& random) -> duration
{
    constexpr auto slow_ones = 50;
    return random.below(slow_ones) == 0
               ? 300ms + std::chrono::milliseconds{random.below(600)}
               : 40ms + std::chrono::milliseconds{random.below(40)};
}

/// Pareto: one of 1,000 answers takes more than 6 s.
auto long_tailed(random_source& random) -> duration
{
    constexpr auto shape = 1.4;
    return part_of(duration{45ms}, std::pow(1 - random.unit(), -1 / shape));
}

using service_time = duration (*)(random_source&);
/// Whether a host that is to stop at `stop` accepts a request.
using rule = std::function<bool(completion_times const&, duration grace,
                                time_point now)>;

constexpr auto stop = time_point{40s};

struct outcome
{
    int arrived = 0;
    int refused = 0;
    int arrived_early = 0;
    int refused_early = 0;
    int cut = 0;

    [[nodiscard]] auto text() const -> std::string
    {
        return std::to_string(cut) + " cut, refused " +
               std::to_string(refused) + " of " + std::to_string(arrived) +
               ", while the balancer still sends " +
               std::to_string(refused_early) + " of " +
               std::to_string(arrived_early);
    }
};

/// Hosts restart one after the other; each serves for 40 s before its stop, and
/// then requests go on arriving until it has to end those that are open.
auto restart_in_series(service_time next, duration grace, rule const& accepts)
    -> outcome
{
    constexpr auto restarts = 60;
    constexpr auto interval = duration{25ms};
    constexpr auto balancer_time = duration{2500ms};
    auto const last = final_answer_time(stop, grace);
    auto random = random_source{20261205};
    auto out = outcome{};
    for (auto i = 0; i < restarts; ++i)
    {
        auto times = completion_times{};
        auto open = std::multimap<time_point, duration>{};
        for (auto now = at(0s); now < last; now += interval)
        {
            while (!open.empty() && open.begin()->first <= now)
            {
                auto const took = open.begin()->second;
                took < timeout ? times.observe(took, now)
                               : times.observe_unanswered(took, now);
                open.erase(open.begin());
            }
            auto const took = std::min(next(random), timeout);
            auto const stopping = now >= stop;
            auto const early = now < stop + balancer_time;
            out.arrived += stopping ? 1 : 0;
            out.arrived_early += stopping && early ? 1 : 0;
            if (stopping && !accepts(times, grace, now))
            {
                ++out.refused;
                out.refused_early += early ? 1 : 0;
                continue;
            }
            open.emplace(now + took, took);
            out.cut += stopping && now + took > last ? 1 : 0;
        }
    }
    return out;
}

/// Accepts what fits if it takes as long as `needed` says.
auto fits(std::function<duration(completion_times const&, time_point)> needed)
    -> rule
{
    return [needed = std::move(needed)](auto const& times, duration grace,
                                        time_point now)
    {
        return can_finish_before_exit(stop, grace, needed(times, now), now);
    };
}

auto by_kind(request_kind kind) -> rule
{
    return fits([kind](auto const& times, time_point now)
                { return time_needed(request_of(kind), times.recent(now)); });
}

void compare(service_time next)
{
    auto const naive = restart_in_series(
        next, usual_grace,
        [](auto const&, duration grace, time_point now)
        { return now + objective <= stop + grace - grace_margin; });
    auto const strictest = restart_in_series(
        next, usual_grace,
        fits([](auto const&, time_point) { return timeout; }));
    auto const repeatable =
        restart_in_series(next, usual_grace, by_kind(request_kind::idempotent));
    auto const once = restart_in_series(next, usual_grace,
                                        by_kind(request_kind::non_idempotent));
    BOOST_TEST_MESSAGE("objective:   " << naive.text());
    BOOST_TEST_MESSAGE("deadline:    " << strictest.text());
    BOOST_TEST_MESSAGE("repeatable:  " << repeatable.text());
    BOOST_TEST_MESSAGE("run once:    " << once.text());
    BOOST_TEST(naive.cut > 0);
    BOOST_TEST(once.cut == 0);
    BOOST_TEST(repeatable.cut <= naive.cut / 4);
    BOOST_TEST(once.refused <= strictest.refused);
    BOOST_TEST(once.refused_early <= strictest.refused_early);
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests_at_a_host_that_shuts_down)

BOOST_AUTO_TEST_SUITE(while_hosts_restart_in_series)

BOOST_AUTO_TEST_CASE(were_cut_after_an_answer_that_took_longer_than_usual)
{
    compare(steady);
}

BOOST_AUTO_TEST_CASE(are_judged_by_a_short_and_a_long_grace)
{
    auto const once = by_kind(request_kind::non_idempotent);
    auto const brief = restart_in_series(steady, 1s, once);
    auto const ample = restart_in_series(steady, 30s, once);
    BOOST_TEST_MESSAGE("grace of 1 s:  " << brief.text());
    BOOST_TEST_MESSAGE("grace of 30 s: " << ample.text());
    BOOST_TEST(brief.refused == brief.arrived);
    BOOST_TEST(ample.cut == 0);
    BOOST_TEST(ample.refused < ample.arrived / 5);
    BOOST_TEST(ample.refused_early == 0);
}

BOOST_AUTO_TEST_CASE(were_cut_in_the_long_tail_of_their_times)
{
    compare(long_tailed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(need_a_time)

BOOST_AUTO_TEST_CASE(up_to_their_deadline_before_any_was_observed)
{
    for (auto const kind : {request_kind::idempotent, request_kind::streaming,
                            request_kind::non_idempotent})
    {
        BOOST_TEST((time_needed(request_of(kind), {}) == timeout));
    }
}

BOOST_AUTO_TEST_CASE(that_depends_on_whether_they_may_be_repeated)
{
    auto const recent = recent_times{600ms, 800ms, min_slow_end_sample};
    auto const needed = [&](request_kind kind, bool resumable)
    {
        return time_needed(request_of(kind, resumable), recent);
    };
    BOOST_TEST((needed(request_kind::idempotent, false) == 800ms));
    BOOST_TEST((needed(request_kind::non_idempotent, false) == 3200ms));
    BOOST_TEST((needed(request_kind::streaming, false) == 3200ms));
    BOOST_TEST((needed(request_kind::streaming, true) == 600ms));
}

BOOST_AUTO_TEST_CASE(as_of_one_that_must_not_be_cut_once_the_balancer_has_left)
{
    auto it = shutdown_request{};
    it.kind = routes::request_kind::streaming;
    it.resumable = true;
    it.objective = 100ms;
    it.time_left = 25s;
    auto const recent = recent_times{600ms, 700ms, min_slow_end_sample};
    BOOST_TEST((time_needed(it, recent) == 600ms));
    it.since_shutdown = resumable_cut_time;
    BOOST_TEST((time_needed(it, recent) == slow_end_multiple * 700ms));
}

BOOST_AUTO_TEST_CASE(between_the_objective_and_the_deadline)
{
    auto const kind = request_kind::non_idempotent;
    auto const needed = [&](duration slowest, std::uint32_t answered)
    {
        return time_needed(request_of(kind),
                           recent_times{1ms, slowest, answered});
    };
    BOOST_TEST((needed(1ms, min_slow_end_sample) == objective));
    BOOST_TEST((needed(3s, min_slow_end_sample) == timeout));
    // Too few to know the slow end.
    BOOST_TEST((needed(1ms, min_slow_end_sample - 1) == timeout));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(have_recent_times)

BOOST_AUTO_TEST_CASE(that_forget_an_outage)
{
    auto it = completion_times{};
    it.observe(100ms, at(0s));
    it.observe_unanswered(timeout, at(1s));
    BOOST_TEST((it.recent(at(2s))->slowest == timeout));
    BOOST_TEST((it.recent(at(2s))->upper > 1s));
    for (auto i = 0; i < 100; ++i)
    {
        it.observe(100ms, at(2s + i * 700ms));
    }
    auto const after = it.recent(at(73s));
    BOOST_TEST((after->slowest == 100ms));
    BOOST_TEST((after->upper < 110ms));
    BOOST_TEST(!it.recent(at(140s)).has_value());
}

BOOST_AUTO_TEST_CASE(that_grew_shorter_with_each_client_that_left)
{
    auto it = completion_times{};
    it.observe_unanswered(1ms, at(0s));
    BOOST_TEST(!it.recent(at(1s)).has_value());
    it.observe(1s, at(1s));
    auto const upper = it.recent(at(1s))->upper;
    it.observe_unanswered(1ms, at(1s));
    BOOST_TEST((it.recent(at(1s))->upper == upper));
    BOOST_TEST(it.recent(at(1s))->answered == 1);
}

BOOST_AUTO_TEST_CASE(of_a_bounded_number_of_services)
{
    auto table = completion_time_table{};
    auto const of = [&](std::size_t i) -> completion_times&
    {
        return table.of(request_kind::idempotent,
                        service_id{std::to_string(i)});
    };
    for (auto i = std::size_t{0}; i < 2 * completion_time_table::max_entries;
         ++i)
    {
        auto const now = at(std::chrono::milliseconds{i});
        of(i).observe(1ms, now);
        of(0).observe(1ms, now);
    }
    BOOST_TEST(of(0).recent(at(1s)).has_value());
    BOOST_TEST(!of(1).recent(at(1s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
