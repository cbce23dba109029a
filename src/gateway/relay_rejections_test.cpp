#include "gateway/relay_fixture.hpp"

// Requests at targets that survive few rejections.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;

auto rejection(std::string const& limit) -> raw_answer
{
    return {"HTTP/1.1 503 Service Unavailable\r\n" +
                std::string{platform::names::not_executed} + ": 1\r\n" +
                std::string{platform::names::rejection_limit} + ": " + limit +
                "\r\nContent-Length: 0\r\n\r\n",
            {},
            0,
            answer_end::stays_open};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_target_that_says_it_survives_few_rejections)

BOOST_FIXTURE_TEST_CASE(gets_no_further_attempt_after_one, one_host)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return rejection("1");
                             }};
    auto client = client_view{};
    list("t0", "a", target.port());
    send("/call/", client);
    run_until([&] { return client.over(); });
    BOOST_TEST(target.runs() == 1);
    BOOST_REQUIRE(client.reply);
    BOOST_TEST(client.reply->status == 503);
    BOOST_TEST(client.body == "{\"error\":\"rejection_limits\"}");
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
    BOOST_TEST(host.rejections.report(net::event_loop::now()).size() == 1U);
    BOOST_TEST(
        metric("gateway_rejection_limit_changes_total{source=\"response\"}") ==
        1);
}

BOOST_FIXTURE_TEST_CASE(gets_further_attempts_once_it_permits_any, one_host)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return rejection("1e9");
                             }};
    auto client = client_view{};
    list("t0", "a", target.port());
    send("/call/", client);
    run_until([&] { return client.over(); });
    BOOST_TEST(target.runs() > 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
