#include "dispatch/feasibility.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::dispatch
{

namespace
{

constexpr auto reading = duration{1200ms};
constexpr auto pace = duration{35ms};

auto some_length(random_source& random) -> std::uint64_t
{
    return 100 + random.below(61);
}

auto usual_streams() -> stream_shape
{
    auto random = random_source{5};
    auto out = stream_shape{};
    for (auto i = 0; i < 100; ++i)
    {
        auto const n = some_length(random);
        out.observe(n, pace * (n - 1));
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stream_whose_client_comes_back_late)

BOOST_AUTO_TEST_CASE(is_refused_only_if_it_cannot_end_in_time)
{
    auto const shape = usual_streams();
    auto random = random_source{6};
    auto hopeless = 0;
    auto refused = 0;
    auto wrongly = 0;
    constexpr auto returns = 2000;
    // Clients that come back within 7 s of their deadline, after a loss at any
    // event. Idle engines take two thirds of the usual time.
    constexpr auto idle = 0.66;
    for (auto i = 0; i < returns; ++i)
    {
        auto const length = some_length(random);
        auto const last = 1 + random.below(length - 1);
        auto const left = std::chrono::milliseconds{random.below(7000)};
        auto const needed = duration{static_cast<duration::rep>(
            static_cast<double>((reading + pace * (length - last)).count()) *
            idle)};
        auto const now = time_point{};
        auto const served = now + needed <= now + left;
        auto const taken =
            may_end_in_time(shape, reading, last, now + left, now);
        hopeless += served ? 0 : 1;
        refused += taken ? 0 : 1;
        wrongly += served && !taken ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("hopeless " << hopeless << ", refused " << refused
                                   << ", wrongly " << wrongly);
    // Waiting for the deadline refuses none; most can be told at once.
    BOOST_TEST(refused > hopeless / 2);
    BOOST_TEST(wrongly == 0);
}

BOOST_AUTO_TEST_CASE(is_taken_while_nothing_is_known_of_streams)
{
    auto const shape = stream_shape{};
    BOOST_TEST((shape.least_time_after(std::nullopt) == duration{0}));
    BOOST_TEST(may_end_in_time(shape, 0s, 3, time_point{1ms}, time_point{0ms}));
}

BOOST_AUTO_TEST_CASE(needs_no_reading_where_its_memory_was_kept)
{
    auto const shape = usual_streams();
    auto const now = time_point{};
    BOOST_TEST(may_end_in_time(shape, 0s, 140, now + 400ms, now));
    BOOST_TEST(!may_end_in_time(shape, reading, 140, now + 400ms, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
