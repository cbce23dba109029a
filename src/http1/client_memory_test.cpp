#include "http1/server.hpp"
#include "memory/budget.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Connections of a server whose memory for clients is bounded.
namespace primrosedeal::http1
{

namespace
{

constexpr auto kibibyte = std::size_t{1} << 10U;
constexpr auto mebibyte = std::size_t{1} << 20U;
/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};

class socket_client
{
public:
    explicit socket_client(std::uint16_t port)
        : fd_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto to = sockaddr_in{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(
            ::connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    }

    socket_client(socket_client const&) = delete;
    auto operator=(socket_client const&) -> socket_client& = delete;

    ~socket_client()
    {
        ::close(fd_);
    }

    /// Sends as much as the server takes now.
    void send(std::string_view bytes)
    {
        unsent_ += bytes;
        auto const n = ::send(fd_, unsent_.data(), unsent_.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
        unsent_.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
    }

    /// Everything received so far.
    auto received() -> std::string const&
    {
        send({});
        char buf[65536];
        for (auto n = ssize_t{1}; n > 0;)
        {
            n = ::recv(fd_, buf, sizeof buf, MSG_DONTWAIT);
            received_.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return received_;
    }

private:
    int fd_;
    std::string unsent_;
    std::string received_;
};

auto head(std::size_t body) -> std::string
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(body) + "\r\n\r\n";
}

struct bounded_server
{
    bounded_server()
    {
        net::initialise_process();
        auto limits = server_limits{};
        limits.sizes = parse_limits{16 * kibibyte, mebibyte};
        limits.memory = memory::budget{};
        limits.memory->bodies = mebibyte + mebibyte / 2;
        limits.memory->small_requests = mebibyte;
        it.set_limits(limits);
        it.on_memory([this](memory_event const& event)
                     { events.emplace_back(event.what); });
        port = it.listen({"127.0.0.1", 0});
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

    void run_until_answered(socket_client& client, std::string_view status)
    {
        run_until(
            [&]
            { return client.received().find(status) != std::string::npos; });
    }

    net::event_loop loop;
    std::vector<std::string> events;
    std::vector<std::size_t> bodies;
    std::function<void(std::shared_ptr<exchange>)> answer =
        [](std::shared_ptr<exchange> const& from)
    {
        from->reply({200, {}}, "yes", false);
    };
    server it{loop, [this](request const& message,
                           std::shared_ptr<exchange> const& from)
              {
                  bodies.push_back(message.body.size());
                  answer(from);
              }};
    std::uint16_t port = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_server_whose_memory_is_bounded, bounded_server)

// A body that stopped short of its end kept its room from all others.
BOOST_AUTO_TEST_CASE(gives_the_room_of_a_stalled_body_to_one_that_waits)
{
    auto stalled = socket_client{port};
    stalled.send(head(mebibyte) + std::string(mebibyte / 2, 'x'));
    auto waiting = socket_client{port};
    waiting.send(head(mebibyte) + std::string(mebibyte, 'x'));
    run_until([&] { return !events.empty(); });
    BOOST_TEST(events.front() == "paused");
    auto ordinary = socket_client{port};
    ordinary.send(head(20 * kibibyte) + std::string(20 * kibibyte, 'x'));
    run_until_answered(ordinary, "200");
    run_until_answered(stalled, "408");
    run_until_answered(waiting, "200");
    BOOST_TEST((bodies == std::vector<std::size_t>{20 * kibibyte, mebibyte}));
}

// A request that is told 503 must not have run.
BOOST_AUTO_TEST_CASE(rejects_what_finds_no_room_and_hands_it_not_over)
{
    auto held = std::shared_ptr<exchange>{};
    answer = [&](std::shared_ptr<exchange> from)
    {
        held = std::move(from);
    };
    auto first = socket_client{port};
    first.send(head(mebibyte) + std::string(mebibyte, 'x'));
    run_until(
        [&]
        {
            first.send({});
            return held != nullptr;
        });
    auto second = socket_client{port};
    second.send(head(mebibyte) + std::string(mebibyte, 'x'));
    run_until_answered(second, "503");
    BOOST_TEST(second.received().find("Retry-After: ") != std::string::npos);
    BOOST_TEST(bodies.size() == 1U);
    held->reply({200, {}}, "yes", false);
    run_until_answered(first, "200");
}

// A client that asks first sent a body for which there was no room.
BOOST_AUTO_TEST_CASE(asks_for_no_body_that_finds_no_room)
{
    auto stalled = socket_client{port};
    stalled.send(head(mebibyte) + std::string(mebibyte / 2, 'x'));
    run_until([&] { return it.connections() == 1; });
    auto const asking = "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue"
                        "\r\nContent-Length: " +
                        std::to_string(mebibyte) + "\r\n\r\n";
    auto waiting = socket_client{port};
    waiting.send(asking);
    run_until([&] { return !events.empty(); });
    BOOST_TEST(waiting.received().empty());
    run_until_answered(waiting, "100 Continue");
    BOOST_TEST(events.back() == "closed");
    waiting.send(std::string(mebibyte, 'x'));
    run_until_answered(waiting, "200");
}

// A target sent all of its answer for a client that did not read.
BOOST_AUTO_TEST_CASE(stops_the_sender_of_an_answer_that_is_not_read)
{
    auto told = std::vector<bool>{};
    auto sender = std::shared_ptr<exchange>{};
    answer = [&](std::shared_ptr<exchange> const& from)
    {
        sender = from;
        from->on_flow([&](bool stopped) { told.push_back(stopped); });
        from->start({200, {}});
    };
    auto slow = socket_client{port};
    slow.send(head(1) + "x");
    run_until([&] { return sender != nullptr; });
    constexpr auto pieces = 40;
    for (auto i = 0; i < pieces && told.empty(); ++i)
    {
        sender->send(std::string(mebibyte / 4, 'x'));
    }
    BOOST_REQUIRE((told == std::vector<bool>{true}));
    run_until(
        [&]
        {
            slow.received();
            return told.size() > 1;
        });
    BOOST_TEST(!told.back());
    sender->finish();
    run_until_answered(slow, "\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::http1
