#include "gateway/tunnel_server.hpp"

#include "gateway/connect_prober.hpp"
#include "http1/client.hpp"
#include "net/socket_address.hpp"
#include "standins/cuttable_link.hpp"
#include "standins/full_listener.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// A host, its helper and a target over loopback, on one loop.
namespace primrosedeal::gateway
{

namespace
{

using http1::call_error;
using http1::tunnel_refusal;
using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;

auto const local = net::endpoint{"127.0.0.1", 0};
/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};
constexpr auto mebibyte = std::size_t{1} << 20U;
constexpr auto endless = 96 * mebibyte;
/// What the kernel may buffer for both ends of two connections.
constexpr auto kernel_buffers = 24 * mebibyte;
/// A helper holds little beside it.
constexpr auto helper_buffers = mebibyte;

/// A helper that lists targets by id.
class helper
{
public:
    explicit helper(net::event_loop& loop, tunnel_limits limits = {})
        : server(loop, limits, make_events()), port(server.listen(local))
    {
    }

    [[nodiscard]] auto route(std::string const& target) const
        -> http1::tunnel_route
    {
        return {{local.address, port}, target_id{target}, true};
    }

    std::map<target_id, net::endpoint> targets;
    std::size_t capacity = 8;
    int admitted = 0;
    int closed = 0;
    int opened = 0;
    std::vector<tunnel_refusal> refusals;
    std::optional<tunnel_traffic> ended;
    std::optional<tunnel_end> end;

private:
    auto make_events() -> tunnel_events
    {
        auto out = tunnel_events{};
        out.lookup = [this](target_id const& id) -> std::optional<net::endpoint>
        {
            auto const it = targets.find(id);
            return it == targets.end() ? std::nullopt
                                       : std::optional{it->second};
        };
        out.admit = [this]
        {
            auto const admits = server.open() < capacity;
            admitted += admits ? 1 : 0;
            return admits;
        };
        out.on_closed = [this]
        {
            ++closed;
        };
        out.on_opened = [this](target_id const&)
        {
            ++opened;
        };
        out.on_refused = [this](target_id const&, tunnel_refusal why)
        {
            refusals.push_back(why);
        };
        out.on_ended = [this](target_id const&, tunnel_summary const& it)
        {
            ended = it.bytes;
            end = it.why;
        };
        return out;
    }

public:
    tunnel_server server;
    std::uint16_t port;
};

/// A request through a tunnel and what came of it.
struct tunnelled_call
{
    tunnelled_call(net::event_loop& loop, http1::tunnel_route const& route,
                   std::string_view body = {},
                   duration connect_timeout = patience)
    {
        auto events = http1::call_events{};
        events.on_connected = [this]
        {
            connected = true;
        };
        events.on_refused = [this]
        {
            refused_directly = true;
        };
        events.on_tunnel_refused = [this](tunnel_refusal why)
        {
            BOOST_TEST(!error);
            refusal = why;
        };
        events.on_head = [this](http1::response_head const& head)
        {
            status = head.status;
        };
        events.on_body = [this](std::string_view bytes)
        {
            answer += bytes;
        };
        events.on_complete = [this]
        {
            complete = true;
        };
        events.on_error = [this](call_error why)
        {
            error = why;
        };
        // The address would be wrong: the helper knows the right one.
        call = std::make_unique<http1::client_call>(
            loop, net::endpoint{"127.0.0.1", 1},
            http1::request{"POST", "/a", {{"Host", "h"}}, body, true},
            connect_timeout, std::move(events), route);
    }

    [[nodiscard]] auto over() const -> bool
    {
        return complete || error;
    }

    bool connected = false;
    bool refused_directly = false;
    std::optional<tunnel_refusal> refusal;
    int status = 0;
    std::string answer;
    bool complete = false;
    std::optional<call_error> error;
    std::unique_ptr<http1::client_call> call;
};

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

    /// Runs until `progress` has not grown for many turns of the loop.
    template <class Progress>
    void wait_for_stall(Progress const& progress)
    {
        constexpr auto still_turns = 100;
        auto last = progress();
        for (auto still = 0; still < still_turns;)
        {
            auto const tick = loop.after(5ms, [] {});
            event_base_loop(loop.base(), EVLOOP_ONCE);
            auto const now = progress();
            still = now == last ? still + 1 : 0;
            last = now;
        }
    }

    /// The tunnel's helper answers with `bytes` of its own and `end`.
    auto answer_of_raw_helper(std::string const& bytes, answer_end end)
        -> std::unique_ptr<tunnelled_call>
    {
        auto at = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{bytes, "", 0, end};
                             }};
        auto it = std::make_unique<tunnelled_call>(
            loop, http1::tunnel_route{
                      {local.address, at.port()}, target_id{"t"}, true});
        run_until([&] { return it->over(); });
        it->call.reset();
        return it;
    }

    net::event_loop loop;
};

/// A host that speaks for itself, over a plain socket.
class raw_host
{
public:
    explicit raw_host(std::uint16_t port)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const to = net::to_sockaddr({local.address, port});
        BOOST_REQUIRE(::connect(fd_, reinterpret_cast<sockaddr const*>(&to),
                                sizeof to) == 0);
    }

    raw_host(raw_host const&) = delete;
    auto operator=(raw_host const&) -> raw_host& = delete;

    ~raw_host()
    {
        ::close(fd_);
    }

    auto send(std::string const& bytes) const -> std::size_t
    {
        auto const n = ::send(fd_, bytes.data(), bytes.size(), MSG_DONTWAIT);
        return n < 0 ? 0 : static_cast<std::size_t>(n);
    }

    auto receive() const -> std::string
    {
        char buf[4096];
        auto const n = ::recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
        return {buf, n < 0 ? 0 : static_cast<std::size_t>(n)};
    }

    [[nodiscard]] auto at_end() const -> bool
    {
        char byte = 0;
        return ::recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
    }

private:
    int fd_;
};

auto const sized_answer =
    std::string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"};
auto const answer_without_length = std::string{"HTTP/1.1 200 OK\r\n\r\nhello"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_request_through_another_host, world)

BOOST_AUTO_TEST_SUITE(that_lists_its_target)

BOOST_AUTO_TEST_CASE(gets_the_targets_answer)
{
    auto heads = std::vector<std::string>{};
    auto target = raw_target{
        loop, [&](std::string const& head)
        {
            heads.push_back(head);
            return raw_answer{sized_answer, "", 0, answer_end::stays_open};
        }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t"), "body"};
    run_until([&] { return call.over(); });
    BOOST_TEST(call.complete);
    BOOST_TEST(call.connected);
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.answer == "hello");
    BOOST_REQUIRE(heads.size() == 1U);
    BOOST_TEST(heads.front().starts_with("POST /a HTTP/1.1\r\n"));
    // Its end is the target's too.
    run_until([&] { return target.closed_by_peer() == 1 && it.closed == 1; });
    BOOST_TEST(it.opened == 1);
    BOOST_TEST(it.server.open() == 0U);
    BOOST_REQUIRE(it.ended);
    BOOST_TEST(it.ended->to_host == sized_answer.size());
}

BOOST_AUTO_TEST_CASE(is_ended_by_no_timeout_of_the_kernel)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return target.runs() == 1; });
    auto sockets = 0;
    constexpr auto most_descriptors = 1024;
    for (auto fd = 0; fd < most_descriptors; ++fd)
    {
        auto timeout = 0U;
        auto n = socklen_t{sizeof timeout};
        if (getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &n) == 0)
        {
            ++sockets;
            BOOST_TEST(timeout == 0U);
        }
    }
    // Both ends of two connections, and two listeners.
    BOOST_TEST(sockets >= 6);
}

BOOST_AUTO_TEST_CASE(gets_a_whole_answer_without_a_length)
{
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{answer_without_length, "", 0, answer_end::closed};
        }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST(call.complete);
    BOOST_TEST(call.answer == "hello");
    run_until([&] { return it.ended.has_value(); });
    BOOST_TEST((it.end == tunnel_end::target_closed));
}

BOOST_AUTO_TEST_CASE(gets_a_large_answer_byte_for_byte)
{
    auto const size = 9 * mebibyte;
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{"HTTP/1.1 200 OK\r\n\r\n",
                                                   "0123456789abcdef", size,
                                                   answer_end::closed};
                             }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST(call.complete);
    BOOST_TEST(call.answer.size() + 19 >= size);
    for (auto i = std::size_t{0}; i < call.answer.size(); ++i)
    {
        BOOST_REQUIRE(call.answer[i] == "0123456789abcdef"[i % 16]);
    }
}

BOOST_AUTO_TEST_CASE(is_truncated_if_the_target_resets_an_answer_without_length)
{
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{answer_without_length, "", 0, answer_end::reset};
        }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST(!call.complete);
    BOOST_REQUIRE(call.error);
    BOOST_TEST((*call.error == call_error::truncated ||
                *call.error == call_error::closed_unanswered));
    run_until([&] { return it.ended.has_value(); });
    BOOST_TEST((it.end == tunnel_end::target_failed));
}

BOOST_AUTO_TEST_CASE(is_truncated_if_the_helper_dies_in_its_answer)
{
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{answer_without_length, "", 0,
                                                   answer_end::stays_open};
                             }};
    auto it = std::make_unique<helper>(loop);
    it->targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it->route("t")};
    run_until([&] { return call.answer == "hello"; });
    it.reset();
    run_until([&] { return call.over(); });
    BOOST_TEST(!call.complete);
    BOOST_TEST((call.error == call_error::truncated));
}

BOOST_AUTO_TEST_CASE(is_unanswered_if_the_helper_dies_before)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = std::make_unique<helper>(loop);
    it->targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it->route("t")};
    run_until([&] { return target.runs() == 1; });
    it.reset();
    run_until([&] { return call.over(); });
    BOOST_TEST((call.error == call_error::closed_unanswered));
    BOOST_TEST(!call.refusal);
}

BOOST_AUTO_TEST_CASE(reaches_the_target_with_its_cancellation)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return target.runs() == 1; });
    BOOST_TEST(call.call->may_have_sent());
    call.call.reset();
    run_until([&] { return target.closed_by_peer() == 1; });
    BOOST_TEST(it.server.open() == 0U);
    BOOST_TEST(it.closed == it.admitted);
}

BOOST_AUTO_TEST_CASE(is_not_sent_while_the_target_has_not_taken_the_tunnel)
{
    auto target = standins::full_listener{};
    auto limits = tunnel_limits{};
    limits.connect_timeout = 100ms;
    auto it = helper{loop, limits};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST((call.refusal == tunnel_refusal::target_timed_out));
    BOOST_TEST((call.error == call_error::not_connected));
    BOOST_TEST(!call.connected);
    BOOST_TEST(!call.refused_directly);
    BOOST_TEST(!call.call->may_have_sent());
    BOOST_TEST(it.closed == it.admitted);
}

BOOST_AUTO_TEST_CASE(waits_no_longer_for_the_tunnel_than_for_a_connection)
{
    auto target = standins::full_listener{};
    auto limits = tunnel_limits{};
    limits.connect_timeout = patience;
    auto it = helper{loop, limits};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t"), {}, 100ms};
    run_until([&] { return call.over(); });
    BOOST_TEST((call.refusal == tunnel_refusal::no_answer));
    BOOST_TEST((call.error == call_error::not_connected));
    // The helper gives the target up with it.
    run_until([&] { return it.closed == 1; });
}

BOOST_AUTO_TEST_CASE(is_refused_by_a_target_that_has_ended)
{
    auto it = helper{loop};
    {
        auto const gone = raw_target{loop, [](std::string const&)
                                     {
                                         return raw_answer{};
                                     }};
        it.targets[target_id{"t"}] = {local.address, gone.port()};
    }
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST((call.refusal == tunnel_refusal::target_refused));
    BOOST_TEST((call.error == call_error::not_connected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_does_not_help)

BOOST_AUTO_TEST_CASE(is_not_sent_where_the_target_is_not_listed)
{
    auto it = helper{loop};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST((call.refusal == tunnel_refusal::not_listed));
    BOOST_TEST((call.error == call_error::not_connected));
    BOOST_TEST(it.admitted == 0);
}

BOOST_AUTO_TEST_CASE(is_not_sent_where_too_many_tunnels_are_open)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.capacity = 1;
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto first = tunnelled_call{loop, it.route("t")};
    run_until([&] { return target.runs() == 1; });
    auto second = tunnelled_call{loop, it.route("t")};
    run_until([&] { return second.over(); });
    BOOST_TEST((second.refusal == tunnel_refusal::no_capacity));
    BOOST_TEST(it.server.open() == 1U);
    first.call.reset();
    run_until([&] { return it.server.open() == 0U; });
    auto third = tunnelled_call{loop, it.route("t")};
    run_until([&] { return target.runs() == 2; });
    BOOST_TEST(third.connected);
}

BOOST_AUTO_TEST_CASE(is_not_sent_where_the_helper_has_ended)
{
    auto route = http1::tunnel_route{};
    {
        auto const gone = helper{loop};
        route = gone.route("t");
    }
    auto call = tunnelled_call{loop, route};
    run_until([&] { return call.over(); });
    BOOST_TEST((call.refusal == tunnel_refusal::helper_unreachable));
    BOOST_TEST((call.error == call_error::not_connected));
    BOOST_TEST(!call.refused_directly);
}

BOOST_AUTO_TEST_CASE(is_not_sent_where_the_helper_answers_with_something_else)
{
    for (auto const* const bytes :
         {"HTTP/1.1 418 Odd\r\n\r\n", "odd\r\n\r\n", ""})
    {
        auto const it = answer_of_raw_helper(bytes, answer_end::closed);
        BOOST_TEST((it->refusal == tunnel_refusal::helper_unreachable));
        BOOST_TEST((it->error == call_error::not_connected));
        BOOST_TEST(!it->connected);
    }
    auto const it =
        answer_of_raw_helper(std::string(2000, 'x'), answer_end::stays_open);
    BOOST_TEST((it->refusal == tunnel_refusal::helper_unreachable));
}

BOOST_AUTO_TEST_CASE(is_broken_where_the_frames_are_none)
{
    auto const opened = http1::write_connect_answer(std::nullopt);
    auto const early =
        answer_of_raw_helper(opened + sized_answer, answer_end::stays_open);
    BOOST_TEST((early->error == call_error::closed_unanswered));
    auto const midway = answer_of_raw_helper(
        opened + http1::write_frame_head(answer_without_length.size()) +
            answer_without_length + "\xff\xff\xff\xff",
        answer_end::stays_open);
    BOOST_TEST(midway->answer == "hello");
    BOOST_TEST((midway->error == call_error::truncated));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_bytes_are_split_anywhere)

BOOST_AUTO_TEST_CASE(is_read_by_the_helper_as_a_whole)
{
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{sized_answer, "", 0, answer_end::closed};
        }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto const bytes = http1::write_connect(target_id{"t"}) +
                       "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    auto const host = raw_host{it.port};
    for (auto const c : bytes)
    {
        BOOST_REQUIRE(host.send({c}) == 1U);
        auto const tick = loop.after(1ms, [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    auto answer = std::string{};
    run_until(
        [&]
        {
            answer += host.receive();
            return host.at_end();
        });
    auto const expected = http1::write_connect_answer(std::nullopt) +
                          http1::write_frame_head(sized_answer.size()) +
                          sized_answer + http1::write_frame_head(0);
    BOOST_TEST(answer == expected);
}

BOOST_AUTO_TEST_CASE(is_dropped_by_the_helper_if_its_head_has_no_end)
{
    auto limits = tunnel_limits{};
    limits.head_timeout = 100ms;
    auto it = helper{loop, limits};
    auto const slow = raw_host{it.port};
    slow.send("CONNECT t");
    auto const long_winded = raw_host{it.port};
    long_winded.send(std::string(4096, 'x'));
    run_until([&] { return slow.at_end(); });
    // A reset or an end: its bytes were not read.
    run_until([&] { return long_winded.send("x") == 0; });
    BOOST_TEST(it.admitted == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_host_cannot_reach_its_helper)

BOOST_AUTO_TEST_CASE(ran_on_at_its_target_after_its_host_was_cut_off)
{
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return raw_answer{answer_without_length, "", 0,
                                                   answer_end::stays_open};
                             }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto link = standins::cuttable_link{loop, {local.address, it.port}};
    auto route = it.route("t");
    route.helper.port = link.port();
    auto call = tunnelled_call{loop, route};
    run_until([&] { return call.answer == "hello"; });
    link.cut();
    call.call.reset();
    run_until([&] { return target.closed_by_peer() == 1; });
    BOOST_TEST(it.server.open() == 0U);
    BOOST_TEST(it.closed == it.admitted);
    BOOST_TEST((it.end == tunnel_end::host_silent));
}

BOOST_AUTO_TEST_CASE(may_run_on_until_the_lease_of_its_helper_has_ended)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto link = standins::cuttable_link{loop, {local.address, it.port}};
    auto route = it.route("t");
    route.helper.port = link.port();
    auto call = tunnelled_call{loop, route};
    BOOST_TEST(!call.call->may_run_until());
    run_until([&] { return target.runs() == 1; });
    auto const cut_at = net::event_loop::now();
    link.cut();
    run_until([&] { return call.call->may_run_until().has_value(); });
    BOOST_TEST((*call.call->may_run_until() > cut_at));
    link.cut_with_reset();
    run_until([&] { return call.over(); });
    BOOST_TEST(call.call->may_run_until().has_value());
}

BOOST_AUTO_TEST_CASE(runs_no_longer_than_its_connection_to_a_helper_that_ended)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = std::make_unique<helper>(loop);
    it->targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it->route("t")};
    run_until([&] { return target.runs() == 1; });
    it.reset();
    run_until([&] { return call.over(); });
    BOOST_TEST(!call.call->may_run_until());
}

BOOST_AUTO_TEST_CASE(is_kept_while_its_host_renews_the_lease)
{
    constexpr auto lease = duration{2s};
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
                              "",
                              0,
                              answer_end::stays_open,
                              "hello",
                              lease + lease};
        }};
    auto limits = tunnel_limits{};
    limits.lease = lease;
    auto it = helper{loop, limits};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call = tunnelled_call{loop, it.route("t")};
    run_until([&] { return call.over(); });
    BOOST_TEST(call.complete);
    BOOST_TEST(call.answer == "hello");
}

BOOST_AUTO_TEST_CASE(may_run_on_after_its_whole_answer_has_come)
{
    auto const opened = http1::write_connect_answer(std::nullopt, true);
    // Longer than the first renewal, which this helper does not acknowledge.
    constexpr auto pause = 2 * http1::lease_renewal_period;
    auto at = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{
                opened,
                "",
                0,
                answer_end::stays_open,
                http1::write_frames(
                    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                pause};
        }};
    auto call = tunnelled_call{
        loop,
        http1::tunnel_route{{local.address, at.port()}, target_id{"t"}, true}};
    run_until([&] { return call.over(); });
    BOOST_REQUIRE(call.complete);
    BOOST_TEST(!call.call->may_run_until());
}

BOOST_AUTO_TEST_CASE(is_kept_for_a_host_that_knows_no_leases)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{
                           "", "", 0, answer_end::stays_open, "hello", 300ms};
                   }};
    auto limits = tunnel_limits{};
    limits.lease = 50ms;
    auto it = helper{loop, limits};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto const host = raw_host{it.port};
    host.send(http1::write_connect(target_id{"t"}) + "GET /a HTTP/1.1\r\n\r\n");
    auto got = std::string{};
    run_until(
        [&]
        {
            got += host.receive();
            return got.ends_with("hello");
        });
    BOOST_TEST(!http1::names_lease(got));
}

BOOST_AUTO_TEST_CASE(is_sent_as_it_is_to_a_helper_that_knows_no_leases)
{
    auto request = std::string{};
    auto at = raw_target{loop, [&](std::string const& head)
                         {
                             request += head;
                             return raw_answer{"HTTP/1.1 200 OK\r\n\r\n", "", 0,
                                               answer_end::stays_open};
                         }};
    auto call = tunnelled_call{
        loop,
        http1::tunnel_route{{local.address, at.port()}, target_id{"t"}, true}};
    run_until([&] { return call.connected; });
    BOOST_TEST(http1::names_lease(request));
    BOOST_TEST(!call.call->may_run_until());
}

BOOST_AUTO_TEST_CASE(is_dropped_by_the_helper_if_its_frames_are_none)
{
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto const host = raw_host{it.port};
    host.send(http1::write_connect(target_id{"t"}, true) +
              "GET /a HTTP/1.1\r\n\r\n");
    run_until([&] { return it.closed == 1; });
    BOOST_TEST(target.runs() == 0);
    BOOST_TEST((it.end == tunnel_end::host_failed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_a_slow_reader)

BOOST_AUTO_TEST_CASE(holds_up_the_target_while_the_host_does_not_read)
{
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'),
                              endless, answer_end::stays_open};
        }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto const host = raw_host{it.port};
    host.send(http1::write_connect(target_id{"t"}) + "GET /a HTTP/1.1\r\n\r\n");
    run_until([&] { return target.runs() == 1; });
    wait_for_stall([&] { return target.sent(); });
    BOOST_TEST(target.sent() > 0U);
    BOOST_TEST(target.sent() < kernel_buffers + helper_buffers);
    // It is not lost either.
    auto const before = target.sent();
    auto got = std::size_t{0};
    run_until(
        [&]
        {
            while (auto const n = host.receive().size())
            {
                got += n;
            }
            return got > mebibyte && target.sent() > before;
        });
}

BOOST_AUTO_TEST_CASE(gets_no_more_of_an_answer_than_the_share_of_tunnels)
{
    constexpr auto bytes_per_second = 1e6;
    constexpr auto burst = 2 * bytes_per_second / 10;
    auto target = raw_target{
        loop, [&](std::string const&)
        {
            return raw_answer{"HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'),
                              endless, answer_end::stays_open};
        }};
    auto it = helper{loop};
    it.server.limit_rate(bytes_per_second);
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto const begun_at = net::event_loop::now();
    auto call = tunnelled_call{loop, it.route("t")};
    constexpr auto enough = std::size_t{400'000};
    run_until([&] { return call.answer.size() > enough; });
    auto const took = to_seconds(net::event_loop::now() - begun_at);
    BOOST_TEST(static_cast<double>(call.answer.size()) <=
               bytes_per_second * took + burst);
}

BOOST_AUTO_TEST_CASE(lost_its_lease_while_the_target_took_its_body_slowly)
{
    // Takes longer than a lease for each half of the helper's buffer.
    constexpr auto bytes_per_second = 5e4;
    constexpr auto body_bytes = std::size_t{100'000};
    auto target =
        raw_target{loop, [&](std::string const&)
                   {
                       return raw_answer{"", "", 0, answer_end::stays_open};
                   }};
    auto it = helper{loop};
    it.server.limit_rate(bytes_per_second);
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto call =
        tunnelled_call{loop, it.route("t"), std::string(body_bytes, 'x')};
    auto const begun_at = net::event_loop::now();
    constexpr auto all_sent = duration{3s};
    run_until(
        [&] { return it.end || net::event_loop::now() > begun_at + all_sent; });
    BOOST_TEST(!call.over());
    BOOST_TEST(!it.end);
}

BOOST_AUTO_TEST_CASE(holds_up_the_host_while_the_target_does_not_read)
{
    // Nobody accepts its connections; the kernel does.
    auto const fd = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = net::to_sockaddr(local);
    BOOST_REQUIRE(
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    BOOST_REQUIRE(::listen(fd, 1) == 0);
    auto n = socklen_t{sizeof address};
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, ntohs(address.sin_port)};
    auto const host = raw_host{it.port};
    auto sent = host.send(http1::write_connect(target_id{"t"}));
    run_until([&] { return it.opened == 1; });
    auto const bytes = std::string(65536, 'x');
    wait_for_stall(
        [&]
        {
            while (auto const more = host.send(bytes))
            {
                sent += more;
                BOOST_REQUIRE(sent < endless);
            }
            return sent;
        });
    BOOST_TEST(sent < kernel_buffers + helper_buffers);
    ::close(fd);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_path_is_probed)

BOOST_AUTO_TEST_CASE(goes_the_same_way_as_its_probe)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return raw_answer{};
                             }};
    auto it = helper{loop};
    it.targets[target_id{"t"}] = {local.address, target.port()};
    auto prober = connect_prober{loop};
    auto direct_answers = 0;
    prober.on_answered = [&]
    {
        ++direct_answers;
    };
    auto results = std::vector<bool>{};
    auto const note = [&](bool alive)
    {
        results.push_back(alive);
    };
    // Nobody listens at the first address.
    auto const nobody = net::endpoint{"127.0.0.1", 1};
    prober.probe(nobody, note, it.route("t"));
    prober.probe(nobody, note, it.route("t"));
    run_until([&] { return results.size() == 2U; });
    BOOST_TEST(results[0]);
    BOOST_TEST(results[1]);
    BOOST_TEST(it.opened == 1);
    BOOST_TEST(direct_answers == 0);
    prober.probe(nobody, note);
    run_until([&] { return results.size() == 3U; });
    BOOST_TEST(!results[2]);
    BOOST_TEST(direct_answers == 1);
    // What a helper cannot tell is not held against the target.
    prober.probe(nobody, note, it.route("unlisted"));
    run_until([&] { return results.size() == 4U; });
    BOOST_TEST(results[3]);
    it.targets[target_id{"gone"}] = nobody;
    prober.probe(nobody, note, it.route("gone"));
    run_until([&] { return results.size() == 5U; });
    BOOST_TEST(!results[4]);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
