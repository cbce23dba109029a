#include "gateway/relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

// Requests of a service whose traffic moves to another version.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_target;

auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};
auto const began = request_id{"began"};

auto response(std::string const& status) -> standins::raw_answer
{
    return {"HTTP/1.1 " + status + "\r\n" +
                std::string{platform::names::signature} +
                ": sig\r\nContent-Length: 2\r\n\r\nok",
            {},
            0,
            answer_end::closed};
}

auto resumption() -> http1::header_list
{
    return {{std::string{platform::names::resumes}, began.value()},
            {std::string{platform::names::last_event_id}, "1"}};
}

struct rollout_of_v2 : one_host
{
    rollout_of_v2()
    {
        host.origins_complete = true;
        list("old", "a", old.port(), v1);
        list("new", "b", fresh.port(), v2);
        host.rollouts.apply(service, {rollout::entry_revision{5}, v2, 1000s},
                            net::event_loop::now());
    }

    void write_status(rollout::state it)
    {
        host.rollouts.apply(service,
                            rollout::status{it, v2, rollout::entry_revision{6}},
                            net::event_loop::now());
    }

    void update(std::size_t hosts)
    {
        auto view = rollout::service_view{true, {v1}, 0};
        auto fleet = rollout::fleet_state{};
        fleet.known_hosts = hosts;
        host.rollouts.update(service, view, fleet, net::event_loop::now());
    }

    /// Status of the answer; zero if it was streamed.
    auto ask(std::string const& path, http1::header_list const& headers = {})
        -> int
    {
        auto client = client_view{};
        send(path, client, headers);
        run_until([&] { return client.over(); });
        return client.reply ? client.reply->status : 0;
    }

    int old_requests = 0;
    int new_requests = 0;
    std::string new_status = "200 OK";
    raw_target old{loop, [this](std::string const& it)
                   {
                       ++old_requests;
                       return answer(it, "200 OK");
                   }};
    raw_target fresh{loop, [this](std::string const& it)
                     {
                         ++new_requests;
                         return answer(it, new_status);
                     }};

private:
    static auto answer(std::string const& request, std::string const& status)
        -> standins::raw_answer
    {
        return request.find("/stream/") == std::string::npos
                   ? response(status)
                   : answer_of(event(2), answer_end::closed);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_service_with_a_rollout)

// A host that has just started would send to the version as it liked.
BOOST_FIXTURE_TEST_CASE(uses_the_old_version_before_its_state_is_known,
                        rollout_of_v2)
{
    for (auto i = 0; i < 10; ++i)
    {
        BOOST_TEST(ask("/call/") == 200);
    }
    BOOST_TEST(new_requests == 0);
}

BOOST_FIXTURE_TEST_CASE(keeps_to_its_part_of_the_exposure, rollout_of_v2)
{
    constexpr auto hosts = std::size_t{25};
    update(hosts);
    for (auto i = 0; i < 30; ++i)
    {
        BOOST_TEST(ask(i % 2 == 0 ? "/call/" : "/stream/") % 200 == 0);
    }
    // One for half of the slack of 50, and three for a share of 0.1.
    BOOST_TEST(new_requests == 4);
    BOOST_TEST(old_requests == 26);
}

BOOST_FIXTURE_TEST_CASE(stops_on_failures_at_this_host, rollout_of_v2)
{
    new_status = "500 Internal Server Error";
    update(1);
    for (auto i = 0; i < 60; ++i)
    {
        ask("/call/");
        update(1);
    }
    BOOST_TEST(host.rollouts.excludes(service, v2));
    BOOST_TEST(new_requests >= 4);
    BOOST_TEST(new_requests <= 15);
    auto const before = new_requests;
    for (auto i = 0; i < 20; ++i)
    {
        BOOST_TEST(ask("/look/") == 200);
    }
    BOOST_TEST(new_requests == before);
}

BOOST_FIXTURE_TEST_CASE(sends_nothing_to_a_version_that_was_rolled_back,
                        rollout_of_v2)
{
    write_status(rollout::state::rolled_back);
    for (auto const* const path : {"/call/", "/look/", "/fixed/", "/stream/"})
    {
        for (auto i = 0; i < 5; ++i)
        {
            ask(path);
        }
    }
    // A stream that has begun there ends.
    host.origins.record(stream_origin::to_stream_id(began), {service, v2},
                        net::event_loop::now());
    BOOST_TEST(ask("/stream/", resumption()) == 503);
    BOOST_TEST(new_requests == 0);
    BOOST_TEST(old_requests == 20);
}

BOOST_FIXTURE_TEST_CASE(sends_nothing_to_other_versions_once_it_is_completed,
                        rollout_of_v2)
{
    write_status(rollout::state::completed);
    for (auto const* const path : {"/call/", "/look/", "/fixed/", "/stream/"})
    {
        for (auto i = 0; i < 5; ++i)
        {
            ask(path);
        }
    }
    host.origins.record(stream_origin::to_stream_id(began), {service, v1},
                        net::event_loop::now());
    BOOST_TEST(ask("/stream/", resumption()) == 503);
    BOOST_TEST(old_requests == 0);
    BOOST_TEST(new_requests == 20);
}

BOOST_FIXTURE_TEST_CASE(continues_streams_at_their_version, rollout_of_v2)
{
    update(1);
    for (auto const& version : {v1, v2})
    {
        auto const old_before = old_requests;
        host.origins.record(stream_origin::to_stream_id(began),
                            {service, version}, net::event_loop::now());
        BOOST_TEST(ask("/stream/", resumption()) == 0);
        BOOST_TEST((old_requests > old_before) == (version == v1));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
