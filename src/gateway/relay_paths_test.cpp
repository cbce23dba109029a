#include "gateway/path_events.hpp"
#include "gateway/relay_fixture.hpp"
#include "gateway/tunnel_server.hpp"
#include "standins/cuttable_link.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

// Requests of a host that has lost its path to the targets, and of its helper
// on the same loop.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_target;

struct host_without_path : one_host
{
    host_without_path()
    {
        auto it = fleet::digest{};
        it.host = host_id{"helper"};
        it.domain = domain_id{"a"};
        it.sequence = 1;
        host.other_hosts.apply(it, net::event_loop::now());
        host.tunnel_address = [this](host_id const&)
        {
            return std::optional{net::endpoint{"127.0.0.1", helper_port}};
        };
        start_helper();
    }

    /// The target is at `port`; for the host itself it is at `own_port`.
    void list_behind_cut(std::uint16_t port, std::uint16_t own_port)
    {
        target_port = port;
        list("t0", "a", own_port);
        auto const now = net::event_loop::now();
        for (auto const* const id : {"x", "y", "z"})
        {
            host.paths.observe(service, target_id{id}, domain_id{id},
                               reachability::connection_result::refused, now, 3,
                               true, now);
        }
        BOOST_REQUIRE(host.paths.lost(service));
    }

    void start_helper(tunnel_limits limits = {})
    {
        auto events = tunnel_events{};
        events.lookup = [this](target_id const&)
        {
            return std::optional{net::endpoint{"127.0.0.1", target_port}};
        };
        events.admit = []
        {
            return true;
        };
        events.on_closed = [] {
        };
        events.on_opened = [this](target_id const&)
        {
            ++opened;
        };
        helper =
            std::make_unique<tunnel_server>(loop, limits, std::move(events));
        helper_port = helper->listen({"127.0.0.1", 0});
    }

    std::unique_ptr<tunnel_server> helper;
    std::uint16_t helper_port = 0;
    std::uint16_t target_port = 0;
    int opened = 0;
};

/// A port at which nothing listens any more.
auto unused_port(net::event_loop& loop) -> std::uint16_t
{
    return raw_target{loop, {}}.port();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_without_a_path)

BOOST_FIXTURE_TEST_CASE(refused_what_its_helper_could_reach, host_without_path)
{
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 return answer_of(event(1), answer_end::closed);
                             }};
    list_behind_cut(target.port(), unused_port(loop));
    auto client = client_view{};
    send("/stream/", client);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.finished);
    BOOST_TEST(client.body == event(1));
    BOOST_TEST(opened == 1);
    BOOST_TEST(host.open_tunnels.empty());
}

BOOST_FIXTURE_TEST_CASE(lost_a_stream_with_its_helper, host_without_path)
{
    auto target = raw_target{
        loop, [](std::string const& head)
        {
            auto const resumed =
                head.find(std::string{platform::names::last_event_id}) !=
                std::string::npos;
            return resumed ? answer_of(event(2), answer_end::closed)
                           : answer_of(event(1), answer_end::stays_open);
        }};
    list_behind_cut(target.port(), target.port());
    auto client = client_view{};
    send("/stream/", client);
    run_until([&] { return client.started; });
    BOOST_TEST(opened == 1);
    helper.reset();
    run_until([&] { return client.over(); });
    BOOST_TEST(client.finished);
    BOOST_TEST(client.body == event(1) + event(2));
    BOOST_TEST(target.runs() == 2);
    // The direct attempt has found the path again.
    BOOST_TEST(!host.paths.lost(service));
    BOOST_TEST(
        host.helpers.excluded(host_id{"helper"}, net::event_loop::now()));
}

namespace
{

/// The helper is behind a path that can be cut.
struct host_far_from_its_helper : host_without_path
{
    host_far_from_its_helper()
    {
        // Far below what the host counts on, so that late timers of this
        // process decide nothing.
        auto limits = tunnel_limits{};
        limits.lease = 200ms;
        start_helper(limits);
        link.emplace(loop, net::endpoint{"127.0.0.1", helper_port});
        host.tunnel_address =
            [this](host_id const&) -> std::optional<net::endpoint>
        {
            return is_cut ? std::nullopt
                          : std::optional{
                                net::endpoint{"127.0.0.1", link->port()}};
        };
    }

    /// A stream of two events whose first run is at one target through the
    /// helper and does not end. Returns the runs that were open as the second
    /// one began.
    template <class Cut>
    auto runs_at_second_start(Cut const& cut) -> int
    {
        auto open = 0;
        auto runs = 0;
        auto const script = [&](std::string const&)
        {
            if (++runs == 1)
            {
                return answer_of(event(1), answer_end::stays_open);
            }
            // Without this run. Connections of probes ask for nothing.
            open = targets[0]->unfinished() + targets[1]->unfinished() - 1;
            return answer_of(event(2), answer_end::closed);
        };
        for (auto& it : targets)
        {
            it.emplace(loop, script);
        }
        list_behind_cut(targets[0]->port(), targets[0]->port());
        list("t1", "b", targets[1]->port());
        auto client = client_view{};
        send("/stream/", client);
        run_until([&] { return client.started; });
        BOOST_TEST(opened == 1);
        is_cut = true;
        cut();
        run_until([&] { return client.over(); });
        BOOST_TEST(client.finished);
        BOOST_TEST(client.body == event(1) + event(2));
        return open;
    }

    bool is_cut = false;
    std::array<std::optional<raw_target>, 2> targets;
    std::optional<standins::cuttable_link> link;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(went_on_elsewhere_while_its_helper_kept_the_run,
                        host_far_from_its_helper)
{
    BOOST_TEST(runs_at_second_start([this] { link->cut(); }) == 0);
}

BOOST_FIXTURE_TEST_CASE(went_on_elsewhere_as_its_way_to_the_helper_was_reset,
                        host_far_from_its_helper)
{
    BOOST_TEST(runs_at_second_start([this] { link->cut_with_reset(); }) == 0);
}

BOOST_FIXTURE_TEST_CASE(lost_the_answer_of_a_call_with_its_lease,
                        host_without_path)
{
    auto limits = tunnel_limits{};
    limits.lease = 50ms;
    start_helper(limits);
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 auto out = answer_of("", answer_end::closed);
                                 out.rest = "done";
                                 out.pause = 300ms;
                                 return out;
                             }};
    list_behind_cut(target.port(), unused_port(loop));
    auto client = client_view{};
    send("/call/", client);
    run_until([&] { return client.over(); });
    BOOST_REQUIRE(client.reply);
    BOOST_TEST(client.body == "done");
    BOOST_TEST(target.runs() == 1);
}

BOOST_FIXTURE_TEST_CASE(lost_the_last_run_of_a_stream_with_its_lease,
                        host_without_path)
{
    auto configuration = routes::configuration{};
    auto streams = routes::route{};
    streams.host = "h";
    streams.path_prefix = "/once/";
    streams.kind = routes::request_kind::streaming;
    streams.resumable = true;
    streams.timeout = patience;
    streams.objective = 200ms;
    streams.max_attempts = 1;
    streams.split = {{service, 1}};
    configuration.routes = {streams};
    configuration.services = {{service, "/health/", 100, {}}};
    host.table =
        std::make_shared<routes::route_table>(std::move(configuration));
    auto limits = tunnel_limits{};
    limits.lease = 50ms;
    start_helper(limits);
    auto target = raw_target{loop, [](std::string const&)
                             {
                                 auto out =
                                     answer_of(event(1), answer_end::closed);
                                 out.rest = event(2);
                                 out.pause = 300ms;
                                 return out;
                             }};
    list_behind_cut(target.port(), unused_port(loop));
    auto client = client_view{};
    send("/once/", client);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.finished);
    BOOST_TEST(client.body == event(1) + event(2));
}

BOOST_FIXTURE_TEST_CASE(asked_without_end_when_nobody_could_help,
                        host_without_path)
{
    list_behind_cut(unused_port(loop), unused_port(loop));
    helper.reset();
    auto const before = connect_failures();
    auto client = client_view{};
    send("/call/", client);
    run_until([&] { return client.over(); });
    BOOST_REQUIRE(client.reply);
    constexpr auto unavailable = 503;
    BOOST_TEST(client.reply->status == unavailable);
    constexpr auto most = 4;
    BOOST_TEST(connect_failures() - before <= most);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_whose_targets_are_lost)

// Requests went through helpers to targets that were gone, and ended without
// being sent to the others.
BOOST_FIXTURE_TEST_CASE(keeps_its_path_if_others_lost_them_too, one_host)
{
    auto const now = net::event_loop::now();
    auto digest = fleet::digest{};
    digest.host = host_id{"other"};
    digest.sequence = 1;
    host.other_hosts.apply(digest, now);
    auto const observe_refusals = [&](std::string const& prefix)
    {
        for (auto i = 0; i < 8; ++i)
        {
            auto it = directory::listed_target{};
            it.id = target_id{prefix + std::to_string(i)};
            it.service = service;
            it.domain = domain_id{i % 2 == 0 ? "a" : "b"};
            on_direct_connection(
                host, it, reachability::connection_result::refused, now, now);
        }
    };
    list("t0", "a", unused_port(loop));
    list("t1", "b", unused_port(loop));
    for (auto i = 0; i < 8; ++i)
    {
        host.reported_losses.record(target_id{"t" + std::to_string(i)},
                                    digest.host, now);
    }
    observe_refusals("t");
    BOOST_TEST(!host.paths.unreachable(service));
    observe_refusals("u");
    BOOST_TEST(host.paths.lost(service));
}

// A host that is partitioned too reports targets lost that others reach.
BOOST_FIXTURE_TEST_CASE(loses_its_path_beside_others_that_lost_theirs, one_host)
{
    auto const now = net::event_loop::now();
    auto sound = fleet::digest{};
    sound.host = host_id{"sound"};
    sound.sequence = 1;
    host.other_hosts.apply(sound, now);
    auto partitioned = sound;
    partitioned.host = host_id{"partitioned"};
    partitioned.unreachable_services = {service};
    host.other_hosts.apply(partitioned, now);
    list("t0", "a", unused_port(loop));
    for (auto i = 0; i < 4; ++i)
    {
        auto it = directory::listed_target{};
        it.id = target_id{"t" + std::to_string(i)};
        it.service = service;
        it.domain = domain_id{"a"};
        host.reported_losses.record(it.id, partitioned.host, now);
        on_direct_connection(host, it, reachability::connection_result::refused,
                             now, now);
    }
    BOOST_TEST(host.paths.lost(service));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
