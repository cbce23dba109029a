#include "gateway/peer_exchange.hpp"

#include "membership/message.hpp"
#include "standins/free_ports.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::gateway
{

namespace
{

constexpr auto test_limit = duration{5s};

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_with_followers)

BOOST_AUTO_TEST_CASE(survives_a_follower_that_sends_messages)
{
    auto loop = net::event_loop{};
    auto const port = standins::free_ports(loop, "127.0.0.1", 1).front();
    auto const at = net::endpoint{"127.0.0.1", port};
    auto peers =
        peer_exchange{loop,
                      {host_id{"a"}, "secret"},
                      [](external::store_revision) { return peer_state{}; },
                      [](peer_state const&) {
                      }};
    auto greetings = 0;
    peers.set_greeting(
        [&]
        {
            ++greetings;
            return std::string{"hello"};
        });
    peers.listen(at);
    auto const limit = loop.after(test_limit, [&] { loop.stop(); });
    auto follower = std::shared_ptr<membership::session>{};
    auto events = membership::session_events{};
    events.on_ready = [&](host_id const&)
    {
        follower->send("not expected");
        // Closes the link once the host has read what came before.
        follower->send(std::string(membership::max_message_bytes + 1, 'x'));
    };
    events.on_message = [](std::string_view) {
    };
    events.on_closed = [&]
    {
        loop.stop();
    };
    follower = membership::session::dial(loop, at, {host_id{"b"}, "secret"}, {},
                                         std::move(events));
    BOOST_CHECK_NO_THROW(loop.run());
    BOOST_TEST(greetings == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
