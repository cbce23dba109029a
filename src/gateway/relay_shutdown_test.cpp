#include "gateway/relay_fixture.hpp"
#include "standins/full_listener.hpp"

#include <array>
#include <map>

// Requests of a host that shuts down.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;

constexpr auto bad_gateway = 502;
constexpr auto unavailable = 503;
constexpr auto gateway_timeout = 504;

auto const silence = raw_answer{};

struct leaving_host : one_host
{
    /// The host was told to stop so long ago that `left` is left until it ends
    /// its open requests.
    void stop(duration left)
    {
        auto const now = net::event_loop::now();
        auto const grace = host.settings.shutdown_grace;
        auto const last = now + left;
        host.shutdown_started_at =
            last - (dispatch::final_answer_time(now, grace) - now);
        for (auto const& [key, it] : std::map{host.relays})
        {
            it->limit_deadline(last, now);
        }
    }

    /// Replies with this status and, if it is true that the request has not
    /// run, sends the client elsewhere at once.
    void check_reply(int status)
    {
        BOOST_REQUIRE(client.reply);
        BOOST_TEST(client.reply->status == status);
        auto const retry_after =
            net::find_header(client.reply->headers, "Retry-After");
        BOOST_TEST(retry_after.value_or("none") ==
                   (status == unavailable ? "0.010000" : "none"));
        BOOST_TEST(!client.started);
        BOOST_TEST(host.relays.empty());
    }

    client_view client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_host_that_ends_its_open_requests, leaving_host)

BOOST_AUTO_TEST_CASE(tells_that_a_sent_one_may_have_run)
{
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 stop(50ms);
                                 return silence;
                             }};
    list("t0", "a", target.port());
    for (auto const* const path : {"/look/", "/call/", "/stream/", "/fixed/"})
    {
        BOOST_TEST_CONTEXT(path)
        {
            client = {};
            host.shutdown_started_at.reset();
            send(path, client);
            run_until([&] { return client.over(); });
            check_reply(gateway_timeout);
        }
    }
}

BOOST_AUTO_TEST_CASE(sends_one_that_has_not_run_elsewhere)
{
    auto const target = standins::full_listener{};
    for (auto const* const path : {"/look/", "/call/", "/stream/", "/fixed/"})
    {
        BOOST_TEST_CONTEXT(path)
        {
            client = {};
            host.shutdown_started_at.reset();
            host.targets.handle(directory::entry_removed{target_id{path}},
                                net::event_loop::now());
            list(path, "a", target.port());
            send(path, client);
            stop(20ms);
            run_until([&] { return client.over(); });
            check_reply(unavailable);
            BOOST_TEST(client.body == R"({"error":"deadline"})");
        }
    }
}

BOOST_AUTO_TEST_CASE(shows_that_a_stream_is_not_complete)
{
    auto target =
        raw_target{loop, [](std::string const&)
                   {
                       return answer_of(event(1), answer_end::stays_open);
                   }};
    list("t0", "a", target.port());
    for (auto const* const path : {"/stream/", "/fixed/"})
    {
        client = {};
        host.shutdown_started_at.reset();
        send(path, client);
        run_until([&] { return client.started; });
        stop(20ms);
        run_until([&] { return client.over(); });
        BOOST_TEST(client.aborted);
        BOOST_TEST(!client.finished);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_host_that_shuts_down, leaving_host)

BOOST_AUTO_TEST_CASE(refuses_all_after_the_final_answers)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return silence;
                             }};
    list("t0", "a", target.port());
    stop(-1ms);
    for (auto const* const path : {"/look/", "/call/", "/stream/", "/fixed/"})
    {
        client = {};
        send(path, client, {{std::string{platform::names::deadline}, "1"}});
        check_reply(unavailable);
        BOOST_TEST(client.body == R"({"error":"leaving"})");
    }
    BOOST_TEST(target.runs() == 0);
}

/// Two targets that answer with `it` and tell the host to stop first.
struct two_targets
{
    two_targets(leaving_host& at, raw_answer const& it)
    {
        for (auto i = std::size_t{0}; i < targets.size(); ++i)
        {
            targets.at(i) =
                std::make_unique<raw_target>(at.loop,
                                             [&at, it](std::string const&)
                                             {
                                                 at.stop(1s);
                                                 return it;
                                             });
            at.list("t" + std::to_string(i), "a", targets.at(i)->port());
        }
    }

    [[nodiscard]] auto runs() const -> int
    {
        return targets[0]->runs() + targets[1]->runs();
    }

    std::array<std::unique_ptr<raw_target>, 2> targets;
};

BOOST_AUTO_TEST_CASE(retried_what_it_could_not_complete)
{
    auto const rejecting =
        raw_answer{"HTTP/1.1 503 Service Unavailable\r\n" +
                       std::string{platform::names::not_executed} +
                       ": 1\r\nContent-Length: 0\r\n\r\n",
                   {},
                   0,
                   answer_end::stays_open};
    auto const targets = two_targets{*this, rejecting};
    send("/call/", client);
    run_until([&] { return client.over(); });
    check_reply(unavailable);
    BOOST_TEST(client.body == R"({"error":"leaving"})");
    BOOST_TEST(targets.runs() == 1);
}

BOOST_AUTO_TEST_CASE(ran_again_what_it_could_not_complete)
{
    auto const targets = two_targets{*this, {{}, {}, 0, answer_end::reset}};
    send("/look/", client);
    run_until([&] { return client.over(); });
    check_reply(bad_gateway);
    BOOST_TEST(targets.runs() == 1);
}

BOOST_AUTO_TEST_CASE(knows_the_time_that_its_requests_take)
{
    auto answers = true;
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return answers
                                            ? answer_of({}, answer_end::closed)
                                            : silence;
                             }};
    list("t0", "a", target.port());
    send("/call/", client);
    run_until([&] { return client.over(); });
    answers = false;
    client = {};
    send("/call/", client, {{std::string{platform::names::deadline}, "300"}});
    run_until([&] { return client.over(); });
    auto const it =
        host.completion_times.of(routes::request_kind::non_idempotent, service)
            .recent(net::event_loop::now());
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST(it->answered == 1);
    // Timers may fire slightly early.
    BOOST_TEST((it->slowest >= 280ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request_whose_time_is_over)

BOOST_FIXTURE_TEST_CASE(was_sent_with_no_time_left, leaving_host)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return silence;
                             }};
    list("t0", "a", target.port());
    send("/call/", client, {{std::string{platform::names::deadline}, "0"}});
    BOOST_REQUIRE(client.reply);
    BOOST_TEST(client.reply->status == unavailable);
    BOOST_TEST(metric("gateway_refusals_total{reason=\"deadline\"}") == 1);
    auto const settled = net::event_loop::now() + 50ms;
    run_until([&] { return net::event_loop::now() >= settled; });
    BOOST_TEST(target.runs() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
