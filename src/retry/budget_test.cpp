#include "retry/budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace primrosedeal;
using namespace primrosedeal::retry;

namespace
{

auto const fitting = service_id{"fitting"};

auto organisation(std::uint64_t n) -> organisation_id
{
    return organisation_id{"org-" + std::to_string(n)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_retry_budget)

BOOST_AUTO_TEST_SUITE(when_every_target_fails)

BOOST_AUTO_TEST_CASE(attempts_stay_within_the_configured_multiple)
{
    auto it = budget{budget_settings{}};
    auto random = random_source{7};
    auto attempts = 0.0;
    constexpr auto requests = 2000;
    for (auto n = 0; n < requests; ++n)
    {
        auto const who = organisation(random.below(10));
        it.request(fitting, who);
        ++attempts;
        while (it.retry(fitting, who) == decision::allowed)
        {
            ++attempts;
        }
    }
    BOOST_TEST(attempts <= 1.2 * requests);
    BOOST_TEST(attempts > 1.1 * requests);
}

BOOST_AUTO_TEST_CASE(one_organisation_cannot_use_the_budget_of_others)
{
    auto it = budget{budget_settings{}};
    for (auto n = 0; n < 100; ++n)
    {
        it.request(fitting, organisation(1));
    }
    it.request(fitting, organisation(2));
    auto retries = 0;
    while (it.retry(fitting, organisation(2)) == decision::allowed)
    {
        ++retries;
    }
    BOOST_TEST(retries == 5);
    BOOST_TEST((it.retry(fitting, organisation(2)) ==
                decision::organisation_exhausted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(tracks_a_bounded_number_of_organisations)
{
    auto it = budget{budget_settings{}};
    for (auto n = 0U; n < 43'000; ++n)
    {
        it.request(fitting, organisation(n));
    }
    BOOST_TEST(it.tracked_organisations() == 1024U);
}

BOOST_AUTO_TEST_CASE(the_balance_is_limited)
{
    auto it = budget{budget_settings{}};
    for (auto n = 0; n < 10'000; ++n)
    {
        it.request(fitting, organisation(1));
    }
    auto retries = 0;
    while (it.retry(fitting, organisation(1)) == decision::allowed)
    {
        ++retries;
    }
    BOOST_TEST(retries == 50);
}

BOOST_AUTO_TEST_CASE(backoff_is_fully_jittered_below_a_growing_ceiling)
{
    auto random = random_source{3};
    auto lower_half = 0;
    for (auto n = 0; n < 1000; ++n)
    {
        auto const first = backoff({}, 1, random);
        BOOST_REQUIRE(first >= 0s);
        BOOST_REQUIRE(first < 20ms);
        lower_half += first < 10ms ? 1 : 0;
        BOOST_REQUIRE(backoff({}, 3, random) < 80ms);
        BOOST_REQUIRE(backoff({}, 4'000'000'000U, random) < 1s);
    }
    BOOST_TEST(lower_half > 400);
    BOOST_TEST(lower_half < 600);
}

BOOST_AUTO_TEST_SUITE_END()
