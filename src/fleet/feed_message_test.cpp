#include "fleet/feed_message.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::fleet
{

BOOST_AUTO_TEST_SUITE(a_message_of_the_feed)

namespace
{

constexpr auto at = external::store_revision{5, external::store_era{2}};

auto encoded() -> std::string
{
    auto out = feed_message{};
    out.in_contact = true;
    out.at = at;
    out.entries = {{"k", "v", false, at}};
    return encode(out);
}

} // namespace

BOOST_AUTO_TEST_CASE(names_the_era_of_its_revisions)
{
    auto const it = decode_feed_message(encoded(), external::store_era{9});
    BOOST_REQUIRE(it);
    BOOST_TEST(it->at == at);
    BOOST_REQUIRE(it->entries.size() == 1U);
    BOOST_TEST(it->entries.front().at == at);
}

BOOST_AUTO_TEST_CASE(of_an_earlier_version_of_the_program_names_no_era)
{
    auto bytes = encoded();
    bytes.pop_back();
    auto const it = decode_feed_message(bytes, external::store_era{9});
    BOOST_REQUIRE(it);
    BOOST_TEST(it->at == (external::store_revision{5, external::store_era{9}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
