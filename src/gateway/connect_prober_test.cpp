#include "gateway/connect_prober.hpp"

#include "net/event_loop.hpp"
#include "standins/full_listener.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <optional>
#include <string>

// Queries of scripted targets over loopback.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;

/// Long enough to be a failure of the test and not of the machine.
constexpr auto patience = duration{20s};

auto const whole_answer =
    std::string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};

struct queries
{
    auto ask(std::uint16_t port, http1::connection_path const& path = {})
        -> query_result
    {
        auto out = std::optional<query_result>{};
        prober.query(
            {"127.0.0.1", port}, {"GET", "/q", {{"Host", "h"}}, {}, false},
            [&](query_result it, http1::response_head const* answer)
            {
                out = it;
                BOOST_TEST((answer == nullptr || it == query_result::answered));
            },
            path);
        BOOST_TEST(!out.has_value());
        auto const end = net::event_loop::now() + patience;
        while (!out && net::event_loop::now() < end)
        {
            auto const tick = loop.after(5ms, [] {});
            event_base_loop(loop.base(), EVLOOP_ONCE);
        }
        BOOST_REQUIRE(out.has_value());
        return *out;
    }

    /// By a helper that answers a CONNECT with `answer`.
    auto ask_helper(std::string const& answer) -> query_result
    {
        auto helper = raw_target{
            loop, [&](std::string const&)
            {
                return raw_answer{answer, {}, 0, answer_end::stays_open};
            }};
        return ask(
            helper.port(),
            http1::tunnel_route{{"127.0.0.1", helper.port()}, target_id{"t"}});
    }

    bool initialised = (net::initialise_process(), true);
    net::event_loop loop;
    connect_prober prober{loop};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_query_of_a_target)

BOOST_FIXTURE_TEST_CASE(tells_whether_its_process_runs, queries)
{
    auto answer = raw_answer{whole_answer, {}, 0, answer_end::closed};
    auto target = raw_target{loop, [&](std::string const&)
                             {
                                 return answer;
                             }};
    BOOST_TEST((ask(target.port()) == query_result::answered));
    // A process that ends a connection runs, too.
    answer = {"x", {}, 0, answer_end::reset};
    BOOST_TEST((ask(target.port()) == query_result::answered));
    answer = {"HTTP", {}, 0, answer_end::stays_open};
    BOOST_TEST((ask(target.port()) == query_result::unanswered));
}

BOOST_FIXTURE_TEST_CASE(took_a_connection_made_by_the_kernel_for_life, queries)
{
    auto target = standins::full_listener{};
    BOOST_TEST((ask(target.port()) == query_result::unreachable));
    target.drain();
    BOOST_TEST((ask(target.port()) == query_result::unanswered));
}

BOOST_FIXTURE_TEST_CASE(through_a_helper_tells_the_same, queries)
{
    auto const open = http1::write_connect_answer(std::nullopt);
    BOOST_TEST((ask_helper(open + http1::write_frames(whole_answer)) ==
                query_result::answered));
    BOOST_TEST((ask_helper(open) == query_result::unanswered));
    using http1::tunnel_refusal;
    BOOST_TEST((ask_helper(http1::write_connect_answer(
                    tunnel_refusal::no_capacity)) == query_result::unanswered));
    BOOST_TEST(
        (ask_helper(http1::write_connect_answer(
             tunnel_refusal::target_timed_out)) == query_result::unreachable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
