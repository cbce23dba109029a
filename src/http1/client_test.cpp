#include "http1/client.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

// One call, with an upload, at a target that answers before it has read it.
namespace primrosedeal::http1
{

namespace
{

using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;
using standins::receive_window;

/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};
/// More than the kernels take for a target with a small window.
constexpr auto upload_bytes = std::size_t{2} << 20U;
/// Time for which a call is left alone with an upload that nobody reads.
constexpr auto standstill = duration{100ms};

auto const head_without_length = std::string{"HTTP/1.1 200 OK\r\n\r\n"};

/// A body in which bytes that are lost or come twice show.
auto make_upload(std::size_t size) -> std::string
{
    auto out = std::string{};
    for (auto n = 0; out.size() < size; ++n)
    {
        out += std::to_string(n) + ' ';
    }
    out.resize(size);
    return out;
}

struct outcome
{
    int status = 0;
    std::string body;
    bool complete = false;
    std::optional<call_error> error;

    [[nodiscard]] auto over() const -> bool
    {
        return complete || error;
    }
};

struct uploads
{
    uploads()
    {
        net::initialise_process();
    }

    /// What comes of `upload` at `target`.
    auto call(raw_target& target, std::string_view upload) -> outcome
    {
        auto out = outcome{};
        auto events = call_events{};
        events.on_head = [&](response_head const& it)
        {
            out.status = it.status;
        };
        events.on_body = [&](std::string_view bytes)
        {
            out.body += bytes;
        };
        events.on_complete = [&]
        {
            out.complete = true;
        };
        events.on_error = [&](call_error why)
        {
            out.error = why;
        };
        auto const message =
            request{"POST", "/a", {{"Host", "h"}}, upload, true};
        auto const it = client_call{loop,
                                    {"127.0.0.1", target.port()},
                                    message,
                                    patience,
                                    std::move(events)};
        run_until([&] { return out.over(); });
        return out;
    }

    auto call(raw_answer const& answer, std::size_t size) -> outcome
    {
        auto target =
            raw_target{loop, [&](std::string const&) { return answer; },
                       receive_window::small};
        return call(target, make_upload(size));
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

    net::event_loop loop;
};

/// An answer that ends as `how` while its request is not read.
auto early(std::string bytes, answer_end how) -> raw_answer
{
    auto out = raw_answer{std::move(bytes), {}, 0, how};
    out.reads_on = false;
    out.end_pause = standstill;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_response_before_the_end_of_the_upload)

// A write that fails takes the error of the socket, and the read after it then
// sees an orderly end: the part was taken for the whole.
BOOST_FIXTURE_TEST_CASE(passed_for_complete_though_it_was_reset, uploads)
{
    for (auto const how : {answer_end::reset, answer_end::closed})
    {
        auto const it =
            call(early(head_without_length + "part", how), upload_bytes);
        BOOST_TEST(it.status == 200);
        BOOST_TEST(!it.complete);
        BOOST_TEST((it.error == call_error::truncated));
    }
}

BOOST_FIXTURE_TEST_CASE(passed_for_complete_though_the_upload_was_cut, uploads)
{
    auto const it =
        call(early(head_without_length + "part", answer_end::half_closed),
             upload_bytes);
    BOOST_TEST(it.status == 200);
    BOOST_TEST(!it.complete);
    BOOST_TEST((it.error == call_error::truncated));
}

// Nothing of the request is left in this process, but the target's kernel has
// not taken it.
BOOST_FIXTURE_TEST_CASE(passed_for_complete_as_the_kernel_held_the_rest,
                        uploads)
{
    constexpr auto size = std::size_t{24} << 10U;
    auto const it = call(
        early(head_without_length + "part", answer_end::half_closed), size);
    BOOST_TEST(!it.complete);
    BOOST_TEST((it.error == call_error::truncated));
}

BOOST_FIXTURE_TEST_CASE(is_no_response_if_it_ends_in_its_head, uploads)
{
    for (auto const how :
         {answer_end::reset, answer_end::closed, answer_end::half_closed})
    {
        auto const it =
            call(early("HTTP/1.1 200 OK\r\nA: b\r\n", how), upload_bytes);
        BOOST_TEST(it.status == 0);
        BOOST_TEST((it.error == call_error::truncated));
    }
}

// Its length, or its last chunk, tells that it is whole.
BOOST_FIXTURE_TEST_CASE(is_complete_if_it_says_where_it_ends, uploads)
{
    for (auto const* const bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\ndone\r\n0\r\n\r\n"})
    {
        for (auto const reads_on : {true, false})
        {
            auto answer = raw_answer{bytes, {}, 0, answer_end::stays_open};
            answer.reads_on = reads_on;
            auto target =
                raw_target{loop, [&](std::string const&) { return answer; },
                           receive_window::small};
            auto const upload = make_upload(upload_bytes);
            auto const it = call(target, upload);
            BOOST_TEST(it.complete);
            BOOST_TEST(it.body == "done");
            if (!reads_on)
            {
                continue;
            }
            run_until([&] { return target.closed_by_peer() == 1; });
            // What was sent is the beginning of this request alone.
            BOOST_REQUIRE(target.received().size() == 1);
            auto const expected = "POST /a HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: " +
                                  std::to_string(upload.size()) + "\r\n\r\n" +
                                  upload;
            BOOST_TEST(expected.starts_with(target.received().front()));
        }
    }
}

// The control: a target that has read the whole upload may end its answer with
// the connection.
BOOST_FIXTURE_TEST_CASE(is_complete_once_the_upload_was_read, uploads)
{
    for (auto const how : {answer_end::closed, answer_end::half_closed})
    {
        auto answer = raw_answer{head_without_length + "done", {}, 0, how};
        answer.end_after_bytes = upload_bytes;
        auto const it = call(answer, upload_bytes);
        BOOST_TEST(it.complete);
        BOOST_TEST(it.body == "done");
    }
}

BOOST_FIXTURE_TEST_CASE(is_no_response_without_a_proper_status, uploads)
{
    for (auto const* const status :
         {"000",  "00", "0",    "99",   "099",  "0200", "00200", "1000",
          "2000", "20", "600",  "999",  "2xx",  "20x",  "x20",   "-200",
          "+200", "-1", "2 00", "200x", " 200", "",     "101"})
    {
        for (auto const* const rest :
             {" OK\r\nContent-Length: 4\r\n\r\npart", "\r\n\r\npart"})
        {
            auto answer = raw_answer{"HTTP/1.1 " + std::string{status} + rest,
                                     {},
                                     0,
                                     answer_end::closed};
            auto const it = call(answer, 4);
            BOOST_TEST(it.status == 0, "status '" << status << "'");
            BOOST_TEST(!it.complete, "status '" << status << "'");
        }
    }
}

// An interim response is not the answer, also if nothing follows it.
BOOST_FIXTURE_TEST_CASE(is_no_response_if_it_is_interim, uploads)
{
    for (auto const* const status : {"100", "102", "103", "199"})
    {
        for (auto const* const rest :
             {"\r\n\r\n", "\r\nContent-Length: 4\r\n\r\npart", "\r\n\r\npart"})
        {
            auto answer = raw_answer{"HTTP/1.1 " + std::string{status} + rest,
                                     {},
                                     0,
                                     answer_end::closed};
            auto const it = call(answer, 4);
            BOOST_TEST(it.status == 0, "status " << status);
            BOOST_TEST(!it.complete, "status " << status);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
