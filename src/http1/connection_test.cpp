#include "http1/client.hpp"
#include "http1/server.hpp"
#include "standins/full_listener.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>
#include <event2/thread.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primrosedeal::http1
{

namespace
{

using standins::answer_end;

auto const local = net::endpoint{"127.0.0.1", 0};

/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};

auto get(std::string target) -> request
{
    return {"GET", std::move(target), {{"Host", "h"}}, {}, true};
}

/// Bytes that this process has allocated, without what is free for reuse.
auto allocated() -> std::size_t
{
    auto const it = ::mallinfo2();
    return it.uordblks + it.hblkhd;
}

/// A server and its loop; `run_until` drives both ends.
struct world
{
    world()
    {
        net::initialise_process();
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

/// Answers in pieces, one after each `pause`.
class slow_answer
{
public:
    slow_answer(net::event_loop& loop, duration pause, int pieces)
        : server_(loop,
                  [this](request const&, std::shared_ptr<exchange> from)
                  {
                      client_ = std::move(from);
                      client_->start({200, {}});
                      next();
                  }),
          loop_(loop), pause_(pause), left_(pieces), port(server_.listen(local))
    {
    }

private:
    void next()
    {
        if (left_-- == 0)
        {
            client_->finish();
            return;
        }
        client_->send("x");
        timer_ = loop_.after(pause_, [this] { next(); });
    }

    server server_;
    net::event_loop& loop_;
    duration pause_;
    int left_;
    std::shared_ptr<exchange> client_;
    net::timer timer_;

public:
    std::uint16_t port;
};

/// A client of a plain socket.
class plain_client
{
public:
    explicit plain_client(std::uint16_t port,
                          answer_end how = answer_end::closed)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (how == answer_end::reset)
        {
            auto const now = linger{1, 0};
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        auto to = sockaddr_in{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(
            ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    }

    plain_client(plain_client const&) = delete;
    auto operator=(plain_client const&) -> plain_client& = delete;

    ~plain_client()
    {
        ::close(fd_);
    }

    void send(std::string const& bytes) const
    {
        BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), 0) ==
                      static_cast<ssize_t>(bytes.size()));
    }

    /// Appends the bytes that wait. Returns whether the peer has ended.
    auto read(std::string& to) const -> bool
    {
        char buf[4096];
        auto n = ssize_t{1};
        while (n > 0)
        {
            n = ::recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
            to.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return n == 0;
    }

    /// Bytes received until the peer's end.
    auto receive_all(world& it) const -> std::string
    {
        auto out = std::string{};
        it.run_until([&] { return read(out); });
        return out;
    }

private:
    int fd_;
};

/// Bytes that a plain socket gets for `sent` until its peer's end.
auto talk(world& it, std::uint16_t port, std::string const& sent) -> std::string
{
    auto const client = plain_client{port};
    client.send(sent);
    return client.receive_all(it);
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_clients_side)

BOOST_FIXTURE_TEST_CASE(sends_the_last_answer_before_it_ends_a_connection,
                        world)
{
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->reply({200, {}}, "whole", true);
               }};
    auto const port = it.listen(local);
    auto const got = talk(*this, port, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(got.starts_with("HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(got.ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(answers_hostile_heads_and_hands_none_over, world)
{
    auto handed = 0;
    auto it =
        server{loop, [&](request const&, std::shared_ptr<exchange> const& c)
               {
                   ++handed;
                   c->reply({200, {}}, {}, true);
               }};
    auto limits = server_limits{};
    limits.sizes = parse_limits{};
    limits.sizes->head = 512;
    it.set_limits(limits);
    auto const port = it.listen(local);
    auto const smuggled =
        talk(*this, port,
             "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n");
    BOOST_TEST(smuggled.starts_with("HTTP/1.1 400 "));
    auto const large =
        talk(*this, port,
             "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'a') +
                 "\r\n\r\n");
    BOOST_TEST(large.starts_with("HTTP/1.1 431 "));
    BOOST_TEST(handed == 0);
}

BOOST_FIXTURE_TEST_CASE(hands_over_no_request_that_its_client_broke_off, world)
{
    auto handed = 0;
    auto it =
        server{loop, [&](request const&, std::shared_ptr<exchange> const& c)
               {
                   ++handed;
                   c->reply({200, {}}, {}, true);
               }};
    auto const port = it.listen(local);
    auto const head = std::string{"POST /a HTTP/1.1\r\nHost: h\r\n"};
    for (auto const& bytes :
         {head + "Content-Length: 2\r\n\r\nok",
          head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    {
        for (auto n = std::size_t{0}; n < bytes.size(); ++n)
        {
            for (auto const how : {answer_end::closed, answer_end::reset})
            {
                {
                    auto const client = plain_client{port, how};
                    client.send(bytes.substr(0, n));
                    run_until([&] { return it.connections() == 1; });
                }
                run_until([&] { return it.connections() == 0; });
                BOOST_TEST(handed == 0, bytes.substr(0, n));
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(ends_a_head_that_comes_too_slowly, world)
{
    auto it = server{loop, [](request const&, std::shared_ptr<exchange> const&)
                     {
                         BOOST_ERROR("a partial request was handed over");
                     }};
    auto limits = server_limits{};
    limits.head_timeout = 50ms;
    it.set_limits(limits);
    auto const port = it.listen(local);
    auto const got = talk(*this, port, "GET /a HTTP/1.1\r\nHo");
    BOOST_TEST(got.starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(makes_an_aborted_answer_look_incomplete, world)
{
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->start({200, {}});
                   client->send("part");
                   client->abort();
               }};
    auto const port = it.listen(local);
    auto const got = talk(*this, port, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(got.ends_with("4\r\npart\r\n"));
}

BOOST_FIXTURE_TEST_CASE(wrote_a_second_head_into_an_answer, world)
{
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->start({200, {}});
                   client->send("part");
                   client->reply({500, {}}, "error", false);
               }};
    auto const port = it.listen(local);
    auto const got = talk(*this, port, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(got.ends_with("4\r\npart\r\n"));
}

// A request and the end of its connection's idle time are due in one pass of
// the loop, as after a pause of the host.
BOOST_FIXTURE_TEST_CASE(answers_a_request_that_comes_as_its_idle_time_ends,
                        world)
{
    constexpr auto idle = duration{100ms};
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->reply({200, {}}, "whole", true);
               }};
    auto limits = server_limits{};
    limits.idle_timeout = idle;
    it.set_limits(limits);
    auto const client = plain_client{it.listen(local)};
    run_until([&] { return it.connections() == 1; });
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    ::usleep(2 * idle.count());
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(answers_a_request_that_comes_as_idle_ones_are_closed,
                        world)
{
    auto limits = server_limits{};
    limits.min_idle_time = 0s;
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->reply({200, {}}, "whole", true);
               }};
    it.set_limits(limits);
    auto const client = plain_client{it.listen(local)};
    run_until([&] { return it.connections() == 1; });
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    auto const close =
        loop.after(0s, [&] { it.close_idle(net::event_loop::now()); });
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_AUTO_TEST_SUITE(left_a_request_without_an_answer)

constexpr auto first_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct kept_connection : world
{
    server it{loop, [](request const&, std::shared_ptr<exchange> const& from)
              {
                  from->reply({200, {}}, "whole", false);
              }};
    plain_client client{it.listen(local)};
    std::vector<dropped_input> dropped;

    /// Closes idle connections as the next request is on its way.
    auto cross() -> std::string
    {
        it.on_dropped_input([&](dropped_input const& each)
                            { dropped.push_back(each); });
        run_until([&] { return it.connections() == 1; });
        auto const close = loop.after(
            50ms,
            [&]
            {
                it.close_idle(net::event_loop::now());
                client.send("GET /crossed HTTP/1.1\r\nHost: h\r\n\r\n");
            });
        return client.receive_all(*this);
    }
};

BOOST_FIXTURE_TEST_CASE(that_crossed_the_end_of_an_idle_connection,
                        kept_connection)
{
    auto limits = server_limits{};
    limits.min_idle_time = 0s;
    it.set_limits(limits);
    client.send(first_request);
    auto const got = cross();
    auto const second = got.find("HTTP/1.1 408 ");
    BOOST_REQUIRE(second != std::string::npos);
    BOOST_TEST(got.find("whole") < second);
    BOOST_TEST(got.find("Connection: close", second) != std::string::npos);
    BOOST_TEST(got.find("Retry-After: 0", second) != std::string::npos);
    run_until([&] { return dropped.size() == 1; });
    BOOST_TEST(dropped.front().announced);
    BOOST_TEST((dropped.front().why == end_reason::closed_idle));
}

BOOST_FIXTURE_TEST_CASE(that_was_the_first_one_of_its_connection,
                        kept_connection)
{
    auto const last = loop.after(100ms, [&] { it.close_after_answers(); });
    auto const next = loop.after(150ms, [&] { client.send(first_request); });
    auto const got = cross();
    BOOST_TEST(got.starts_with("HTTP/1.1 200 "));
    BOOST_TEST(dropped.empty());
}

BOOST_FIXTURE_TEST_CASE(of_which_a_part_had_come_at_the_end, kept_connection)
{
    client.send("GET /a HTTP/1.1\r\nHo");
    auto const close = loop.after(50ms, [&] { it.close_unanswered(); });
    auto const got = client.receive_all(*this);
    BOOST_TEST(got.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(got.find("Retry-After: 0") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(that_crossed_the_end_of_the_idle_time, kept_connection)
{
    constexpr auto idle = duration{100ms};
    auto limits = server_limits{};
    limits.idle_timeout = idle;
    it.set_limits(limits);
    client.send(first_request);
    BOOST_TEST(client.receive_all(*this).find("HTTP/1.1 408 ") !=
               std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// The connection was closed with the end of an answer that had not said so.
BOOST_FIXTURE_TEST_CASE(dropped_the_request_after_an_answer_begun_before_a_stop,
                        world)
{
    auto streams = std::vector<std::shared_ptr<exchange>>{};
    auto it =
        server{loop, [&](request const& asked, std::shared_ptr<exchange> client)
               {
                   if (asked.target == "/whole")
                   {
                       client->reply({200, {}}, "whole", false);
                       return;
                   }
                   client->start({200, {}});
                   streams.push_back(std::move(client));
               }};
    auto const client = plain_client{it.listen(local)};
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until([&] { return !streams.empty(); });
    it.close_after_answers();
    streams.front()->finish();
    auto next = net::timer{};
    next = loop.after(
        20ms, [&] { client.send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n"); });
    auto const got = client.receive_all(*this);
    BOOST_TEST(got.find("Connection: close") != std::string::npos);
    BOOST_TEST(got.ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(reset_connections_that_it_had_not_accepted, world)
{
    auto it =
        server{loop, [](request const&, std::shared_ptr<exchange> const& client)
               {
                   client->reply({200, {}}, "whole", true);
               }};
    auto const port = it.listen(local);
    auto const client = plain_client{port};
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    it.stop_listening();
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

// The request comes while the loop is busy, so it waits in the kernel.
BOOST_AUTO_TEST_SUITE(dropped_a_request_that_it_had_not_read)

struct busy_server : world
{
    server it{loop, [](request const&, std::shared_ptr<exchange> const& client)
              {
                  client->reply({200, {}}, "whole", true);
              }};
    std::uint16_t port = it.listen(local);
};

BOOST_FIXTURE_TEST_CASE(when_it_closed_idle_connections, busy_server)
{
    auto limits = server_limits{};
    limits.min_idle_time = 0s;
    it.set_limits(limits);
    auto const client = plain_client{port};
    run_until([&] { return it.connections() == 1; });
    auto const work =
        loop.after(0s,
                   [&]
                   {
                       client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
                       it.close_idle(net::event_loop::now());
                   });
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(when_its_connections_idle_time_ended, busy_server)
{
    constexpr auto idle = duration{100ms};
    auto limits = server_limits{};
    limits.idle_timeout = idle;
    it.set_limits(limits);
    auto const client = plain_client{port};
    run_until([&] { return it.connections() == 1; });
    auto const work = loop.after(
        idle / 2, [&] { client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); });
    // Both timers are due in the next pass of the loop.
    ::usleep(2 * idle.count());
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_targets_side)

BOOST_FIXTURE_TEST_CASE(tells_how_far_a_call_got, world)
{
    auto it = server{
        loop, [](request const& r, std::shared_ptr<exchange> const& client)
        {
            if (r.target == "/cut")
            {
                client->start({200, {}});
                client->send("part");
                client->abort();
                return;
            }
            client->reply({200, {}}, "whole", false);
        }};
    auto const at = net::endpoint{"127.0.0.1", it.listen(local)};
    auto error = std::optional<call_error>{};
    auto complete = false;
    auto events = call_events{};
    events.on_complete = [&]
    {
        complete = true;
    };
    events.on_error = [&](call_error why)
    {
        error = why;
    };
    {
        auto const call = client_call{loop, at, get("/"), patience, events};
        run_until([&] { return complete; });
    }
    {
        auto const call = client_call{loop, at, get("/cut"), patience, events};
        run_until([&] { return error.has_value(); });
        BOOST_TEST((*error == call_error::truncated));
    }
    it.stop_listening();
    error.reset();
    auto const call = client_call{loop, at, get("/"), patience, events};
    run_until([&] { return error.has_value(); });
    BOOST_TEST((*error == call_error::not_connected));
    BOOST_TEST(!call.may_have_sent());
}

BOOST_FIXTURE_TEST_CASE(tells_a_refused_connection_from_an_unanswered_one,
                        world)
{
    auto refusals = 0;
    auto errors = 0;
    auto events = call_events{};
    events.on_refused = [&]
    {
        ++refusals;
    };
    events.on_error = [&](call_error why)
    {
        BOOST_TEST((why == call_error::not_connected));
        ++errors;
    };
    auto closed =
        server{loop, [](request const&, std::shared_ptr<exchange> const&) {
               }};
    auto const at = net::endpoint{"127.0.0.1", closed.listen(local)};
    closed.stop_listening();
    {
        auto const call = client_call{loop, at, get("/"), patience, events};
        run_until([&] { return errors == 1; });
        BOOST_TEST(refusals == 1);
    }
    auto const nobody = standins::full_listener{};
    auto const call =
        client_call{loop, {"127.0.0.1", nobody.port()}, get("/"), 50ms, events};
    run_until([&] { return errors == 2; });
    BOOST_TEST(refusals == 1);
}

// A busy host found the connect timeout due in the same pass of the loop in
// which the connection had come about, and the request already on its way.
BOOST_FIXTURE_TEST_CASE(sends_nothing_on_a_connection_that_timed_out, world)
{
    auto runs = 0;
    auto it =
        server{loop, [&](request const&, std::shared_ptr<exchange> const& c)
               {
                   ++runs;
                   c->reply({200, {}}, {}, true);
               }};
    auto const at = net::endpoint{"127.0.0.1", it.listen(local)};
    auto reported_unsent = 0;
    auto ended = 0;
    constexpr auto tries = 200;
    for (auto i = 0; i < tries; ++i)
    {
        auto events = call_events{};
        auto over = false;
        events.on_complete = [&]
        {
            over = true;
        };
        events.on_error = [&](call_error why)
        {
            over = true;
            reported_unsent += why == call_error::not_connected ? 1 : 0;
        };
        auto const call = client_call{loop, at, get("/"), 100us, events};
        // The host stands still until connection and timeout are both due.
        ::usleep(300);
        run_until([&] { return over; });
        ++ended;
    }
    auto settled = false;
    auto const settle = loop.after(100ms, [&] { settled = true; });
    run_until([&] { return settled; });
    BOOST_TEST(ended == tries);
    BOOST_TEST(runs + reported_unsent == tries);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_server_whose_clients_do_not_read)

// What waited for each was within its own bound, and all together ended the
// process.
BOOST_FIXTURE_TEST_CASE(bounds_what_waits_for_all_together, world)
{
    constexpr auto mebibyte = std::size_t{1} << 20U;
    constexpr auto clients = std::size_t{60};
    // More than its share of what may wait.
    auto const whole = std::string(6 * mebibyte, 'y');
    auto open = std::vector<std::shared_ptr<exchange>>{};
    auto it =
        server{loop, [&](request const& asked, std::shared_ptr<exchange> from)
               {
                   if (asked.target == "/brief")
                   {
                       from->reply({200, {}}, "yes", true);
                       return;
                   }
                   from->start({200, {}});
                   open.push_back(std::move(from));
               }};
    auto const port = it.listen(local);
    auto idle = std::vector<std::unique_ptr<plain_client>>{};
    for (auto i = std::size_t{0}; i < clients; ++i)
    {
        idle.push_back(std::make_unique<plain_client>(port));
        idle.back()->send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    run_until([&] { return open.size() == clients; });
    auto const before = allocated();
    auto peak = std::size_t{0};
    auto const piece = std::string(mebibyte / 4, 'x');
    constexpr auto pieces = 30;
    for (auto i = 0; i < pieces; ++i)
    {
        for (auto const& client : open)
        {
            client->send(piece);
        }
        auto turned = false;
        auto const turn = loop.after(1ms, [&] { turned = true; });
        run_until([&] { return turned; });
        peak = std::max(peak, allocated() - std::min(before, allocated()));
    }
    auto brief = std::optional<net::http_response>{};
    auto const asked =
        fetch{loop, net::endpoint{"127.0.0.1", port}, get("/brief"), patience,
              [&](std::optional<net::http_response> answer, bool)
              {
                  brief = std::move(answer);
              }};
    run_until([&] { return brief.has_value(); });
    BOOST_TEST(brief->body == "yes");
    constexpr auto together = 64 * mebibyte;
    BOOST_TEST(peak < 2 * together);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_fetch)

BOOST_FIXTURE_TEST_CASE(goes_on_while_the_answer_keeps_coming, world)
{
    constexpr auto allowed = duration{1s};
    constexpr auto pause = duration{100ms};
    constexpr auto pieces = 15;
    auto from = slow_answer{loop, pause, pieces};
    auto got = std::optional<std::optional<net::http_response>>{};
    auto const it =
        fetch{loop, net::endpoint{"127.0.0.1", from.port}, get("/"), allowed,
              [&](std::optional<net::http_response> answer, bool)
              {
                  got = std::move(answer);
              }};
    run_until([&] { return got.has_value(); });
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST((*got)->body == std::string(pieces, 'x'));
}

BOOST_FIXTURE_TEST_CASE(ends_when_nothing_more_comes, world)
{
    constexpr auto allowed = duration{100ms};
    constexpr auto never = duration{60s};
    auto from = slow_answer{loop, never, 2};
    auto failed = false;
    auto const it =
        fetch{loop, net::endpoint{"127.0.0.1", from.port}, get("/"), allowed,
              [&](std::optional<net::http_response> const& answer, bool)
              {
                  failed = !answer;
              }};
    run_until([&] { return failed; });
}

BOOST_FIXTURE_TEST_CASE(reports_no_answer_that_broke_off_at_any_byte, world)
{
    auto const head = std::string{"HTTP/1.1 200 OK\r\nX-A: b\r\n"};
    for (auto const& bytes :
         {head + "Content-Length: 2\r\n\r\n{}",
          head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"})
    {
        for (auto n = std::size_t{0}; n < bytes.size(); ++n)
        {
            for (auto const how : {answer_end::closed, answer_end::reset})
            {
                auto from = standins::raw_target{
                    loop, [&](std::string const&)
                    {
                        return standins::raw_answer{
                            bytes.substr(0, n), {}, 0, how};
                    }};
                auto reports = 0;
                auto const it =
                    fetch{loop, net::endpoint{"127.0.0.1", from.port()},
                          get("/"), patience,
                          [&](std::optional<net::http_response> const& answer,
                              bool sent)
                          {
                              ++reports;
                              BOOST_TEST(!answer, bytes.substr(0, n));
                              BOOST_TEST(sent);
                          }};
                run_until([&] { return reports == 1; });
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(ends_an_answer_beyond_its_bound, world)
{
    constexpr auto endless = std::size_t{96} << 20U;
    constexpr auto kernel_buffers = std::size_t{12} << 20U;
    for (auto const* const head :
         {"HTTP/1.1 200 OK\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 400000000\r\n\r\n"})
    {
        auto from = standins::raw_target{loop, [&](std::string const&)
                                         {
                                             return standins::raw_answer{
                                                 head, "x", endless,
                                                 standins::answer_end::closed};
                                         }};
        auto reports = 0;
        auto answered = false;
        auto may_have_sent = false;
        auto const it = fetch{
            loop, net::endpoint{"127.0.0.1", from.port()}, get("/"), patience,
            [&](std::optional<net::http_response> const& answer, bool sent)
            {
                ++reports;
                answered = answer.has_value();
                may_have_sent = sent;
            }};
        run_until([&] { return reports > 0 && from.closed_by_peer() > 0; });
        BOOST_TEST(reports == 1);
        BOOST_TEST(!answered);
        BOOST_TEST(may_have_sent);
        BOOST_TEST(from.sent() < kernel_buffers);
    }
}

BOOST_FIXTURE_TEST_CASE(takes_an_answer_within_the_bound_of_its_caller, world)
{
    auto const body = std::string(std::size_t{24} << 20U, 'x');
    auto from = standins::raw_target{loop, [&](std::string const&)
                                     {
                                         return standins::raw_answer{
                                             "HTTP/1.1 200 OK\r\n\r\n" + body,
                                             {},
                                             0,
                                             standins::answer_end::closed};
                                     }};
    auto got = std::optional<std::optional<net::http_response>>{};
    auto const it = fetch{loop,
                          net::endpoint{"127.0.0.1", from.port()},
                          get("/"),
                          patience,
                          [&](std::optional<net::http_response> answer, bool)
                          { got = std::move(answer); },
                          body.size()};
    run_until([&] { return got.has_value(); });
    BOOST_REQUIRE(got->has_value());
    BOOST_TEST(((*got)->body == body));
}

// The timeout of the fetch and that of its connection are due together.
BOOST_FIXTURE_TEST_CASE(reports_once_when_its_connection_times_out, world)
{
    constexpr auto allowed = duration{50ms};
    constexpr auto settle_time = duration{200ms};
    auto const target = standins::full_listener{};
    auto reports = 0;
    auto may_have_sent = true;
    auto const it =
        fetch{loop,
              {"127.0.0.1", target.port()},
              get("/"),
              allowed,
              [&](std::optional<net::http_response> const& answer, bool sent)
              {
                  ++reports;
                  BOOST_TEST(!answer);
                  may_have_sent = sent;
              }};
    auto settled = false;
    auto const settle = loop.after(settle_time, [&] { settled = true; });
    run_until([&] { return settled; });
    BOOST_TEST(reports == 1);
    BOOST_TEST(!may_have_sent);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(limits_in_time)

constexpr auto part_of_head = "GET /a HTTP/1.1\r\nHost";
constexpr auto rest_of_head = ": h\r\nConnection: close\r\n\r\n";
constexpr auto part_of_body =
    "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    "Content-Length: 4\r\n\r\nbo";
constexpr auto rest_of_body = "dy";

struct limited_server : world
{
    limited_server()
    {
        limits.head_timeout = 10s;
        limits.idle_timeout = 10s;
        it.set_limits(limits);
    }

    void wait(duration time)
    {
        auto over = false;
        auto const timer = loop.after(time, [&] { over = true; });
        run_until([&] { return over; });
    }

    std::string answer = "whole";
    server it{loop,
              [this](request const&, std::shared_ptr<exchange> const& client)
              {
                  client->reply({200, {}}, answer, false);
              }};
    std::uint16_t port = it.listen(local);
    server_limits limits;
};

BOOST_FIXTURE_TEST_CASE(gave_a_body_only_the_time_of_a_head, limited_server)
{
    limits.head_timeout = 50ms;
    it.set_limits(limits);
    auto const client = plain_client{port};
    client.send(part_of_body);
    wait(4 * limits.head_timeout);
    client.send(rest_of_body);
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(timed_out_under_the_shorter_limit_before,
                        limited_server)
{
    constexpr auto shorter = duration{1s};
    auto changed = limits;
    changed.head_timeout = shorter;
    changed.idle_timeout = shorter;
    it.set_limits(changed);
    auto const in_head = plain_client{port};
    auto const in_body = plain_client{port};
    in_head.send(part_of_head);
    in_body.send(part_of_body);
    wait(shorter / 20);
    it.set_limits(limits);
    wait(shorter);
    in_head.send(rest_of_head);
    in_body.send(rest_of_body);
    BOOST_TEST(in_head.receive_all(*this).ends_with("\r\n\r\nwhole"));
    BOOST_TEST(in_body.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

// The rest waits in the kernel as the timers of its connection are due.
BOOST_FIXTURE_TEST_CASE(timed_out_what_had_come_while_the_loop_was_busy,
                        limited_server)
{
    limits.head_timeout = 200ms;
    limits.idle_timeout = 200ms;
    it.set_limits(limits);
    auto const in_head = plain_client{port};
    auto const in_body = plain_client{port};
    in_head.send(part_of_head);
    in_body.send(part_of_body);
    wait(limits.head_timeout / 4);
    in_head.send(rest_of_head);
    in_body.send(rest_of_body);
    ::usleep(2 * limits.head_timeout.count());
    BOOST_TEST(in_head.receive_all(*this).ends_with("\r\n\r\nwhole"));
    BOOST_TEST(in_body.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(gave_a_head_more_time_for_each_byte, limited_server)
{
    limits.head_timeout = 200ms;
    limits.idle_timeout = 3 * patience;
    it.set_limits(limits);
    auto const client = plain_client{port};
    client.send(part_of_head);
    wait(limits.head_timeout / 4);
    client.send(":");
    ::usleep(2 * limits.head_timeout.count());
    BOOST_TEST(client.receive_all(*this).starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(closed_sooner_than_clients_of_the_limits_before_expect,
                        limited_server)
{
    limits.idle_timeout = 50ms;
    it.set_limits(limits);
    auto const client = plain_client{port};
    wait(4 * limits.idle_timeout);
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    wait(4 * limits.idle_timeout);
    client.send(part_of_body);
    wait(4 * limits.idle_timeout);
    client.send(rest_of_body);
    auto const got = client.receive_all(*this);
    BOOST_TEST(got.find("whole") != got.rfind("whole"));
}

BOOST_FIXTURE_TEST_CASE(kept_to_limits_that_no_client_takes_for_valid,
                        limited_server)
{
    limits.idle_timeout = 3 * patience;
    it.set_limits(limits);
    limits.idle_timeout = 50ms;
    limits.former_limits_known = 50ms;
    it.set_limits(limits);
    wait(2 * limits.former_limits_known);
    auto const client = plain_client{port};
    // It ends with a notice.
    BOOST_TEST(client.receive_all(*this).starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(refused_what_was_within_the_sizes_as_it_began,
                        limited_server)
{
    auto const in_head = plain_client{port};
    auto const in_body = plain_client{port};
    in_head.send(part_of_head);
    in_body.send(part_of_body);
    wait(50ms);
    limits.sizes = parse_limits{20, 2};
    it.set_limits(limits);
    in_head.send(rest_of_head);
    in_body.send(rest_of_body);
    BOOST_TEST(in_head.receive_all(*this).ends_with("\r\n\r\nwhole"));
    BOOST_TEST(in_body.receive_all(*this).ends_with("\r\n\r\nwhole"));
    BOOST_TEST(talk(*this, port, part_of_body).starts_with("HTTP/1.1 431 "));
}

// No configuration had stated the sizes yet: 413 and 431, which clients do not
// repeat elsewhere.
BOOST_FIXTURE_TEST_CASE(refused_for_sizes_that_no_configuration_states,
                        limited_server)
{
    auto const head = std::string{"POST /a HTTP/1.1\r\nHost: h\r\n"};
    auto const large_head = head + "X: " + std::string(20'000, 'a') + "\r\n";
    auto const large_body = head + "Content-Length: 5000000\r\n\r\n";
    for (auto const& bytes : {large_head, large_body})
    {
        auto const got = talk(*this, port, bytes);
        BOOST_TEST(got.starts_with("HTTP/1.1 503 "));
        BOOST_TEST(got.find("\r\nRetry-After: ") != std::string::npos);
    }
    limits.sizes = parse_limits{};
    it.set_limits(limits);
    BOOST_TEST(talk(*this, port, large_head).starts_with("HTTP/1.1 431 "));
    BOOST_TEST(talk(*this, port, large_body).starts_with("HTTP/1.1 413 "));
}

// They wait behind an answer, or in the kernel, as the sizes shrink.
BOOST_FIXTURE_TEST_CASE(refused_what_had_come_whole_before_the_sizes_shrank,
                        world)
{
    auto owed = std::shared_ptr<exchange>{};
    auto it =
        server{loop, [&](request const& got, std::shared_ptr<exchange> client)
               {
                   if (got.target == "/held")
                   {
                       owed = std::move(client);
                       return;
                   }
                   client->reply({200, {}}, "whole", false);
               }};
    auto limits = server_limits{};
    limits.idle_timeout = 10s;
    it.set_limits(limits);
    auto const port = it.listen(local);
    auto const whole = std::string{part_of_body} + rest_of_body;
    auto const waiting = plain_client{port};
    auto const unread = plain_client{port};
    run_until([&] { return it.connections() == 2; });
    waiting.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + whole);
    run_until([&] { return owed != nullptr; });
    auto const over = std::make_shared<bool>(false);
    auto const timer = loop.after(50ms, [over] { *over = true; });
    run_until([&] { return *over; });
    unread.send(whole);
    ::usleep(50'000);
    limits.sizes = parse_limits{20, 2};
    it.set_limits(limits);
    it.set_limits(limits);
    BOOST_TEST(unread.receive_all(*this).ends_with("\r\n\r\nwhole"));
    owed->reply({200, {}}, "held", false);
    BOOST_TEST(waiting.receive_all(*this).ends_with("\r\n\r\nwhole"));
    // What comes later has the sizes in force.
    BOOST_TEST(talk(*this, port, whole).starts_with("HTTP/1.1 431 "));
}

// Only the request that was being read as the sizes shrank may be larger.
BOOST_FIXTURE_TEST_CASE(kept_sizes_for_requests_after_the_change,
                        limited_server)
{
    auto const client = plain_client{port};
    client.send("GET /a HTTP/1.1\r\nHo");
    wait(50ms);
    limits.sizes = parse_limits{20, 2};
    it.set_limits(limits);
    client.send("st: h\r\n\r\n");
    wait(50ms);
    client.send(std::string{part_of_body} + rest_of_body);
    BOOST_TEST(client.receive_all(*this).find("HTTP/1.1 431 ") !=
               std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(closed_a_connection_too_many_without_an_answer,
                        limited_server)
{
    limits.connections.most = 1;
    it.set_limits(limits);
    auto const within = plain_client{port};
    run_until([&] { return it.connections() == 1; });
    auto const refused =
        talk(*this, port, std::string{part_of_body} + rest_of_body);
    BOOST_TEST(refused.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(refused.find("Retry-After: ") != std::string::npos);
    within.send(std::string{part_of_head} + rest_of_head);
    BOOST_TEST(within.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(kept_a_stalled_request_and_refused_a_further_client,
                        limited_server)
{
    limits.connections.most = 2;
    limits.connections.stall_time = 50ms;
    it.set_limits(limits);
    auto const idle = plain_client{port};
    auto const stalled = plain_client{port};
    stalled.send(part_of_head);
    run_until([&] { return it.connections() == 2; });
    wait(100ms);
    auto const served =
        talk(*this, port, std::string{part_of_head} + rest_of_head);
    BOOST_TEST(served.ends_with("\r\n\r\nwhole"));
    BOOST_TEST(stalled.receive_all(*this).starts_with("HTTP/1.1 408 "));
    idle.send(std::string{part_of_head} + rest_of_head);
    BOOST_TEST(idle.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_FIXTURE_TEST_CASE(kept_a_request_that_comes_byte_by_byte, limited_server)
{
    constexpr auto length = std::size_t{64} << 10U;
    auto const head =
        "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
        std::to_string(length) + "\r\n\r\n";
    limits.connections.most = 2;
    limits.connections.stall_time = 150ms;
    it.set_limits(limits);
    auto const slow = plain_client{port};
    slow.send(head);
    run_until([&] { return it.connections() == 1; });
    auto const steady = plain_client{port};
    steady.send(head);
    run_until([&] { return it.connections() == 2; });
    auto left = length;
    for (auto i = 0; i < 6; ++i)
    {
        wait(50ms);
        slow.send("x");
        steady.send(std::string(least_progress, 'x'));
        left -= least_progress;
    }
    wait(20ms);
    auto const served =
        talk(*this, port, std::string{part_of_head} + rest_of_head);
    BOOST_TEST(served.ends_with("\r\n\r\nwhole"));
    steady.send(std::string(left, 'x'));
    BOOST_TEST(steady.receive_all(*this).ends_with("\r\n\r\nwhole"));
    BOOST_TEST(slow.receive_all(*this).starts_with("HTTP/1.1 408 "));
}

BOOST_FIXTURE_TEST_CASE(closed_further_clients_for_ones_that_never_ask,
                        limited_server)
{
    limits.connections.most = 1;
    limits.connections.stall_time = 50ms;
    limits.head_timeout = 3 * patience;
    limits.idle_timeout = 3 * patience;
    it.set_limits(limits);
    auto clients = std::vector<std::unique_ptr<plain_client>>{};
    for (auto i = 0; i < 4; ++i)
    {
        clients.push_back(std::make_unique<plain_client>(port));
    }
    wait(100ms);
    for (auto i = 0; i < 4; ++i)
    {
        auto const served =
            talk(*this, port, std::string{part_of_head} + rest_of_head);
        BOOST_TEST(served.ends_with("\r\n\r\nwhole"));
        wait(300ms);
    }
}

BOOST_FIXTURE_TEST_CASE(held_connections_without_bound, limited_server)
{
    limits.connections.most = 1;
    limits.head_timeout = 3 * patience;
    limits.idle_timeout = 3 * patience;
    it.set_limits(limits);
    constexpr auto many = std::size_t{300};
    auto clients = std::vector<std::unique_ptr<plain_client>>{};
    while (clients.size() < many)
    {
        clients.push_back(std::make_unique<plain_client>(port));
    }
    BOOST_TEST(clients.back()->receive_all(*this).empty());
    BOOST_TEST(it.connections() < many / 2);
}

BOOST_FIXTURE_TEST_CASE(cut_a_last_answer_that_its_client_was_reading,
                        limited_server)
{
    answer.assign(std::size_t{24} << 20U, 'x');
    auto const client = plain_client{port};
    client.send(std::string{part_of_head} + rest_of_head);
    auto got = std::string{};
    wait(1200ms);
    client.read(got);
    wait(1200ms);
    got += client.receive_all(*this);
    BOOST_TEST(got.size() > answer.size());
}

BOOST_FIXTURE_TEST_CASE(counted_the_time_of_a_long_answer_as_idle,
                        limited_server)
{
    limits.idle_timeout = 2s;
    limits.former_limits_known = 0s;
    it.set_limits(limits);
    answer.assign(std::size_t{24} << 20U, 'x');
    auto const client = plain_client{port};
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    auto got = std::string{};
    wait(1400ms);
    client.read(got);
    wait(1400ms);
    run_until(
        [&]
        {
            client.read(got);
            return got.size() > answer.size();
        });
    answer = "whole";
    wait(1200ms);
    client.send(std::string{part_of_head} + rest_of_head);
    BOOST_TEST(client.receive_all(*this).ends_with("\r\n\r\nwhole"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
