#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace primrosedeal::net
{

namespace
{

/// A server and its client on one loop, run until a test says it is done.
struct fixture
{
    event_loop loop;
    std::shared_ptr<responder> held;
    http_server::handler handle;
    http_server server{loop,
                       {},
                       [this](server_request it, std::shared_ptr<responder> to)
                       {
                           handle(std::move(it), std::move(to));
                       }};
    endpoint at{"127.0.0.1", 0};

    fixture()
    {
        at.port = server.listen(at);
    }

    void run_for_at_most(duration limit)
    {
        auto const guard = loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    /// Runs until no request is open; the guard only ends a broken run.
    void run_until_idle()
    {
        auto tick = timer{};
        std::function<void()> look = [&]
        {
            if (server.open_requests() == 0)
            {
                loop.stop();
                return;
            }
            tick = loop.after(1ms, look);
        };
        look();
        run_for_at_most(10s);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_between_our_processes)

BOOST_FIXTURE_TEST_SUITE(a_whole_answer, fixture)

BOOST_AUTO_TEST_CASE(comes_back_with_status_and_body)
{
    handle = [](server_request const& it, std::shared_ptr<responder> const& to)
    {
        to->reply({200, {}, "got " + it.body + " at " + it.path});
    };
    auto got = std::optional<http_response>{};
    auto const call = fetch(
        loop, at, {http_method::post, "/a?b=c", {}, "hello"}, 5s,
        [&](http_response it)
        {
            got = std::move(it);
            loop.stop();
        },
        [&](call_error, bool) { loop.stop(); });
    run_for_at_most(10s);
    BOOST_REQUIRE(got);
    BOOST_TEST(got->status == 200);
    BOOST_TEST(got->body == "got hello at /a");
    run_until_idle();
    BOOST_TEST(server.open_requests() == 0U);
}

BOOST_AUTO_TEST_CASE(is_not_reported_of_one_that_broke_off_at_any_byte)
{
    auto const head = std::string{"HTTP/1.1 200 OK\r\nX-A: b\r\n"};
    for (auto const& bytes :
         {head + "\r\n", head + "Content-Length: 2\r\n\r\nok",
          head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    {
        for (auto n = std::size_t{0}; n < bytes.size(); ++n)
        {
            for (auto const how :
                 {standins::answer_end::closed, standins::answer_end::reset})
            {
                auto target = standins::raw_target{
                    loop, [&](std::string const&)
                    {
                        return standins::raw_answer{
                            bytes.substr(0, n), {}, 0, how};
                    }};
                auto failed = false;
                auto const call = fetch(
                    loop, {"127.0.0.1", target.port()},
                    {http_method::post, "/", {}, "x"}, 5s,
                    [&](http_response const&) { loop.stop(); },
                    [&](call_error, bool may_have_sent)
                    {
                        failed = may_have_sent;
                        loop.stop();
                    });
                run_for_at_most(10s);
                BOOST_TEST(failed, bytes.substr(0, n));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(times_out_and_says_that_it_was_sent)
{
    handle = [&](server_request const&, std::shared_ptr<responder> const& to)
    {
        held = to;
    };
    auto sent = std::optional<bool>{};
    auto const call = fetch(
        loop, at, {http_method::post, "/", {}, "x"}, 100ms,
        [&](http_response const&) { loop.stop(); },
        [&](call_error, bool may_have_sent)
        {
            sent = may_have_sent;
            loop.stop();
        });
    run_for_at_most(10s);
    BOOST_REQUIRE(sent);
    BOOST_TEST(*sent);
    held.reset();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_refused_connection, fixture)

BOOST_AUTO_TEST_CASE(is_known_to_have_sent_nothing)
{
    server.stop_listening();
    auto error = std::optional<call_error>{};
    auto sent = true;
    auto const call = fetch(
        loop, at, {http_method::post, "/", {}, "x"}, 5s,
        [&](http_response const&) { loop.stop(); },
        [&](call_error it, bool may_have_sent)
        {
            error = it;
            sent = may_have_sent;
            loop.stop();
        });
    run_for_at_most(10s);
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST((*error == call_error::not_connected));
    BOOST_TEST(!sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_streamed_answer, fixture)

BOOST_AUTO_TEST_CASE(arrives_chunk_by_chunk)
{
    auto tick = timer{};
    handle = [&](server_request const&, std::shared_ptr<responder> const& to)
    {
        held = to;
        held->start_stream(200, {{"Content-Type", "text/event-stream"}});
        held->send("one");
        tick = loop.after(20ms,
                          [&]
                          {
                              held->send("two");
                              held->finish();
                          });
    };
    auto parts = std::vector<std::string>{};
    auto ended = false;
    auto events = http_events{};
    events.on_body = [&](std::string_view it)
    {
        parts.emplace_back(it);
    };
    events.on_end = [&](int)
    {
        ended = true;
        loop.stop();
    };
    events.on_error = [&](call_error)
    {
        loop.stop();
    };
    auto const call =
        start_call(loop, at, {http_method::get, "/s", {}, ""}, events);
    run_for_at_most(10s);
    BOOST_TEST(ended);
    BOOST_REQUIRE(parts.size() == 2U);
    BOOST_TEST(parts[0] == "one");
    BOOST_TEST(parts[1] == "two");
}

BOOST_AUTO_TEST_CASE(tells_the_server_when_the_caller_goes)
{
    auto call = std::unique_ptr<http_call>{};
    auto tick = timer{};
    auto closed = false;
    std::function<void()> send_more = [&]
    {
        held->send("more");
        tick = loop.after(5ms, send_more);
    };
    handle = [&](server_request const&, std::shared_ptr<responder> const& to)
    {
        held = to;
        held->on_close(
            [&]
            {
                closed = true;
                tick.cancel();
                loop.stop();
            });
        held->start_stream(200, {});
        send_more();
    };
    auto events = http_events{};
    events.on_body = [&](std::string_view)
    {
        call.reset();
    };
    events.on_end = [&](int) {
    };
    events.on_error = [&](call_error) {
    };
    call = start_call(loop, at, {http_method::get, "/s", {}, ""}, events);
    run_for_at_most(10s);
    BOOST_TEST(closed);
    BOOST_TEST(server.open_requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::net
