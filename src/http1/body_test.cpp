#include "http1/answer_flow.hpp"
#include "http1/body.hpp"
#include "http1/request_writer.hpp"
#include "http1/tunnel.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/buffer.h>

#include <string>
#include <vector>

namespace primrosedeal::http1
{

namespace
{

auto text_of(evbuffer* it) -> std::string
{
    auto out = std::string(evbuffer_get_length(it), '\0');
    evbuffer_remove(it, out.data(), out.size());
    return out;
}

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_body)

// A request's body was held three times: by its relay, its attempt and as it
// was sent.
BOOST_AUTO_TEST_CASE(is_shared_by_its_copies)
{
    auto const sent =
        request{"POST", "/p", {}, std::string(100'000, 'x'), true};
    auto const kept = std::vector<request>(2, sent);
    BOOST_TEST(kept[0].body.view().data() == sent.body.view().data());
    BOOST_TEST(kept[1].body.view().data() == sent.body.view().data());
}

BOOST_AUTO_TEST_CASE(keeps_the_bytes_of_a_copy_when_more_come)
{
    auto a = body{"ab"};
    auto const b = a;
    a += "cd";
    BOOST_TEST(a == "abcd");
    BOOST_TEST(b == "ab");
}

BOOST_AUTO_TEST_CASE(takes_pieces_of_any_size)
{
    auto expected = std::string{};
    auto it = body{};
    for (auto n = std::size_t{0}; n < 2000; n += 7)
    {
        auto const piece = std::string(n, static_cast<char>('a' + n % 26));
        it.append(piece);
        expected += piece;
    }
    BOOST_TEST(it.view() == expected);
    BOOST_TEST(it.size() == expected.size());
}

BOOST_AUTO_TEST_CASE(is_sent_after_its_request_has_gone)
{
    auto* const out = evbuffer_new();
    auto const bytes = std::string(150'000, 'y');
    {
        auto const message =
            request{"POST", "/p", {{"Host", "h"}}, bytes, true};
        request_writer{message}.write(out, false);
    }
    auto const head = std::string{
        "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n"};
    BOOST_TEST(text_of(out) == head + bytes);
    request_writer{request{"POST", "/p", {{"Host", "h"}}, bytes, true}}.write(
        out, true);
    auto const got = frame_decoder{}.feed(text_of(out));
    BOOST_TEST(got.bytes == head + bytes);
    BOOST_TEST(!got.malformed);
    evbuffer_free(out);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_flow_of_an_answer)

// Targets sent up to 8 MB for each client that did not read.
BOOST_AUTO_TEST_CASE(stops_its_sender_and_lets_it_go_on)
{
    auto told = std::vector<bool>{};
    auto it = answer_flow{};
    it.on_change = [&](bool stopped)
    {
        told.push_back(stopped);
    };
    BOOST_TEST(!it.sent(100, 100, at(0)));
    BOOST_TEST(it.sent(101, 100, at(1)));
    // A new sender is told too.
    BOOST_TEST(!it.sent(150, 100, at(2)));
    BOOST_TEST(it.low_mark() == 50U);
    BOOST_TEST(it.resume(false));
    BOOST_TEST(!it.resume(false));
    BOOST_TEST(it.sent(101, 100, at(3)));
    BOOST_TEST((told == std::vector<bool>{true, true, false, true}));
}

// A target aborts an answer that stays unread for some seconds.
BOOST_AUTO_TEST_CASE(stops_its_sender_for_a_bounded_time)
{
    auto it = answer_flow{};
    it.on_change = [](bool) {
    };
    BOOST_TEST(it.sent(101, 100, at(0)));
    BOOST_TEST(!it.overdue(at(1999)));
    BOOST_TEST(it.overdue(at(2000)));
    BOOST_TEST(it.resume(true));
    BOOST_TEST(!it.sent(500, 100, at(2001)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
