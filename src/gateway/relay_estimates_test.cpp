#include "gateway/relay_fixture.hpp"

// Requests whose size is unlike that of the ones before.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_target;

auto size_header(std::string const& tokens) -> http1::header_list
{
    return {{std::string{platform::names::token_usage}, tokens}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_that_has_seen_short_prompts_only)

// The fixed part of the time of short prompts was counted for each token, and
// only requests that were served corrected it.
BOOST_FIXTURE_TEST_CASE(refused_all_long_prompts_as_hopeless, one_host)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 auto out = answer_of({}, answer_end::closed);
                                 out.rest = event(1) + event(2);
                                 out.pause = 60ms;
                                 return out;
                             }};
    list("t0", "a", target.port());
    constexpr auto short_prompts = 40;
    for (auto i = 0; i < short_prompts; ++i)
    {
        auto client = client_view{};
        send("/stream/", client, size_header("6,50"));
        run_until([&] { return client.over(); });
        BOOST_TEST(client.finished);
    }
    auto client = client_view{};
    send("/stream/", client, size_header("5200,50"));
    run_until([&] { return client.over(); });
    BOOST_TEST(client.finished);
    BOOST_TEST(target.runs() == short_prompts + 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
