#include "dispatch/feasibility.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto prefill_time = duration{1200ms};
constexpr auto pace = duration{35ms};

auto random_length(random_source& random) -> std::uint64_t
{
    return 100 + random.below(61);
}

auto observed_streams() -> stream_estimate
{
    auto random = random_source{5};
    auto out = stream_estimate{};
    for (auto i = 0; i < 100; ++i)
    {
        auto const n = random_length(random);
        out.observe(n, pace * (n - 1));
    }
    return out;
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
        auto const accepted =
            can_finish_by(streams, prefill_time, last, now + left, now);
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
    auto const streams = stream_estimate{};
    BOOST_TEST((streams.min_remaining_time(std::nullopt) == duration{0}));
    BOOST_TEST(can_finish_by(streams, 0s, 3, time_point{1ms}, time_point{0ms}));
}

BOOST_AUTO_TEST_CASE(needs_no_prefill_if_resumed_from_a_copy)
{
    auto const streams = observed_streams();
    auto const now = time_point{};
    BOOST_TEST(can_finish_by(streams, 0s, 140, now + 400ms, now));
    BOOST_TEST(!can_finish_by(streams, prefill_time, 140, now + 400ms, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
