#include "dispatch/feasibility.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto prefill_time = duration{1200ms};
constexpr auto pace = duration{35ms};
constexpr auto usual_size = work_size{token_count{5200}, token_count{800}};

auto random_length(random_source& random) -> std::uint64_t
{
    return 100 + random.below(61);
}

auto observe(service_times& out, work_size const& size, std::uint64_t events,
             duration first, time_point now)
{
    out.observe_first_event(size, first, false, now);
    out.observe_stream(size, events, pace * (events - 1), now);
}

auto observed_streams() -> service_times
{
    auto random = random_source{5};
    auto out = service_times{};
    for (auto i = 0; i < 100; ++i)
    {
        observe(out, usual_size, random_length(random), prefill_time, {});
    }
    return out;
}

auto can_finish(service_times const& times, work_size const& size,
                std::optional<std::uint64_t> last_event, duration left,
                time_point now = {})
{
    return times.least_time(size, last_event, now) <= left;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stream_whose_client_reconnects_late)

BOOST_AUTO_TEST_CASE(is_refused_only_if_it_cannot_complete_in_time)
{
    auto const streams = observed_streams();
    auto random = random_source{6};
    auto infeasible = 0;
    auto refused = 0;
    auto wrongly_refused = 0;
    constexpr auto reconnects = 2000;
    // Clients reconnect at most 7 s before their deadline, after a loss at any
    // event. Idle engines need two thirds of the average time.
    constexpr auto idle_fraction = 0.66;
    for (auto i = 0; i < reconnects; ++i)
    {
        auto const length = random_length(random);
        auto const last = 1 + random.below(length - 1);
        auto const left = std::chrono::milliseconds{random.below(7000)};
        auto const needed = duration{static_cast<duration::rep>(
            static_cast<double>(
                (prefill_time + pace * (length - last)).count()) *
            idle_fraction)};
        auto const now = time_point{};
        auto const served = now + needed <= now + left;
        auto const accepted = can_finish(streams, usual_size, last, left, now);
        infeasible += served ? 0 : 1;
        refused += accepted ? 0 : 1;
        wrongly_refused += served && !accepted ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("infeasible " << infeasible << ", refused " << refused
                                     << ", wrongly " << wrongly_refused);
    // More than half of the streams that cannot complete are refused at once.
    BOOST_TEST(refused > infeasible / 2);
    BOOST_TEST(wrongly_refused == 0);
}

BOOST_AUTO_TEST_CASE(is_accepted_before_any_stream_was_observed)
{
    BOOST_TEST(can_finish(service_times{}, usual_size, 3, 1ms));
    BOOST_TEST((stream_estimate{}.min_remaining_time(std::nullopt, {}) ==
                duration{0}));
}

BOOST_AUTO_TEST_CASE(needs_no_prefill_if_resumed_from_a_copy)
{
    auto const streams = observed_streams();
    auto const from_copy = work_size{token_count{0}, usual_size.output};
    BOOST_TEST(can_finish(streams, from_copy, 140, 400ms));
    BOOST_TEST(!can_finish(streams, usual_size, 140, 400ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_unlike_those_observed)

// All requests of a route with long prompts were refused as hopeless, since
// fixed times of short prompts counted for each of their tokens.
BOOST_AUTO_TEST_CASE(was_refused_for_a_long_prompt_beside_short_ones)
{
    auto const short_size = work_size{token_count{6}, token_count{800}};
    auto times = service_times{};
    for (auto i = 0; i < 100; ++i)
    {
        observe(times, short_size, 10, 74ms, {});
    }
    BOOST_TEST(can_finish(times, usual_size, std::nullopt, 25s));
    BOOST_TEST(can_finish(times, usual_size, std::nullopt, 1s));
}

BOOST_AUTO_TEST_CASE(was_refused_for_a_short_prompt_beside_long_ones)
{
    auto const short_size = work_size{token_count{6}, token_count{10}};
    auto const times = observed_streams();
    BOOST_TEST(can_finish(times, short_size, std::nullopt, 5ms));
    BOOST_TEST(!can_finish(times, usual_size, std::nullopt, 700ms));
}

// The time of some engines grows by more than in proportion.
BOOST_AUTO_TEST_CASE(was_refused_for_the_rate_of_much_longer_prompts)
{
    auto const middle = work_size{token_count{500}, token_count{10}};
    auto times = observed_streams();
    BOOST_TEST(!can_finish(times, middle, std::nullopt, 30ms));
    times.observe_first_event(middle, 20ms, false, {});
    BOOST_TEST(can_finish(times, middle, std::nullopt, 30ms));
}

BOOST_AUTO_TEST_CASE(was_refused_for_the_length_of_others)
{
    auto const brief = work_size{usual_size.prompt, token_count{20}};
    auto const times = observed_streams();
    BOOST_TEST(!can_finish(times, usual_size, std::nullopt, 2s));
    BOOST_TEST(can_finish(times, brief, std::nullopt, 2s));
}

BOOST_AUTO_TEST_CASE(was_refused_for_times_of_long_ago)
{
    auto const times = observed_streams();
    auto const later = time_point{} + 2 * minimum_period;
    BOOST_TEST(!can_finish(times, usual_size, std::nullopt, 2s));
    BOOST_TEST(can_finish(times, usual_size, std::nullopt, 2s, later));
}

BOOST_AUTO_TEST_CASE(was_refused_for_a_prefill_that_a_copy_spares)
{
    auto times = service_times{};
    times.observe_first_event(usual_size, 20ms, true, {});
    times.observe_first_event(usual_size, prefill_time, false, {});
    BOOST_TEST(!can_finish(times, usual_size, std::nullopt, 400ms));
}

// A refused stream shows nothing of the time that it would have taken.
BOOST_AUTO_TEST_CASE(corrects_the_estimate_by_trials)
{
    auto times = observed_streams();
    auto const now = time_point{};
    BOOST_TEST(times.begin_trial(usual_size, now));
    BOOST_TEST(!times.begin_trial(usual_size, now + trial_period / 2));
    BOOST_TEST(times.begin_trial(usual_size, now + trial_period));
    // The engines have become faster.
    times.observe_first_event(usual_size, 100ms, false, now);
    times.observe_stream(usual_size, 20, pace * 19, now);
    BOOST_TEST(can_finish(times, usual_size, std::nullopt, 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
