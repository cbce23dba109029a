#include "gateway/relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

// A target that leaves, at a host to which the store does not say so.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_target;

auto const leaving = std::string{platform::names::leaving} + ": 1\r\n";

auto reply_with(std::string const& status, std::string const& headers)
    -> standins::raw_answer
{
    return {"HTTP/1.1 " + status + "\r\n" +
                std::string{platform::names::signature} + ": sig\r\n" +
                headers + "Content-Length: 2\r\n\r\nok",
            {},
            0,
            answer_end::closed};
}

/// One target that leaves and one that stays.
struct two_targets : one_host
{
    two_targets()
    {
        host.list_is_current = false;
    }

    void list_process(std::string const& id, std::uint16_t port,
                      std::uint64_t start)
    {
        auto it = directory::listed_target{};
        it.id = target_id{id};
        it.process_start = incarnation{start};
        it.service = service;
        it.address = {"127.0.0.1", port};
        it.slots = 64;
        host.targets.handle(directory::entry_written{it.id, it},
                            net::event_loop::now());
    }

    /// Status of the answer; zero if it was streamed.
    auto ask(std::string const& path) -> int
    {
        auto client = client_view{};
        send(path, client);
        run_until([&] { return client.over(); });
        return client.reply ? client.reply->status : 0;
    }

    void rest(duration time)
    {
        auto rested = false;
        auto const timer = loop.after(time, [&] { rested = true; });
        run_until([&] { return rested; });
    }

    /// Requests that reach the leaving target after it has answered one.
    auto runs_after(std::string const& path) -> int
    {
        list("leaves", "a", leaver.port());
        ask(path);
        BOOST_TEST(leaver.runs() == 1);
        list("stays", "b", sound.port());
        constexpr auto requests = 8;
        for (auto i = 0; i < requests; ++i)
        {
            ask("/call/");
        }
        BOOST_TEST(sound.runs() >= requests);
        return leaver.runs() - 1;
    }

    standins::raw_answer answer = reply_with("200 OK", leaving);
    raw_target leaver{loop, [this](std::string const&)
                      {
                          return answer;
                      }};
    raw_target sound{loop, [](std::string const&)
                     {
                         return reply_with("200 OK", {});
                     }};
};

} // namespace

// A host cut off from the store sent orders to a target that had said in its
// answers that it leaves, until it exited and cut them.
BOOST_FIXTURE_TEST_SUITE(a_target_that_states_that_it_leaves, two_targets)

BOOST_AUTO_TEST_CASE(gets_no_request_after_an_answer)
{
    BOOST_TEST(runs_after("/call/") == 0);
}

BOOST_AUTO_TEST_CASE(gets_no_request_after_the_head_of_a_stream)
{
    answer = {"HTTP/1.1 200 OK\r\n" + std::string{platform::names::signature} +
                  ": sig\r\n" + leaving + "\r\n" + event(1),
              {},
              0,
              answer_end::closed};
    BOOST_TEST(runs_after("/fixed/") == 0);
}

BOOST_AUTO_TEST_CASE(gets_no_request_after_an_error)
{
    answer = reply_with("500 Internal Server Error", leaving);
    BOOST_TEST(runs_after("/call/") == 0);
}

BOOST_AUTO_TEST_CASE(gets_no_request_after_it_has_refused_one)
{
    answer = reply_with("503 Service Unavailable",
                        std::string{platform::names::not_executed} + ": 1\r\n" +
                            leaving);
    list("leaves", "a", leaver.port());
    list("stays", "b", sound.port());
    auto const before = leaver.runs();
    constexpr auto requests = 12;
    for (auto i = 0; i < requests; ++i)
    {
        BOOST_TEST(ask("/call/") == 200);
        // Longer than a target without room is left alone.
        rest(40ms);
    }
    BOOST_TEST(leaver.runs() - before <= 1);
}

BOOST_AUTO_TEST_CASE(stays_out_of_use_though_its_entry_says_otherwise)
{
    list_process("leaves", leaver.port(), 1);
    list_process("stays", sound.port(), 1);
    while (leaver.runs() == 0)
    {
        ask("/call/");
    }
    list_process("leaves", leaver.port(), 1);
    BOOST_TEST(!host.targets.takes_new_work(target_id{"leaves"}));
}

BOOST_AUTO_TEST_CASE(gets_requests_again_as_a_new_process)
{
    list_process("leaves", leaver.port(), 1);
    ask("/call/");
    BOOST_TEST(!host.targets.takes_new_work(target_id{"leaves"}));
    answer = reply_with("200 OK", {});
    list_process("leaves", leaver.port(), 2);
    BOOST_TEST(ask("/call/") == 200);
    BOOST_TEST(leaver.runs() == 2);
}

BOOST_AUTO_TEST_CASE(is_not_named_by_the_answer_to_another_request)
{
    answer = reply_with("200 OK", std::string{platform::names::request_id} +
                                      ": other\r\n" + leaving);
    list("leaves", "a", leaver.port());
    ask("/call/");
    BOOST_TEST(host.targets.takes_new_work(target_id{"leaves"}));
}

BOOST_AUTO_TEST_SUITE_END()

// A host went on asking a target that had said for how long it wants nothing.
BOOST_FIXTURE_TEST_SUITE(a_target_that_wants_no_requests_for_a_while,
                         two_targets)

BOOST_AUTO_TEST_CASE(gets_none_from_the_host_that_it_said_so_to)
{
    answer = reply_with("503 Service Unavailable",
                        std::string{platform::names::not_executed} +
                            ": 1\r\nRetry-After: 20\r\n");
    list("full", "a", leaver.port());
    ask("/call/");
    BOOST_TEST(leaver.runs() == 1);
    list("free", "b", sound.port());
    constexpr auto requests = 12;
    for (auto i = 0; i < requests; ++i)
    {
        BOOST_TEST(ask("/call/") == 200);
        // Longer than a target without room is left alone.
        rest(40ms);
    }
    BOOST_TEST(leaver.runs() == 1);
}

BOOST_AUTO_TEST_CASE(tells_callers_when_to_return_if_it_is_the_only_one)
{
    answer = reply_with("503 Service Unavailable",
                        std::string{platform::names::not_executed} +
                            ": 1\r\nRetry-After: 20\r\n");
    list("full", "a", leaver.port());
    ask("/call/");
    auto client = client_view{};
    send("/call/", client);
    run_until([&] { return client.over(); });
    BOOST_REQUIRE(client.reply.has_value());
    BOOST_TEST(client.reply->status == 503);
    BOOST_TEST(client.body == R"({"error":"targets_paused"})");
    auto const after = net::find_header(client.reply->headers, "Retry-After");
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(std::stod(std::string{*after}) > 15);
    BOOST_TEST(leaver.runs() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
