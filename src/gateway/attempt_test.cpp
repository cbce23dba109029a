#include "gateway/attempt.hpp"

#include "gateway/tunnel_server.hpp"
#include "platform/names.hpp"
#include "platform/protocol.hpp"
#include "standins/full_listener.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// One attempt at a scripted target over loopback. Bounds are in bytes: what the
// target could send before its connection was closed, which includes what the
// kernel buffered for both ends, and what this process had allocated.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;
using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;

/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};
constexpr auto mebibyte = std::size_t{1} << 20U;
/// What a target sends that would never stop by itself.
constexpr auto endless = 96 * mebibyte;
/// What the kernel may buffer for both ends of a connection.
constexpr auto kernel_buffers = 12 * mebibyte;
/// Largest answer and largest event that an attempt may hold.
constexpr auto body_bound = 8 * mebibyte;
constexpr auto event_bound = mebibyte;

auto const signed_head = std::string{"HTTP/1.1 200 OK\r\n"} +
                         std::string{platform::names::signature} + ": sig\r\n";

/// `bytes` as chunks of `size`.
auto chunked(std::string const& bytes) -> std::string
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

auto event(int id, std::string const& data = "t") -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

/// Bytes that this process has allocated, without what is free for reuse.
auto allocated() -> std::size_t
{
    auto const it = ::mallinfo2();
    return it.uordblks + it.hblkhd;
}

struct outcome
{
    std::vector<std::string> events;
    std::optional<target_response> response;
    std::optional<attempt_failure> failure;
    bool stream_ended = false;
    std::vector<connection_outcome> connections;
    int direct_answers = 0;
    std::optional<http1::tunnel_refusal> tunnel_refusal;
    std::optional<time_point> unanswered_since;

    [[nodiscard]] auto over() const -> bool
    {
        return response || failure || stream_ended;
    }
};

struct attempts
{
    /// Begins an attempt that reports into `out`.
    auto begin(raw_target& target, bool streaming, outcome& out)
        -> std::unique_ptr<attempt>
    {
        return begin(target.port(), streaming, out);
    }

    auto begin(std::uint16_t port, bool streaming, outcome& out)
        -> std::unique_ptr<attempt>
    {
        auto events = attempt_events{};
        events.on_event =
            [&out](http1::response_head const&, http1::stream_event it)
        {
            out.events.push_back(std::move(it.bytes));
        };
        events.on_stream_end = [&out]
        {
            out.stream_ended = true;
        };
        events.on_response = [&out](target_response it)
        {
            out.response = std::move(it);
        };
        events.on_failure =
            [&out](attempt_failure how, std::optional<target_response> const&)
        {
            out.failure = how;
        };
        events.on_connection_answered = [&out]
        {
            ++out.direct_answers;
        };
        events.on_connection_result = [&out](connection_outcome it)
        {
            out.connections.push_back(it);
        };
        events.on_tunnel_refused = [&out](http1::tunnel_refusal why)
        {
            BOOST_TEST(!out.failure.has_value());
            out.tunnel_refusal = why;
        };
        auto plan = attempt_plan{};
        plan.target.address = {"127.0.0.1", port};
        plan.path = path;
        plan.id = request_id{"r1"};
        plan.message = {method, "/a", {{"Host", "h"}}, sent_body, true};
        plan.connect_timeout = connect_timeout;
        plan.streaming = streaming;
        // No silence of a busy machine ends the attempt.
        plan.stream_timing.gap_objective = 10 * patience;
        plan.stream_timing.expected_first = patience;
        plan.stream_timing.first_event_due =
            net::event_loop::now() + 10 * patience;
        return std::make_unique<attempt>(loop, wire, prober, std::move(plan),
                                         std::move(events),
                                         net::event_loop::now());
    }

    auto run(raw_target& target, bool streaming) -> outcome
    {
        auto out = outcome{};
        auto const it = begin(target, streaming, out);
        run_until([&] { return out.over(); });
        return out;
    }

    /// What comes of an attempt at `port` by `by`.
    auto run_by(http1::connection_path by, std::uint16_t port, bool streaming)
        -> outcome
    {
        path = std::move(by);
        auto out = outcome{};
        auto const it = begin(port, streaming, out);
        run_until([&] { return out.over(); });
        out.unanswered_since = it->unanswered_since();
        return out;
    }

    template <class Done>
    void run_until(Done const& done)
    {
        auto const end = net::event_loop::now() + patience;
        while (!done() && net::event_loop::now() < end)
        {
            auto const tick = loop.after(5ms, [] {});
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        BOOST_REQUIRE(done());
    }

    /// What comes of an answer that begins with `first` and goes on with
    /// `repeated`.
    auto answer_without_end(std::string first, std::string repeated,
                            bool streaming) -> outcome
    {
        auto target = raw_target{
            loop, [&](std::string const&)
            {
                return raw_answer{first, repeated, endless, answer_end::closed};
            }};
        auto const before = allocated();
        target.on_sent = [&]
        {
            auto const now = allocated();
            peak = std::max(peak, now > before ? now - before : 0);
        };
        auto out = run(target, streaming);
        sent = target.sent();
        return out;
    }

    bool initialised = (net::initialise_process(), true);
    std::string method = "POST";
    std::string sent_body = "prompt";
    net::event_loop loop;
    platform::wire_protocol wire;
    connect_prober prober{loop};
    http1::connection_path path;
    duration connect_timeout = patience;
    std::size_t sent = 0;
    std::size_t peak = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(an_attempt)

BOOST_AUTO_TEST_SUITE(whose_target_sends_without_end)

// A stream for a client that did not read was taken from its target as fast as
// the link is.
BOOST_FIXTURE_TEST_CASE(is_not_read_while_its_client_is_slow, attempts)
{
    auto const data = event(1, std::string(16000, 'x'));
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{signed_head + "\r\n", data,
                                                   endless, answer_end::closed};
                             }};
    auto out = outcome{};
    auto const it = begin(target, true, out);
    run_until([&] { return !out.events.empty(); });
    it->pause_reading(true, net::event_loop::now());
    auto seen = out.events.size();
    auto calm = false;
    auto const wait = loop.after(500ms, [&] { calm = true; });
    run_until([&] { return calm; });
    BOOST_TEST(out.events.size() == seen);
    BOOST_TEST(target.sent() < kernel_buffers);
    it->pause_reading(false, net::event_loop::now());
    run_until([&] { return out.events.size() > seen; });
    BOOST_TEST(!out.over());
}

BOOST_FIXTURE_TEST_CASE(ends_a_plain_answer_beyond_its_bound, attempts)
{
    auto const chunk = chunked(std::string(16000, 'x'));
    auto const heads = std::vector<std::pair<std::string, std::string>>{
        {signed_head + "Transfer-Encoding: chunked\r\n\r\n", chunk},
        {signed_head + "\r\n", "x"},
        {signed_head + "Content-Length: 400000000\r\n\r\n", "x"},
        {"HTTP/1.1 500 No\r\n\r\n", "x"}};
    for (auto const& [head, repeated] : heads)
    {
        auto const it = answer_without_end(head, repeated, false);
        BOOST_TEST((it.failure == attempt_failure::damaged), head);
        BOOST_TEST(sent < body_bound + kernel_buffers, head);
    }
}

BOOST_FIXTURE_TEST_CASE(ends_a_failure_of_a_stream_beyond_its_bound, attempts)
{
    auto const it = answer_without_end("HTTP/1.1 500 No\r\n\r\n", "no", true);
    BOOST_TEST((it.failure == attempt_failure::damaged));
    BOOST_TEST(sent < body_bound + kernel_buffers);
}

BOOST_FIXTURE_TEST_CASE(ends_a_stream_whose_event_never_ends, attempts)
{
    auto const it =
        answer_without_end(signed_head + "\r\n" + event(1) + "id: 2\ndata: ",
                           std::string(1000, 'x'), true);
    BOOST_TEST((it.failure == attempt_failure::damaged));
    BOOST_TEST(it.events.size() == 1U);
    BOOST_TEST(sent < event_bound + kernel_buffers);
}

BOOST_FIXTURE_TEST_CASE(ends_a_stream_whose_bytes_hold_no_event, attempts)
{
    for (auto const* const repeated : {"\n\n", ": nothing\n\n"})
    {
        auto const it =
            answer_without_end(signed_head + "\r\n", repeated, true);
        BOOST_TEST((it.failure == attempt_failure::damaged), repeated);
        BOOST_TEST(sent < event_bound + kernel_buffers, repeated);
    }
}

BOOST_FIXTURE_TEST_CASE(ends_interim_answers_without_end, attempts)
{
    for (auto const* const interim :
         {"HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"})
    {
        auto const it = answer_without_end("", interim, false);
        BOOST_TEST((it.failure == attempt_failure::damaged), interim);
        BOOST_TEST(sent < kernel_buffers, interim);
    }
}

BOOST_FIXTURE_TEST_CASE(ends_a_head_without_end, attempts)
{
    auto const heads = std::vector<std::pair<std::string, std::string>>{
        {"HTTP/1.1 200 ", "x"},
        {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
        {"HTTP/1.1 200 OK\r\nX-A: ", "b"},
        {"", "\r\n"},
        {"", "x"}};
    for (auto const streaming : {false, true})
    {
        for (auto const& [first, repeated] : heads)
        {
            auto const it = answer_without_end(first, repeated, streaming);
            BOOST_TEST((it.failure == attempt_failure::damaged), repeated);
            BOOST_TEST(sent < kernel_buffers, repeated);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(ends_chunks_that_are_nearly_all_extension, attempts)
{
    auto const it =
        answer_without_end(signed_head + "Transfer-Encoding: chunked\r\n\r\n",
                           "1;" + std::string(2000, 'a') + "\r\nx\r\n", false);
    BOOST_TEST((it.failure == attempt_failure::damaged));
    BOOST_TEST(sent < kernel_buffers);
}

BOOST_FIXTURE_TEST_CASE(ends_an_extension_and_a_trailer_without_end, attempts)
{
    auto const head = signed_head + "Transfer-Encoding: chunked\r\n\r\n";
    auto const bodies = std::vector<std::pair<std::string, std::string>>{
        {head + "1;", "a"}, {head + "0\r\n", "X-A: b\r\n"}};
    for (auto const& [first, repeated] : bodies)
    {
        auto const it = answer_without_end(first, repeated, false);
        BOOST_TEST((it.failure == attempt_failure::damaged), first);
        BOOST_TEST(sent < kernel_buffers, first);
    }
}

// The target would send more than a gigabyte over all attempts.
BOOST_FIXTURE_TEST_CASE(keeps_the_process_from_growing, attempts)
{
    auto const before = allocated();
    constexpr auto rounds = 4;
    for (auto i = 0; i < rounds; ++i)
    {
        answer_without_end(signed_head + "\r\n", "x", false);
        // A string that grows is copied into one of twice its size.
        BOOST_TEST(peak < 4 * body_bound);
        answer_without_end("HTTP/1.1 500 No\r\n\r\n", "x", true);
        BOOST_TEST(peak < 4 * body_bound);
        answer_without_end(signed_head + "\r\ndata: ", "x", true);
        BOOST_TEST(peak < 4 * body_bound);
    }
    BOOST_TEST(allocated() < before + mebibyte);
}

// Each answer was within its own bound, and all together ended the process.
BOOST_FIXTURE_TEST_CASE(bounds_all_attempts_together, attempts)
{
    auto bad = raw_target{loop, [](std::string const&)
                          {
                              return raw_answer{signed_head + "\r\n", "x",
                                                endless, answer_end::closed};
                          }};
    auto good = raw_target{loop, [](std::string const&)
                           {
                               return raw_answer{signed_head + "\r\n" +
                                                     std::string(mebibyte, 'x'),
                                                 {},
                                                 0,
                                                 answer_end::closed};
                           }};
    auto const before = allocated();
    bad.on_sent = [&]
    {
        auto const now = allocated();
        peak = std::max(peak, now > before ? now - before : 0);
    };
    constexpr auto at_once = std::size_t{32};
    auto outcomes = std::vector<outcome>(at_once);
    auto proper = outcome{};
    {
        auto running = std::vector<std::unique_ptr<attempt>>{};
        for (auto& it : outcomes)
        {
            running.push_back(begin(bad, false, it));
        }
        running.push_back(begin(good, false, proper));
        run_until(
            [&]
            {
                return proper.over() &&
                       std::all_of(outcomes.begin(), outcomes.end(),
                                   [](outcome const& it) { return it.over(); });
            });
    }
    for (auto const& it : outcomes)
    {
        BOOST_TEST((it.failure == attempt_failure::damaged));
    }
    BOOST_REQUIRE(proper.response);
    BOOST_TEST(proper.response->body.size() == mebibyte);
    constexpr auto together = 48 * mebibyte;
    constexpr auto buffers_of_the_targets = 16 * mebibyte;
    BOOST_TEST(peak < 2 * together + buffers_of_the_targets);
}

// Each unfinished event was within its own bound, and all together ended the
// process.
BOOST_FIXTURE_TEST_CASE(bounds_the_events_of_all_attempts_together, attempts)
{
    constexpr auto unfinished = 900 * (mebibyte / 1024);
    auto bad = raw_target{loop, [](std::string const&)
                          {
                              return raw_answer{signed_head + "\r\ndata: ", "x",
                                                unfinished, answer_end::closed};
                          }};
    auto good = raw_target{loop, [](std::string const&)
                           {
                               return raw_answer{signed_head + "\r\n" +
                                                     event(1) + event(2),
                                                 {},
                                                 0,
                                                 answer_end::closed};
                           }};
    auto const before = allocated();
    bad.on_sent = [&]
    {
        auto const now = allocated();
        peak = std::max(peak, now > before ? now - before : 0);
    };
    constexpr auto at_once = std::size_t{160};
    auto outcomes = std::vector<outcome>(at_once);
    auto proper = outcome{};
    {
        auto running = std::vector<std::unique_ptr<attempt>>{};
        for (auto& it : outcomes)
        {
            running.push_back(begin(bad, true, it));
        }
        running.push_back(begin(good, true, proper));
        run_until(
            [&]
            {
                return proper.over() &&
                       std::all_of(outcomes.begin(), outcomes.end(),
                                   [](outcome const& it) { return it.over(); });
            });
    }
    BOOST_TEST(proper.stream_ended);
    BOOST_TEST(proper.events.size() == 2U);
    constexpr auto together = 48 * mebibyte;
    constexpr auto buffers_of_the_targets = 16 * mebibyte;
    BOOST_TEST(peak < 2 * together + buffers_of_the_targets);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(takes_a_proper_answer)

BOOST_FIXTURE_TEST_CASE(of_several_megabytes, attempts)
{
    auto const body = std::string(6 * mebibyte, 'x');
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{signed_head + "Content-Length: " +
                                             std::to_string(body.size()) +
                                             "\r\n\r\n" + body,
                                         {}};
                   }};
    auto const it = run(target, false);
    BOOST_REQUIRE(it.response);
    BOOST_TEST((it.response->body == body));
}

// The smallest chunks cost five bytes of framing for each byte of body.
BOOST_FIXTURE_TEST_CASE(in_chunks_of_one_byte, attempts)
{
    auto bytes = signed_head + "Transfer-Encoding: chunked\r\n\r\n";
    constexpr auto chunks = 200000;
    for (auto i = 0; i < chunks; ++i)
    {
        bytes += "1\r\nx\r\n";
    }
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{bytes + "0\r\n\r\n", {}};
                             }};
    auto const it = run(target, false);
    BOOST_REQUIRE(it.response);
    BOOST_TEST(it.response->body.size() == chunks);
}

BOOST_FIXTURE_TEST_CASE(to_a_head_request_on_a_streaming_route, attempts)
{
    method = "HEAD";
    auto target = raw_target{
        loop, [](std::string const&)
        {
            return raw_answer{signed_head + "Content-Length: 9\r\n\r\n", {}};
        }};
    auto const it = run(target, true);
    BOOST_REQUIRE(it.response);
    BOOST_TEST(it.response->body.empty());
}

BOOST_FIXTURE_TEST_CASE(with_large_events, attempts)
{
    auto const large = event(1, std::string(256 << 10U, 'x'));
    auto bytes = signed_head + "\r\n";
    constexpr auto events = 40;
    for (auto i = 0; i < events; ++i)
    {
        bytes += large + ": still there\n\n";
    }
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{bytes, {}, 0, answer_end::closed};
                   }};
    auto const it = run(target, true);
    BOOST_TEST(it.stream_ended);
    BOOST_TEST(it.events.size() == 2U * events);
}

BOOST_AUTO_TEST_SUITE_END()

// Such an answer has neither a length nor chunks.
BOOST_AUTO_TEST_SUITE(whose_answer_ends_with_its_connection)

BOOST_FIXTURE_TEST_CASE(has_it_whole_if_closed_in_good_order, attempts)
{
    for (auto const* const version : {"HTTP/1.0 ", "HTTP/1.1 "})
    {
        auto const head =
            version + signed_head.substr(std::string{version}.size()) + "\r\n";
        auto plain = raw_target{
            loop, [&](std::string const&)
            {
                return raw_answer{head + "whole", {}, 0, answer_end::closed};
            }};
        auto const it = run(plain, false);
        BOOST_REQUIRE(it.response);
        BOOST_TEST(it.response->body == "whole");
        auto stream = raw_target{
            loop, [&](std::string const&)
            {
                return raw_answer{
                    head + event(1) + event(2), {}, 0, answer_end::closed};
            }};
        auto const streamed = run(stream, true);
        BOOST_TEST(streamed.stream_ended);
        BOOST_TEST(streamed.events.size() == 2U);
    }
}

BOOST_FIXTURE_TEST_CASE(is_broken_if_it_is_reset, attempts)
{
    for (auto const streaming : {false, true})
    {
        auto target = raw_target{
            loop, [&](std::string const&)
            {
                return raw_answer{
                    signed_head + "\r\n" + event(1), {}, 0, answer_end::reset};
            }};
        auto const it = run(target, streaming);
        BOOST_TEST((it.failure == attempt_failure::broken));
    }
}

BOOST_FIXTURE_TEST_CASE(is_broken_if_a_stream_ends_inside_an_event, attempts)
{
    for (auto const* const rest : {"id: 2\nda", "id: 2\ndata: t\n"})
    {
        auto target = raw_target{loop, [&](std::string const&)
                                 {
                                     return raw_answer{signed_head + "\r\n" +
                                                           event(1) + rest,
                                                       {},
                                                       0,
                                                       answer_end::closed};
                                 }};
        auto const it = run(target, true);
        BOOST_TEST((it.failure == attempt_failure::broken), rest);
        BOOST_TEST(it.events.size() == 1U, rest);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_answer_breaks_off)

/// Attempts at one target, directly and through a helper that connects to it.
struct broken_answers : attempts
{
    /// What comes of the first `n` bytes of `bytes`.
    auto cut(std::size_t n, answer_end how, http1::connection_path const& by,
             bool streaming) -> outcome
    {
        answer = {bytes.substr(0, n), {}, 0, how};
        auto const runs = target.runs();
        auto out = run_by(by, target.port(), streaming);
        BOOST_TEST(target.runs() == runs + 1);
        return out;
    }

    template <class Check>
    void each_way(Check const& check)
    {
        for (auto const how : {answer_end::closed, answer_end::reset})
        {
            for (auto const& by : paths)
            {
                BOOST_TEST_CONTEXT("closed: " << (how == answer_end::closed)
                                              << " path: " << by.index())
                {
                    check(how, by);
                }
            }
        }
    }

    std::string bytes;
    raw_answer answer;
    raw_target target{loop, [this](std::string const&)
                      {
                          return answer;
                      }};
    tunnel_server helper{
        loop,
        {},
        {[this](target_id const&) {
             return std::optional{net::endpoint{"127.0.0.1", target.port()}};
         },
         [] { return true; },
         [] {},
         {},
         {},
         {}}};
    std::vector<http1::connection_path> paths = {
        http1::direct_connection{},
        http1::tunnel_route{{"127.0.0.1", helper.listen({"127.0.0.1", 0})},
                            target_id{"t"}}};
    /// Each with the bytes of a body in which two events come.
    std::vector<std::pair<std::string, std::string>> answers = {
        {"Content-Length: " +
             std::to_string(event(1).size() + event(2).size()) + "\r\n\r\n",
         event(1) + event(2)},
        {"Transfer-Encoding: chunked\r\n\r\n",
         chunked(event(1)) + chunked(event(2)) + "0\r\n\r\n"},
        {"\r\n", event(1) + event(2)}};
    std::vector<std::string> interims = {
        "", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"};
};

BOOST_FIXTURE_TEST_CASE(in_its_head_is_broken_at_each_byte, broken_answers)
{
    for (auto const& interim : interims)
    {
        for (auto const& [last_lines, body] : answers)
        {
            bytes = interim;
            bytes += signed_head + last_lines;
            for (auto n = std::size_t{0}; n < bytes.size(); ++n)
            {
                BOOST_TEST_CONTEXT(bytes.substr(0, n))
                each_way(
                    [&](answer_end how, http1::connection_path const& by)
                    {
                        for (auto const streaming : {false, true})
                        {
                            auto const it = cut(n, how, by, streaming);
                            BOOST_TEST((it.failure == attempt_failure::broken));
                            BOOST_TEST(it.events.empty());
                        }
                    });
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(in_its_body_is_broken_at_each_byte, broken_answers)
{
    for (auto const& [last_lines, body] : answers)
    {
        auto const head = signed_head + last_lines;
        bytes = head + body;
        auto const until_close = last_lines == "\r\n";
        for (auto n = head.size(); n < bytes.size(); ++n)
        {
            BOOST_TEST_CONTEXT(bytes.substr(0, n))
            each_way(
                [&](answer_end how, http1::connection_path const& by)
                {
                    auto const in_order =
                        until_close && how == answer_end::closed;
                    auto const call = cut(n, how, by, false);
                    BOOST_TEST(call.response.has_value() == in_order);
                    BOOST_TEST(
                        (in_order || call.failure == attempt_failure::broken));
                    auto const stream = cut(n, how, by, true);
                    auto const one_event = n == head.size() + event(1).size();
                    BOOST_TEST(stream.stream_ended == (in_order && one_event));
                    BOOST_TEST((stream.stream_ended ||
                                stream.failure == attempt_failure::broken));
                    auto const whole_events = std::vector{event(1), event(2)};
                    BOOST_TEST(std::equal(stream.events.begin(),
                                          stream.events.end(),
                                          whole_events.begin()));
                });
        }
    }
}

// The target closes before it has read the request, which resets the
// connection while the rest of the request is still being sent.
BOOST_FIXTURE_TEST_CASE(before_its_request_was_sent_is_broken, broken_answers)
{
    sent_body = std::string(4 * mebibyte, 'x');
    bytes = signed_head + "Content-Length: 2\r\n\r\nok";
    constexpr auto step = std::size_t{9};
    for (auto n = std::size_t{0}; n < bytes.size(); n += step)
    {
        each_way(
            [&](answer_end how, http1::connection_path const& by)
            {
                auto const it = cut(n, how, by, false);
                BOOST_TEST((it.failure == attempt_failure::broken), n);
            });
    }
}

BOOST_FIXTURE_TEST_CASE(in_its_helpers_answer_was_never_sent, attempts)
{
    auto const whole = http1::write_connect_answer(std::nullopt);
    for (auto n = std::size_t{0}; n < whole.size(); ++n)
    {
        for (auto const how : {answer_end::closed, answer_end::reset})
        {
            auto helper = raw_target{
                loop, [&](std::string const&)
                {
                    return raw_answer{whole.substr(0, n), {}, 0, how};
                }};
            auto const it =
                run_by(http1::tunnel_route{{"127.0.0.1", helper.port()},
                                           target_id{"t"}},
                       helper.port(), false);
            BOOST_TEST((it.failure == attempt_failure::not_connected), n);
            BOOST_TEST((it.tunnel_refusal ==
                        http1::tunnel_refusal::helper_unreachable));
            BOOST_TEST(it.connections.empty());
        }
    }
}

// An answer without a length, so that only the last frame tells its end.
BOOST_FIXTURE_TEST_CASE(in_a_frame_of_its_helper_is_broken, attempts)
{
    auto const open = http1::write_connect_answer(std::nullopt);
    auto whole = open;
    for (auto const& it : {signed_head + "\r\n", event(1), std::string{}})
    {
        whole += http1::write_frame_head(it.size()) + it;
    }
    for (auto n = open.size(); n < whole.size(); ++n)
    {
        for (auto const how : {answer_end::closed, answer_end::reset})
        {
            auto helper = raw_target{
                loop, [&](std::string const&)
                {
                    return raw_answer{whole.substr(0, n), {}, 0, how};
                }};
            auto const route = http1::tunnel_route{{"127.0.0.1", helper.port()},
                                                   target_id{"t"}};
            for (auto const streaming : {false, true})
            {
                auto const it = run_by(route, helper.port(), streaming);
                BOOST_TEST((it.failure == attempt_failure::broken), n);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_target_refuses)

struct refusals : attempts
{
    static auto response(std::string const& status, std::string const& more)
        -> std::string
    {
        return "HTTP/1.1 " + status + " Any\r\nContent-Length: 0\r\n" + more +
               "\r\n";
    }

    static auto naming(std::string const& id) -> std::string
    {
        return std::string{platform::names::request_id} + ": " + id + "\r\n";
    }

    auto failure_of(std::string const& bytes, bool streaming = false)
        -> std::optional<attempt_failure>
    {
        auto target =
            raw_target{loop, [&](std::string const&)
                       {
                           return raw_answer{bytes, {}, 0, answer_end::closed};
                       }};
        return run(target, streaming).failure;
    }

    std::vector<std::string> statuses = {"400", "408", "421", "429", "503"};
    std::string refused =
        std::string{platform::names::not_executed} + ": 1\r\n";
    std::string is_signed =
        std::string{platform::names::signature} + ": sig\r\n";
};

BOOST_FIXTURE_TEST_CASE(was_refused_if_its_id_or_none_is_named, refusals)
{
    for (auto const& status : statuses)
    {
        auto const expected = status == "421" ? attempt_failure::misdirected
                                              : attempt_failure::not_executed;
        for (auto const& id : {std::string{}, naming("r1")})
        {
            auto const bytes = response(status, refused + id);
            BOOST_TEST((failure_of(bytes) == expected), bytes);
            BOOST_TEST((failure_of(bytes, true) == expected), bytes);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(took_the_refusal_of_another_request_for_its_own,
                        refusals)
{
    for (auto const& status : statuses)
    {
        for (auto const& ids : {naming("r0"), naming("r1") + naming("r0")})
        {
            auto const bytes = response(status, refused + ids);
            BOOST_TEST((failure_of(bytes) == attempt_failure::damaged), bytes);
            BOOST_TEST((failure_of(bytes, true) == attempt_failure::damaged),
                       bytes);
        }
    }
}

// A client takes these statuses for a promise that the request did not run.
BOOST_FIXTURE_TEST_CASE(took_a_status_for_a_refusal_that_was_not_stated,
                        refusals)
{
    for (auto const* const status : {"408", "429", "503"})
    {
        for (auto const& more : {naming("r1"), naming("r1") + is_signed})
        {
            auto const bytes = response(status, more);
            BOOST_TEST((failure_of(bytes) == attempt_failure::damaged), bytes);
        }
    }
}

// The status itself states that another target runs at the address.
BOOST_FIXTURE_TEST_CASE(took_a_misdirected_request_for_one_that_ran, refusals)
{
    for (auto const& more : {naming("r1"), naming("r1") + is_signed})
    {
        auto const bytes = response("421", more);
        BOOST_TEST((failure_of(bytes) == attempt_failure::misdirected), bytes);
    }
    auto const other = response("421", naming("r0"));
    BOOST_TEST((failure_of(other) == attempt_failure::damaged));
}

BOOST_FIXTURE_TEST_CASE(took_a_success_for_a_refusal, refusals)
{
    auto const bytes = response("200", refused + is_signed);
    BOOST_TEST((failure_of(bytes) == attempt_failure::damaged));
    BOOST_TEST((failure_of(bytes, true) == attempt_failure::damaged));
}

BOOST_FIXTURE_TEST_CASE(took_an_interim_response_for_a_refusal, refusals)
{
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{"HTTP/1.1 103 Early Hints\r\n" + refused +
                                  naming("r0") + "\r\n" +
                                  response("200", is_signed + naming("r1")),
                              {}};
        }};
    auto const it = run(target, false);
    BOOST_TEST(!it.failure.has_value());
    BOOST_TEST(it.response.has_value());
}

// A target may send more bytes after a complete response.
BOOST_FIXTURE_TEST_CASE(took_a_refusal_behind_its_answer_for_its_own, refusals)
{
    auto const answer = response("200", is_signed + naming("r1"));
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{answer + response("503", refused + naming("r0")),
                              {}};
        }};
    auto const it = run(target, false);
    BOOST_REQUIRE(it.response);
    BOOST_TEST(it.response->head.status == 200);
}

BOOST_FIXTURE_TEST_CASE(took_half_a_refusal_for_a_whole_one, refusals)
{
    auto const whole = response("503", refused + naming("r1"));
    for (auto n = std::size_t{1}; n + 1 < whole.size(); ++n)
    {
        auto const it = failure_of(whole.substr(0, n));
        BOOST_REQUIRE(it);
        BOOST_TEST(dispatch::may_have_run(*it), n);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_path_is_slow)

// The opening packet is sent again after a second, later than the first probe
// for silence.
BOOST_FIXTURE_TEST_CASE(was_silent_before_its_connection_was_made, attempts)
{
    auto target = standins::full_listener{};
    auto out = outcome{};
    auto const it = begin(target.port(), true, out);
    auto const drain_at = net::event_loop::now() + 800ms;
    auto taken = std::vector<int>{};
    run_until(
        [&]
        {
            if (net::event_loop::now() < drain_at)
            {
                return out.over();
            }
            if (target.full())
            {
                target.drain();
            }
            for (auto const fd : target.accept_all())
            {
                taken.push_back(fd);
                auto const bytes = signed_head + "\r\n" + event(1);
                ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
                ::shutdown(fd, SHUT_WR);
            }
            return out.over();
        });
    for (auto const fd : taken)
    {
        ::close(fd);
    }
    BOOST_TEST(!out.failure.has_value());
    BOOST_TEST(out.stream_ended);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_begins_late)

// The owner does not hold an attempt that ends inside its constructor.
BOOST_FIXTURE_TEST_CASE(ends_only_after_its_constructor, attempts)
{
    auto const target = standins::full_listener{};
    auto out = outcome{};
    auto events = attempt_events{};
    events.on_failure =
        [&out](attempt_failure how, std::optional<target_response> const&)
    {
        out.failure = how;
    };
    auto const now = net::event_loop::now();
    auto plan = attempt_plan{};
    plan.target.address = {"127.0.0.1", target.port()};
    plan.message = {"POST", "/a", {{"Host", "h"}}, "prompt", true};
    plan.connect_timeout = 0ms;
    plan.streaming = true;
    plan.stream_timing.expected_first = patience;
    plan.stream_timing.first_event_due = now - 1ms;
    auto const it =
        attempt{loop, wire, prober, std::move(plan), events, now - 2ms};
    BOOST_TEST(!out.failure.has_value());
    run_until([&] { return out.over(); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_connects)

BOOST_FIXTURE_TEST_CASE(tells_how_the_connection_to_the_target_ended, attempts)
{
    auto target =
        raw_target{loop, [](std::string const&)
                   {
                       return raw_answer{signed_head + "\r\n" + event(1), "", 0,
                                         answer_end::closed};
                   }};
    auto const direct = http1::direct_connection{};
    auto const accepted = run_by(direct, target.port(), true);
    BOOST_TEST(accepted.stream_ended);
    BOOST_TEST(
        (accepted.connections == std::vector{connection_outcome::accepted}));
    BOOST_TEST(accepted.direct_answers == 1);

    constexpr auto nobody = std::uint16_t{1};
    auto const refused = run_by(direct, nobody, true);
    BOOST_TEST((refused.failure == attempt_failure::not_connected));
    BOOST_TEST(
        (refused.connections == std::vector{connection_outcome::refused}));
    BOOST_TEST(refused.direct_answers == 1);
    BOOST_TEST(!refused.unanswered_since);

    connect_timeout = 100ms;
    auto const full = standins::full_listener{};
    auto const late = run_by(direct, full.port(), true);
    BOOST_TEST((late.failure == attempt_failure::not_connected));
    BOOST_TEST(
        (late.connections == std::vector{connection_outcome::timed_out}));
    BOOST_TEST(late.direct_answers == 0);
    BOOST_TEST(late.unanswered_since.has_value());
}

BOOST_FIXTURE_TEST_CASE(holds_a_failed_helper_against_no_target, attempts)
{
    using http1::tunnel_refusal;
    auto answer = std::string{};
    auto helper =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{answer, "", 0, answer_end::closed};
                   }};
    auto const route =
        http1::tunnel_route{{"127.0.0.1", helper.port()}, target_id{"t"}};
    // The address that this host has for the target is not used.
    constexpr auto nobody = std::uint16_t{1};
    for (auto const why :
         {tunnel_refusal::not_listed, tunnel_refusal::no_capacity})
    {
        answer = http1::write_connect_answer(why);
        auto const it = run_by(route, nobody, false);
        BOOST_TEST((it.failure == attempt_failure::not_connected));
        BOOST_TEST((it.tunnel_refusal == why));
        BOOST_TEST(it.connections.empty());
        BOOST_TEST(it.direct_answers == 0);
        BOOST_TEST(!it.unanswered_since);
    }
    answer = "odd";
    auto const odd = run_by(route, nobody, false);
    BOOST_TEST((odd.tunnel_refusal == tunnel_refusal::helper_unreachable));
    BOOST_TEST(odd.connections.empty());

    answer = http1::write_connect_answer(tunnel_refusal::target_refused);
    auto const refused = run_by(route, nobody, false);
    BOOST_TEST(
        (refused.connections == std::vector{connection_outcome::refused}));
    BOOST_TEST(!refused.unanswered_since);

    answer = http1::write_connect_answer(tunnel_refusal::target_timed_out);
    auto const late = run_by(route, nobody, false);
    BOOST_TEST(
        (late.connections == std::vector{connection_outcome::timed_out}));
    BOOST_TEST(late.unanswered_since.has_value());
    BOOST_TEST(late.direct_answers == 0);

    // With a length, since it comes before the request has left.
    auto const bytes = signed_head +
                       "Content-Length: " + std::to_string(event(1).size()) +
                       "\r\n\r\n" + event(1);
    answer = http1::write_connect_answer(std::nullopt) +
             http1::write_frame_head(bytes.size()) + bytes +
             http1::write_frame_head(0);
    auto const accepted = run_by(route, nobody, true);
    BOOST_TEST(accepted.stream_ended);
    BOOST_TEST(
        (accepted.connections == std::vector{connection_outcome::accepted}));
    BOOST_TEST(accepted.direct_answers == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
