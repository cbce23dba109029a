#include "gateway/early_response_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <utility>

// Requests with an upload at targets that answer before they have read it, and
// at targets whose answers are no responses: directly and through a helper, by
// the first attempt, a later one or all of them.
namespace primrosedeal::gateway
{

namespace
{

constexpr auto early_ends =
    std::array{answer_end::reset, answer_end::closed, answer_end::half_closed};

/// Which runs do not give a response, from the first one on.
constexpr auto bad_runs = std::array{1, 2};

/// The part is returned in so many runs, and then the whole.
auto part_then_whole(raw_answer part, int parts) -> script
{
    return [part = std::move(part), parts](int run, std::string const& head)
    {
        return run <= parts ? part : whole(head);
    };
}

auto always(raw_answer it) -> script
{
    return [it = std::move(it)](int, std::string const&)
    {
        return it;
    };
}

auto status_of(client_view const& it) -> int
{
    return it.reply ? it.reply->status : 0;
}

auto answer_with_status(std::string const& status) -> raw_answer
{
    return {"HTTP/1.1 " + status + "\r\n" + signature +
                "Content-Length: 4\r\n\r\npart",
            {},
            0,
            answer_end::stays_open};
}

auto const no_statuses = std::array<std::string, 12>{
    "000 OK", "00 OK",   "99 OK",   "1000 OK", "0200 OK", "600 OK",
    "2xx OK", "-200 OK", " 200 OK", " OK",     "",        "100 OK"};

} // namespace

BOOST_AUTO_TEST_SUITE(a_response_that_is_not_whole)

BOOST_AUTO_TEST_CASE(gives_way_to_another_targets_answer)
{
    for (auto const how : early_ends)
    {
        for (auto const bad : bad_runs)
        {
            auto const part = early(head_without_length + event(1), how);
            auto const it =
                ask("/look/", upload_bytes, part_then_whole(part, bad));
            BOOST_TEST(status_of(it) == 200);
            BOOST_TEST(it.body == event(1) + event(2));
            BOOST_TEST(it.runs == bad + 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(ends_a_call_that_may_run_once_as_one_that_may_have_run)
{
    for (auto const how : early_ends)
    {
        auto const part = early(head_without_length + "part", how);
        auto const it = ask("/call/", upload_bytes, part_then_whole(part, 1));
        BOOST_TEST(status_of(it) == bad_gateway);
        BOOST_TEST(it.runs == 1);
    }
}

BOOST_AUTO_TEST_CASE(is_refused_truly_if_all_targets_send_it)
{
    for (auto const how : early_ends)
    {
        auto const it = ask("/look/", upload_bytes,
                            always(early(head_without_length + "part", how)));
        BOOST_TEST(status_of(it) == bad_gateway);
        BOOST_TEST(it.body.find("part") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(does_not_end_a_stream)
{
    for (auto const how : early_ends)
    {
        for (auto const bad : bad_runs)
        {
            auto const part = early(head_without_length + event(1), how);
            auto const it = ask(
                "/stream/", upload_bytes,
                [&](int run, std::string const& head)
                {
                    // A later one resumes, and has no event to send again.
                    return run > bad ? whole(head)
                           : run == 1
                               ? part
                               : early(head_without_length + "id: 2\nda", how);
                });
            BOOST_TEST(it.finished);
            BOOST_TEST(it.body == event(1) + event(2));
            BOOST_TEST(it.runs == bad + 1);
        }
        auto const fixed =
            ask("/fixed/", upload_bytes,
                part_then_whole(early(head_without_length + event(1), how), 1));
        BOOST_TEST(!fixed.finished);
        BOOST_TEST(fixed.aborted);
        BOOST_TEST(fixed.runs == 1);
    }
}

BOOST_AUTO_TEST_CASE(is_none_if_its_head_is_cut)
{
    for (auto const how : early_ends)
    {
        auto const cut = early("HTTP/1.1 200 OK\r\n" + signature, how);
        auto const look = ask("/look/", upload_bytes, part_then_whole(cut, 1));
        BOOST_TEST(status_of(look) == 200);
        BOOST_TEST(look.body == event(1) + event(2));
        auto const stream =
            ask("/stream/", upload_bytes, part_then_whole(cut, 1));
        BOOST_TEST(stream.finished);
        BOOST_TEST(stream.body == event(1) + event(2));
        auto const call = ask("/call/", upload_bytes, part_then_whole(cut, 1));
        BOOST_TEST(status_of(call) == bad_gateway);
        BOOST_TEST(call.runs == 1);
    }
}

BOOST_AUTO_TEST_CASE(is_none_through_a_helper)
{
    for (auto const how : early_ends)
    {
        for (auto const* const head : {"", "HTTP/1.1 200 OK\r\n"})
        {
            auto const part =
                early(*head == '\0' ? head_without_length + event(1)
                                    : head + signature,
                      how);
            auto const look =
                ask("/look/", upload_bytes, part_then_whole(part, 1),
                    way::through_helper);
            BOOST_TEST(status_of(look) == 200);
            BOOST_TEST(look.body == event(1) + event(2));
            BOOST_TEST(look.runs == 2);
            auto const stream =
                ask("/stream/", upload_bytes, part_then_whole(part, 1),
                    way::through_helper);
            BOOST_TEST(stream.finished);
            BOOST_TEST(stream.body == event(1) + event(2));
            BOOST_TEST(stream.runs == 2);
            auto const call =
                ask("/call/", upload_bytes, part_then_whole(part, 1),
                    way::through_helper);
            BOOST_TEST(status_of(call) == bad_gateway);
            BOOST_TEST(call.runs == 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_response_without_a_status)

BOOST_AUTO_TEST_CASE(is_no_response)
{
    for (auto const& status : no_statuses)
    {
        auto const bad = answer_with_status(status);
        auto const look = ask("/look/", 4, part_then_whole(bad, 2));
        BOOST_TEST(status_of(look) == 200, "status '" << status << "'");
        BOOST_TEST(look.body == event(1) + event(2));
        BOOST_TEST(look.runs == 3);
        auto const all = ask("/look/", 4, always(bad));
        BOOST_TEST(status_of(all) == bad_gateway, "status '" << status << "'");
        auto const call = ask("/call/", 4, part_then_whole(bad, 1));
        BOOST_TEST(status_of(call) == bad_gateway, "status '" << status << "'");
        BOOST_TEST(call.runs == 1);
        auto const stream = ask("/stream/", 4, part_then_whole(bad, 1));
        BOOST_TEST(stream.finished, "status '" << status << "'");
        BOOST_TEST(stream.body == event(1) + event(2));
    }
}

BOOST_AUTO_TEST_CASE(is_no_response_through_a_helper)
{
    for (auto const& status : no_statuses)
    {
        auto const bad = answer_with_status(status);
        auto const look =
            ask("/look/", 4, part_then_whole(bad, 1), way::through_helper);
        BOOST_TEST(status_of(look) == 200, "status '" << status << "'");
        BOOST_TEST(look.body == event(1) + event(2));
        auto const call =
            ask("/call/", 4, part_then_whole(bad, 1), way::through_helper);
        BOOST_TEST(status_of(call) == bad_gateway, "status '" << status << "'");
        BOOST_TEST(call.runs == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_answer_before_the_end_of_its_upload)

BOOST_AUTO_TEST_CASE(is_delivered_if_it_says_where_it_ends)
{
    auto const at_once = [](int, std::string const& head)
    {
        return whole(head);
    };
    for (auto const by : {way::direct, way::through_helper})
    {
        for (auto const* const path : {"/look/", "/call/", "/stream/"})
        {
            auto const it = ask(path, upload_bytes, at_once, by, true);
            BOOST_TEST((status_of(it) == 200 || it.finished));
            BOOST_TEST(it.body == event(1) + event(2));
            BOOST_TEST(it.runs == 1);
            // Nothing else comes in place of the rest.
            BOOST_REQUIRE(it.received.size() == 1);
            auto const& bytes = it.received.front();
            auto const body = bytes.substr(bytes.find("\r\n\r\n") + 4);
            BOOST_TEST(body.size() <= upload_bytes);
            BOOST_TEST(body.find_first_not_of('u') == std::string::npos);
        }
    }
}

// The helper holds nothing, and its host has not sent the rest yet.
BOOST_FIXTURE_TEST_CASE(has_no_end_before_its_host_has_sent_the_upload,
                        host_with_uploads)
{
    for (auto const& [sent, ends] : {std::pair{std::string{"abcd"}, true},
                                     std::pair{std::string{"ab"}, false}})
    {
        helped = std::make_unique<raw_target>(
            loop,
            [](std::string const&) {
                return raw_answer{
                    "HTTP/1.1 200 OK\r\n\r\n", {}, 0, answer_end::closed};
            });
        auto const fd = ::socket(AF_INET, SOCK_STREAM, 0);
        auto const to = net::to_sockaddr({"127.0.0.1", helper_port});
        BOOST_REQUIRE(::connect(fd, reinterpret_cast<sockaddr const*>(&to),
                                sizeof to) == 0);
        auto const bytes = http1::write_connect(target_id{"t"}) +
                           "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n" +
                           sent;
        BOOST_REQUIRE(::send(fd, bytes.data(), bytes.size(), 0) ==
                      static_cast<ssize_t>(bytes.size()));
        auto answer = std::string{};
        run_until(
            [&]
            {
                char buf[1024];
                auto const n = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
                answer.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
                return n == 0;
            });
        ::close(fd);
        BOOST_TEST(answer.find("HTTP/1.1 200 OK\r\n\r\n") != std::string::npos);
        BOOST_TEST(answer.ends_with(http1::write_frame_head(0)) == ends);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
