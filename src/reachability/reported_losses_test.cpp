#include "reachability/reported_losses.hpp"

#include "dispatch/failure_detector.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::reachability
{

BOOST_AUTO_TEST_SUITE(a_target_that_others_report_lost)

BOOST_AUTO_TEST_CASE(has_its_reporters_for_a_while)
{
    auto it = reported_losses{};
    auto const target = target_id{"t"};
    it.record(target, host_id{"a"}, time_point{1s});
    it.record(target, host_id{"b"}, time_point{2s});
    BOOST_TEST(it.reporters(target, time_point{2500ms}).size() == 2U);
    BOOST_TEST(it.reporters(target, time_point{3500ms}).size() == 1U);
    BOOST_TEST(it.reporters(target, time_point{4s}).empty());
    BOOST_TEST(it.reporters(target_id{"u"}, time_point{2s}).empty());
    it.expire(time_point{3500ms});
    BOOST_TEST(it.reporters(target, time_point{2500ms}).size() == 1U);
}

// With most targets lost, hosts tried them again sooner than they had found
// them all.
BOOST_AUTO_TEST_CASE(is_avoided_longer_each_time)
{
    auto it = dispatch::failure_detector{};
    auto const target = target_id{"t"};
    auto const domain = domain_id{"d"};
    auto const suspected_at = [&](duration at)
    {
        return it.health_of(target, domain, time_point{at}) !=
               dispatch::health::healthy;
    };
    it.hint(target, time_point{1s});
    it.hint(target, time_point{1100ms});
    BOOST_TEST(suspected_at(1900ms));
    BOOST_TEST(!suspected_at(2s));
    it.hint(target, time_point{2s});
    BOOST_TEST(suspected_at(3700ms));
    BOOST_TEST(!suspected_at(3800ms));
    it.report(target, domain, dispatch::observation::answered,
              time_point{3800ms});
    it.hint(target, time_point{4s});
    BOOST_TEST(!suspected_at(4900ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::reachability
