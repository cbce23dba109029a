#include "http1/event_splitter.hpp"
#include "http1/message.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sstream>

namespace primrosedeal::http1
{

namespace
{

struct parsed
{
    std::optional<request> message;
    parse_error error = parse_error::none;
    std::string rest;
};

/// Feeds `bytes` in pieces of `step`.
auto parse(std::string const& bytes, std::size_t step = 1,
           parse_limits const& limits = {}) -> parsed
{
    auto parser = request_parser{};
    auto at = std::size_t{0};
    while (at < bytes.size() && !parser.complete() &&
           parser.error() == parse_error::none)
    {
        auto const piece = std::string_view{bytes}.substr(at, step);
        at += parser.feed(piece, limits);
    }
    auto out = parsed{};
    out.error = parser.error();
    if (parser.complete())
    {
        out.message = parser.take();
        out.rest = bytes.substr(at);
    }
    return out;
}

/// An answer in parts; its head ends with `last_lines`.
struct framed_answer
{
    std::string first_lines;
    std::string last_lines;
    std::string body;
    bool until_close = false;
};

/// What comes of `bytes` in pieces of `step`, closed in good order.
auto read_answer(std::string const& bytes, std::size_t step = 1,
                 bool head_request = false) -> response_progress
{
    auto parser = response_parser{head_request};
    auto out = response_progress{};
    auto const add = [&](response_progress it)
    {
        out.head = it.head ? std::move(it.head) : std::move(out.head);
        out.body += it.body;
        out.complete = out.complete || it.complete;
        out.malformed = out.malformed || it.malformed;
    };
    for (auto at = std::size_t{0}; at < bytes.size() && !out.malformed;
         at += step)
    {
        add(parser.feed(std::string_view{bytes}.substr(at, step)));
    }
    if (!out.complete && !out.malformed)
    {
        out.complete = parser.feed_end().complete;
    }
    return out;
}

auto with_head(std::string const& lines) -> std::string
{
    return "POST /a/b?c HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_request)

BOOST_AUTO_TEST_SUITE(is_taken_whole)

BOOST_AUTO_TEST_CASE(whatever_pieces_it_comes_in)
{
    auto const bytes = with_head("Content-Length: 5\r\nX-A: 1\r\n") + "hello" +
                       "GET /next/ HTTP/1.1\r\nHost: h\r\n\r\n";
    rc::check(
        [&]
        {
            auto const step = *rc::gen::inRange<std::size_t>(1, bytes.size());
            auto const it = parse(bytes, step);
            RC_ASSERT(it.message.has_value());
            RC_ASSERT(it.message->method == "POST");
            RC_ASSERT(it.message->target == "/a/b?c");
            RC_ASSERT(it.message->body == "hello");
            RC_ASSERT(it.rest.starts_with("GET /next/"));
        });
}

BOOST_AUTO_TEST_CASE(with_a_body_in_chunks)
{
    auto const it = parse(with_head("Transfer-Encoding: chunked\r\n") +
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nrest");
    BOOST_REQUIRE(it.message);
    BOOST_TEST(it.message->body == "abcde");
    BOOST_TEST(it.rest == "rest");
}

// Such requests got 400.
BOOST_AUTO_TEST_CASE(with_a_target_in_absolute_form)
{
    struct form
    {
        std::string target;
        std::string origin;
        std::string host;
    };
    for (auto const& [target, origin, host] :
         std::vector<form>{{"http://h/a/b?c", "/a/b?c", "h"},
                           {"HTTPS://H.example:8080/a", "/a", "H.example:8080"},
                           {"http://h?c", "/?c", "h"},
                           {"http://h", "/", "h"},
                           {"http://[::1]:80/a", "/a", "[::1]:80"}})
    {
        BOOST_TEST_CONTEXT(target)
        {
            auto const it =
                parse("GET " + target + " HTTP/1.1\r\nHost: other\r\n\r\n");
            BOOST_REQUIRE(it.message);
            BOOST_TEST(it.message->target == origin);
            BOOST_TEST(
                single_header(it.message->headers, "host").value_or("") ==
                host);
        }
    }
}

// Keys with a space after them were unknown.
BOOST_AUTO_TEST_CASE(without_the_whitespace_around_its_values)
{
    auto const it = parse(with_head("X-A: \t a b \t \r\nX-B:\r\n"
                                    "Transfer-Encoding: chunked \r\n") +
                          "0\r\n\r\n");
    BOOST_REQUIRE(it.message);
    BOOST_TEST(single_header(it.message->headers, "x-a").value_or("") == "a b");
    BOOST_TEST(single_header(it.message->headers, "x-b").value_or("-") == "");
}

// Trailers were counted as a part of the head: 431.
BOOST_AUTO_TEST_CASE(with_trailers_after_a_head_as_large_as_allowed)
{
    auto const head = with_head("Transfer-Encoding: chunked\r\n");
    auto limits = parse_limits{};
    limits.head = head.size();
    auto const trailer = "X-T: " + std::string(head.size() / 2, 't') + "\r\n";
    auto const it =
        parse(head + "2\r\nab\r\n0\r\n" + trailer + "\r\n", 1, limits);
    BOOST_REQUIRE(it.message);
    BOOST_TEST(it.message->body == "ab");
}

BOOST_AUTO_TEST_CASE(with_sizes_of_chunks_far_longer_than_the_chunks)
{
    constexpr auto chunks = 50000;
    auto bytes = with_head("Transfer-Encoding: chunked\r\n");
    for (auto i = 0; i < chunks; ++i)
    {
        bytes += "00000001;a=b\r\nx\r\n";
    }
    constexpr auto step = std::size_t{1000};
    auto const it = parse(bytes + "0\r\n\r\n", step);
    BOOST_REQUIRE(it.message);
    BOOST_TEST(it.message->body.size() == chunks);
}

// http_parser refused heads over 80 KB whatever the limit: 431.
BOOST_AUTO_TEST_CASE(with_a_head_as_large_as_a_high_limit_allows)
{
    auto limits = parse_limits{};
    limits.head = std::size_t{512} << 10U;
    auto few = std::string{};
    auto many = std::string{};
    for (auto i = 0; i < 4; ++i)
    {
        few += "X-A: " + std::string(100'000, 'a') + "\r\n";
    }
    for (auto i = 0; i < 20'000; ++i)
    {
        many += "X-A:\r\n";
    }
    for (auto const& it : {few, many})
    {
        auto const head = with_head(it);
        BOOST_TEST(head.size() <= limits.head);
        BOOST_TEST(parse(head, 1000, limits).message.has_value());
        limits.head = head.size() / 4;
        BOOST_TEST(
            (parse(head, 1000, limits).error == parse_error::head_too_large));
        limits.head = std::size_t{512} << 10U;
    }
}

BOOST_AUTO_TEST_CASE(with_an_upgrade_that_is_not_taken_up)
{
    auto const it = parse(
        with_head(
            "Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n") +
        "ab");
    BOOST_REQUIRE(it.message);
    BOOST_TEST(it.message->body == "ab");
}

BOOST_AUTO_TEST_CASE(and_not_before_its_last_byte)
{
    for (auto const& bytes :
         {with_head("Content-Length: 2\r\n") + "ok",
          with_head("Transfer-Encoding: chunked\r\n") +
              "2\r\nok\r\n0\r\nX-C: d\r\n\r\n",
          std::string{"GET /a HTTP/1.0\r\nHost: h\r\n\r\n"}})
    {
        for (auto n = std::size_t{0}; n <= bytes.size(); ++n)
        {
            BOOST_TEST_CONTEXT(bytes.substr(0, n))
            {
                auto const it = parse(bytes.substr(0, n), n + 1);
                BOOST_TEST(it.message.has_value() == (n == bytes.size()));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_refused)

BOOST_AUTO_TEST_CASE(when_its_length_is_ambiguous)
{
    auto const cases = {
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 0x3\r\n",
        "Content-Length: -1\r\n",
    };
    for (auto const* const it : cases)
    {
        BOOST_TEST_CONTEXT(it)
        {
            auto const out = parse(with_head(it) + "0\r\n\r\nGET / HTTP/1.1");
            BOOST_TEST((out.error == parse_error::malformed));
            BOOST_TEST(!out.message);
        }
    }
}

BOOST_AUTO_TEST_CASE(when_its_head_is_malformed)
{
    auto const cases = {
        std::string{"POST /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
        std::string{"POST a HTTP/1.1\r\nHost: a\r\n\r\n"},
        std::string{"POST ftp://h/a HTTP/1.1\r\nHost: h\r\n\r\n"},
        std::string{"POST http:///a HTTP/1.1\r\nHost: h\r\n\r\n"},
        std::string{"POST http://u@h/a HTTP/1.1\r\nHost: h\r\n\r\n"},
        std::string{"CONNECT h:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
        std::string{"POST /a HTTP/2.0\r\nHost: a\r\n\r\n"},
        std::string{"POST /a HTTP/1.1\r\nHo st: a\r\n\r\n"},
        std::string{"POST /a HTTP/1.1\r\nX: a\x01\r\nHost: a\r\n\r\n"},
        std::string{"\x16\x03\x01 not http"},
    };
    for (auto const& it : cases)
    {
        BOOST_TEST_CONTEXT(it)
        {
            BOOST_TEST((parse(it).error == parse_error::malformed));
        }
    }
}

BOOST_AUTO_TEST_CASE(when_its_head_or_body_is_too_large)
{
    auto limits = parse_limits{};
    limits.head = 200;
    limits.body = 10;
    auto const long_head =
        with_head("X-Long: " + std::string(300, 'a') + "\r\n");
    BOOST_TEST(
        (parse(long_head, 7, limits).error == parse_error::head_too_large));
    auto const long_trailer = with_head("Transfer-Encoding: chunked\r\n") +
                              "0\r\nX-Long: " + std::string(300, 'a') +
                              "\r\n\r\n";
    BOOST_TEST(
        (parse(long_trailer, 7, limits).error == parse_error::head_too_large));
    auto const sized = with_head("Content-Length: 11\r\n");
    BOOST_TEST((parse(sized, 7, limits).error == parse_error::body_too_large));
    auto const chunked = with_head("Transfer-Encoding: chunked\r\n") +
                         "b\r\nabcdefghijk\r\n0\r\n\r\n";
    BOOST_TEST(
        (parse(chunked, 7, limits).error == parse_error::body_too_large));
}

// http_parser skips these, so a request went on for as long as they came.
BOOST_AUTO_TEST_CASE(when_what_it_adds_to_its_head_and_body_does_not_end)
{
    constexpr auto most = std::size_t{1} << 20U;
    auto const endless = [](std::string out, std::string const& part)
    {
        while (out.size() < most)
        {
            out += part;
        }
        return out;
    };
    auto const chunked = with_head("Transfer-Encoding: chunked\r\n");
    auto const requests = {
        endless(chunked + "5", ";a=bbbbbbbb"),
        endless(chunked, "1;" + std::string(100, 'a') + "\r\nx\r\n"),
        endless(chunked + "0\r\nX-A:", " "),
        endless("POST / HTTP/1.1\r\nX-A:", " "),
        endless("", "\r\n"),
    };
    for (auto const& it : requests)
    {
        constexpr auto step = std::size_t{1000};
        BOOST_TEST((parse(it, step).error == parse_error::malformed));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer)

BOOST_AUTO_TEST_CASE(ends_at_its_length_and_what_follows_is_no_part_of_it)
{
    auto parser = response_parser{false};
    auto const it = parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "okHTTP/1.1 200 OK\r\n\r\n");
    BOOST_TEST(it.complete);
    BOOST_TEST(it.body == "ok");
    BOOST_TEST(!parser.feed("more").complete);
}

// Chunks with their sizes passed for a whole body where the parser did not take
// the coding for one.
BOOST_AUTO_TEST_CASE(
    in_chunks_is_decoded_or_malformed_whatever_surrounds_coding)
{
    for (auto const* const coding :
         {"chunked", "chunked ", "chunked\t", " \tchunked \t ", "Chunked"})
    {
        BOOST_TEST_CONTEXT(coding)
        {
            auto const it = read_answer(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string{coding} +
                "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
            BOOST_TEST((it.malformed || (it.complete && it.body == "ok")));
        }
    }
}

BOOST_AUTO_TEST_CASE(without_a_length_is_complete_only_at_a_close_in_good_order)
{
    auto parser = response_parser{false};
    auto const it = parser.feed("HTTP/1.1 200 OK\r\n\r\npart");
    BOOST_TEST(!it.complete);
    BOOST_TEST(it.until_close);
    BOOST_TEST(parser.feed_end().complete);
}

BOOST_AUTO_TEST_CASE(that_is_cut_inside_its_length_is_not_complete)
{
    auto parser = response_parser{false};
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    BOOST_TEST(!parser.feed_end().complete);
}

BOOST_AUTO_TEST_CASE(follows_interim_answers)
{
    auto parser = response_parser{false};
    auto const it = parser.feed("HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 204 No Content\r\n\r\n");
    BOOST_REQUIRE(it.head);
    BOOST_TEST(it.head->status == 204);
    BOOST_TEST(it.complete);
}

BOOST_AUTO_TEST_CASE(that_breaks_off_at_any_byte_is_not_complete)
{
    auto const status = std::string{"HTTP/1.1 200 OK\r\nX-A: b\r\n"};
    auto const interim = std::string{"HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n"};
    auto const answers = std::vector<framed_answer>{
        {status, "Content-Length: 2\r\n\r\n", "ok"},
        {status, "Content-Length: 0\r\n\r\n", ""},
        {status, "Transfer-Encoding: chunked\r\n\r\n",
         "2;a=b\r\nok\r\n0\r\nX-C: d\r\n\r\n"},
        {status, "\r\n", "ok", true},
        {interim + "HTTP/1.1 100 Continue\r\n\r\n" + status,
         "Content-Length: 2\r\n\r\n", "ok"},
        {interim + status, "\r\n", "ok", true},
        {"HTTP/1.0 200 OK\r\n", "\r\n", "ok", true},
        {"HTTP/1.1 204 No Content\r\n", "\r\n", ""},
        {"HTTP/1.1 503 No\r\n", "Content-Length: 2\r\n\r\n", "no"},
    };
    for (auto const& it : answers)
    {
        auto const head = it.first_lines.size() + it.last_lines.size();
        auto const bytes = it.first_lines + it.last_lines + it.body;
        for (auto n = std::size_t{0}; n <= bytes.size(); ++n)
        {
            for (auto const step : {std::size_t{1}, std::size_t{7}, n + 1})
            {
                BOOST_TEST_CONTEXT(bytes.substr(0, n) << " by " << step)
                {
                    auto const got = read_answer(bytes.substr(0, n), step);
                    auto const whole =
                        n == bytes.size() || (it.until_close && n >= head);
                    BOOST_TEST(got.complete == whole);
                    BOOST_TEST(got.head.has_value() == (n >= head));
                    BOOST_TEST((n >= head || got.body.empty()));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(began_with_the_body_of_an_interim_answer)
{
    auto const last = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (auto const* const it :
         {"Content-Length: 5\r\n\r\nhello",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
          "Transfer-Encoding: gzip\r\n\r\nhello"})
    {
        for (auto const head_request : {false, true})
        {
            BOOST_TEST_CONTEXT(it)
            {
                auto const interim = std::string{"HTTP/1.1 103 Hints\r\n"};
                auto const got =
                    read_answer(interim + it + last, 1, head_request);
                BOOST_TEST(got.malformed);
                BOOST_TEST(got.body.empty());
            }
        }
    }
    auto const empty = std::string{"HTTP/1.1 100 Continue\r\n"
                                   "Content-Length: 0\r\n\r\n"};
    BOOST_TEST(read_answer(empty + last).body == "ok");
}

BOOST_AUTO_TEST_CASE(was_whole_though_an_end_of_a_line_was_damaged)
{
    auto const check = [](std::string const& bytes)
    {
        for (auto const step : {std::size_t{1}, std::size_t{3}, bytes.size()})
        {
            BOOST_TEST_CONTEXT(bytes << " by " << step)
            {
                auto const got = read_answer(bytes, step);
                BOOST_TEST(got.malformed);
                BOOST_TEST(!got.complete);
            }
        }
    };
    auto const status = std::string{"HTTP/1.1 200 OK"};
    for (auto const* const it :
         {"\nContent-Length: 2\n\nok", "\n\n", "\r\nX-A: b\r\n\n",
          "\r\nX-A: b\n\r\n", "\r\nContent-Length: 2\n\nok",
          "\r\nContent-Length: 2\r\n\rXok", "\r\rContent-Length: 2\r\n\r\nok",
          "\r\nContent-Length: 2\r\n\nok",
          "\r\nX-A: b\r\n Content-Length: 2\r\n\r\n",
          "\r\nContent-Length:\r\n 2\r\n\r\nok",
          "\r\n\tContent-Length: 2\r\n\r\n"})
    {
        check(status + it);
    }
    check("\n" + status + "\r\n\r\n");
    auto const chunks = status + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (auto const* const it :
         {"2\r\nokXY0\r\n\r\n", "2\r\nok\rY0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
          "2\rXok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n", "2\r\nok\r\n0\r\n\rX",
          "2\r\nok\r\n0\r\nX-C: d\n\r\n"})
    {
        check(chunks + it);
    }
}

BOOST_AUTO_TEST_CASE(has_the_same_body_whatever_chunks_and_pieces_it_comes_in)
{
    rc::check(
        [](std::string const& body)
        {
            auto bytes = std::string{"HTTP/1.1 200 OK\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"};
            for (auto at = std::size_t{0}; at < body.size();)
            {
                auto const n =
                    *rc::gen::inRange<std::size_t>(1, body.size() - at + 1);
                auto size = std::ostringstream{};
                size << std::hex << n << "\r\n";
                bytes += size.str() + body.substr(at, n) + "\r\n";
                at += n;
            }
            bytes += "0\r\n\r\n";
            auto const step =
                *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
            auto const got = read_answer(bytes, step);
            RC_ASSERT(got.complete);
            RC_ASSERT(got.body == body);
            auto const cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
            RC_ASSERT(!read_answer(bytes.substr(0, cut), step).complete);
        });
}

BOOST_AUTO_TEST_CASE(handed_over_a_coded_body_as_if_it_were_plain)
{
    auto const chunks = std::string{"2\r\nok\r\n0\r\n\r\n"};
    for (auto const* const it :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding:",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
          "Transfer-Encoding: chunked",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
          "Content-Length: 2",
          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"})
    {
        BOOST_TEST_CONTEXT(it)
        {
            auto const got = read_answer(it + ("\r\n\r\n" + chunks));
            BOOST_TEST(got.malformed);
            BOOST_TEST(!got.head);
        }
    }
    auto const plain = "HTTP/1.1 200 OK\r\ntransfer-encoding: \tChunked \r\n";
    BOOST_TEST(read_answer(plain + ("\r\n" + chunks)).body == "ok");
}

BOOST_AUTO_TEST_CASE(waited_for_a_body_that_its_status_does_not_have)
{
    for (auto const* const it :
         {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n"})
    {
        BOOST_TEST_CONTEXT(it)
        {
            auto const got =
                response_parser{false}.feed(it + std::string{"ok"});
            BOOST_TEST(got.complete);
            BOOST_TEST(got.body.empty());
        }
    }
    for (auto const* const it :
         {"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"})
    {
        BOOST_TEST(read_answer(it).malformed, it);
    }
}

BOOST_AUTO_TEST_CASE(to_a_head_request_has_no_body_whatever_it_states)
{
    for (auto const* const it :
         {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""})
    {
        auto const head = std::string{"HTTP/1.1 200 OK\r\n"} + it + "\r\n";
        for (auto n = std::size_t{0}; n <= head.size(); ++n)
        {
            auto const got = read_answer(head.substr(0, n), n + 1, true);
            BOOST_TEST(got.complete == (n == head.size()), head.substr(0, n));
            BOOST_TEST(got.head.has_value() == got.complete);
        }
        BOOST_TEST(read_answer(head + "ok", 1, true).body.empty());
    }
}

BOOST_AUTO_TEST_CASE(that_is_not_http_is_malformed)
{
    auto const rest = std::string{"Content-Length: 2\r\n\r\nok"};
    for (auto const* const it :
         {"HTTP/0.9 200 OK\r\n",
          "HTTP/2.0 200 OK\r\n",
          "HTTP/1.2 200 OK\r\n",
          "HTTP/1.1 20\r\n",
          "HTTP/1.1 2 OK\r\n",
          "HTTP/1.1 099 OK\r\n",
          "HTTP/1.1 1000 OK\r\n",
          "HTTP/1.1 OK\r\n",
          "HTTP/1.1\r\n",
          "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nX A: b\r\n",
          "HTTP/1.1 200 OK\r\nX-A : b\r\n",
          "HTTP/1.1 200 OK\r\nX-A: \x01\r\n",
          "HTTP/1.1 200 OK\r\nX-A\r\n",
          "HTTP/1.1 200 OK\r\n: b\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
          "<html>",
          ""})
    {
        BOOST_TEST_CONTEXT(it)
        {
            auto const got = read_answer(it + rest);
            BOOST_TEST(got.malformed);
            BOOST_TEST(!got.head);
        }
    }
    auto parser = response_parser{false};
    BOOST_TEST(parser.feed("garbage").malformed);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_of_events)

BOOST_AUTO_TEST_CASE(is_cut_into_whole_events_whatever_pieces_it_comes_in)
{
    auto const bytes = std::string{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                                   "data: c\n\nid: 4\ndata"};
    rc::check(
        [&]
        {
            auto const step = *rc::gen::inRange<std::size_t>(1, bytes.size());
            auto splitter = event_splitter{};
            auto joined = std::string{};
            auto ids = std::vector<std::uint64_t>{};
            for (auto at = std::size_t{0}; at < bytes.size(); at += step)
            {
                for (auto const& it : splitter.feed(bytes.substr(at, step)))
                {
                    joined += it.bytes;
                    ids.push_back(it.id.value_or(0));
                }
            }
            RC_ASSERT(joined + splitter.rest() == bytes);
            RC_ASSERT((ids == std::vector<std::uint64_t>{1, 2, 0}));
        });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
