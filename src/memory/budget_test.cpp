#include "memory/budget.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::memory
{

namespace
{

constexpr auto kibibyte = std::size_t{1} << 10U;
constexpr auto mebibyte = std::size_t{1} << 20U;

} // namespace

BOOST_AUTO_TEST_SUITE(the_budget_of_a_host)

BOOST_AUTO_TEST_CASE(leaves_the_process_what_it_needs_itself)
{
    for (auto const mb : {48U, 120U, 260U, 512U})
    {
        auto const it = make_budget(mb * mebibyte);
        auto const all = it.bodies + it.small_requests + it.unsent +
                         it.tunnels + it.received;
        BOOST_TEST(all <= mb * mebibyte);
        BOOST_TEST(it.collected >= 8 * mebibyte);
        BOOST_TEST(it.bodies >= 8 * mebibyte);
    }
    // 25 bodies of 4 MB at once, on hosts of 260 MB.
    BOOST_TEST(make_budget(260 * mebibyte).bodies >= 100 * mebibyte);
    BOOST_TEST(make_budget(0).bodies ==
               make_budget(default_memory_limit).bodies);
}

BOOST_AUTO_TEST_CASE(divides_buffers_between_connections)
{
    constexpr auto least = 4 * kibibyte;
    constexpr auto most = 64 * kibibyte;
    BOOST_TEST(share_of(mebibyte, 1, least, most) == mebibyte / 64);
    BOOST_TEST(share_of(mebibyte, 128, least, most) == mebibyte / 128);
    BOOST_TEST(share_of(mebibyte, 3000, least, most) == least);
    BOOST_TEST(share_of(64 * mebibyte, 1, least, most) == most);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::memory
