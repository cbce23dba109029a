#include "retry/resume_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace primrosedeal;
using namespace primrosedeal::retry;

namespace
{

auto const start = time_point{100s};
auto const luzon = domain_id{"luzon-a"};

auto allowed_resumes(resume_budget& it, std::string const& target,
                     time_point now) -> int
{
    auto n = 0;
    while (it.take(target_id{target}, luzon, now))
    {
        ++n;
    }
    return n;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_resume_budget)

BOOST_AUTO_TEST_CASE(limits_resumes_at_one_target)
{
    auto it = resume_budget{{4, 4, 32, 64}};
    BOOST_TEST(allowed_resumes(it, "a", start) == 4);
    BOOST_TEST(allowed_resumes(it, "a", start + 500ms) == 2);
    BOOST_TEST(allowed_resumes(it, "b", start + 500ms) == 4);
}

BOOST_AUTO_TEST_CASE(limits_a_failure_domain_without_draining_its_targets)
{
    auto it = resume_budget{{4, 4, 1, 5}};
    BOOST_TEST(allowed_resumes(it, "a", start) == 4);
    BOOST_TEST(allowed_resumes(it, "b", start) == 1);
    BOOST_TEST(allowed_resumes(it, "c", start) == 0);
    BOOST_TEST(allowed_resumes(it, "c", start + 3s) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
