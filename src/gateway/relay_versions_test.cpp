#include "gateway/relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

// Streams at targets of two software versions.
namespace primrosedeal::gateway
{

namespace
{

using standins::answer_end;
using standins::raw_target;

auto const v0 = software_version{"v0"};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};
auto const began = request_id{"began"};
constexpr auto bad_gateway = 502;
constexpr auto unavailable = 503;

/// Headers of a request that takes up the stream of `began`.
auto taking_up(int last_event) -> http1::header_list
{
    return {{std::string{platform::names::resumes}, began.value()},
            {std::string{platform::names::last_event_id},
             std::to_string(last_event)}};
}

auto rejection() -> standins::raw_answer
{
    return {"HTTP/1.1 503 Service Unavailable\r\n" +
                std::string{platform::names::not_executed} +
                ": 1\r\nContent-Length: 0\r\n\r\n",
            {},
            0,
            answer_end::closed};
}

/// A target of each version; the one of `v1` breaks the streams that it begins.
struct two_versions : one_host
{
    two_versions()
    {
        host.origins_complete = true;
    }

    void list_both()
    {
        list("old", "a", breaking.port(), v1);
        list("new", "b", sound.port(), v2);
    }

    void record(software_version const& version)
    {
        host.origins.record(stream_origin::to_stream_id(began),
                            {service, version}, net::event_loop::now());
    }

    /// Status of the answer; zero if it was streamed.
    auto ask(http1::header_list const& headers,
             std::string const& path = "/stream/") -> int
    {
        send(path, client, headers);
        run_until([&] { return client.over(); });
        return client.reply ? client.reply->status : 0;
    }

    client_view client;
    raw_target breaking{loop, [](std::string const&)
                        {
                            return answer_of(event(1), answer_end::reset);
                        }};
    /// Ends each stream before its first event.
    raw_target silent{loop, [](std::string const&)
                      {
                          return answer_of("", answer_end::reset);
                      }};
    /// Runs nothing.
    raw_target full{loop, [](std::string const&)
                    {
                        return rejection();
                    }};
    raw_target sound{loop, [](std::string const&)
                     {
                         return answer_of(event(2) + event(3),
                                          answer_end::closed);
                     }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_stream_that_breaks)

BOOST_FIXTURE_TEST_CASE(goes_on_at_its_version_in_the_same_answer, two_versions)
{
    list("old", "a", breaking.port(), v1);
    send("/stream/", client);
    run_until([&] { return client.started; });
    // It breaks at its target, which has answered its one request.
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    list("same", "b", sound.port(), v1);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.finished);
    BOOST_TEST(client.body == event(1) + event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(ends_at_once_if_only_another_version_is_left,
                        two_versions)
{
    list("old", "a", breaking.port(), v1);
    send("/stream/", client);
    run_until([&] { return client.started; });
    list("new", "b", sound.port(), v2);
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    run_until([&] { return client.over(); });
    BOOST_TEST(client.aborted);
    BOOST_TEST(client.body == event(1));
    BOOST_TEST(sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(may_begin_at_another_version_before_its_first_event,
                        two_versions)
{
    list("old", "a", silent.port(), v1);
    send("/stream/", client);
    run_until([&] { return silent.runs() > 0; });
    list("new", "b", sound.port(), v2);
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    run_until([&] { return client.over(); });
    BOOST_TEST(host.origins.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(stays_at_its_version_before_its_first_event,
                        two_versions)
{
    list("old", "a", silent.port(), v1);
    send("/stream/", client);
    run_until([&] { return silent.runs() > 0; });
    for (auto const* const id : {"n1", "n2", "n3", "n4", "n5", "n6"})
    {
        list(id, "b", breaking.port(), v2);
    }
    list("same", "b", sound.port(), v1);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.body == event(2) + event(3));
    BOOST_TEST(breaking.runs() == 0);
}

// A host that had heard only of the first attempt went on with such a stream at
// its version.
BOOST_FIXTURE_TEST_CASE(begins_at_no_other_version_than_other_hosts_may_know,
                        two_versions)
{
    list("old", "a", silent.port(), v1);
    send("/stream/", client);
    run_until([&] { return silent.runs() > 0; });
    // A digest is sent.
    auto const report = host.origins.report(net::event_loop::now());
    BOOST_REQUIRE(report.size() == 1U);
    BOOST_TEST((report.front().version == v1));
    list("new", "b", sound.port(), v2);
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    run_until([&] { return client.over(); });
    BOOST_TEST(sound.runs() == 0);
    // Its client may begin it anew.
    BOOST_REQUIRE(client.reply.has_value());
    BOOST_TEST(client.reply->status == bad_gateway);
}

BOOST_FIXTURE_TEST_CASE(
    is_refused_if_it_was_not_run_and_others_know_its_version, two_versions)
{
    list("old", "a", full.port(), v1);
    send("/stream/", client);
    run_until([&] { return full.runs() > 0; });
    BOOST_REQUIRE(host.origins.report(net::event_loop::now()).size() == 1U);
    list("new", "b", sound.port(), v2);
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    run_until([&] { return client.over(); });
    BOOST_TEST(sound.runs() == 0);
    BOOST_REQUIRE(client.reply.has_value());
    BOOST_TEST(client.reply->status == unavailable);
}

BOOST_FIXTURE_TEST_CASE(goes_on_at_the_version_that_others_know_before_an_event,
                        two_versions)
{
    list("old", "a", silent.port(), v1);
    send("/stream/", client);
    run_until([&] { return silent.runs() > 0; });
    BOOST_REQUIRE(host.origins.report(net::event_loop::now()).size() == 1U);
    list("new", "b", breaking.port(), v2);
    list("same", "b", sound.port(), v1);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.body == event(2) + event(3));
    BOOST_TEST(breaking.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(does_not_begin_at_a_version_without_a_record,
                        two_versions)
{
    list_both();
    host.served_versions.apply(service, stream_origin::version_set{v2});
    BOOST_TEST(ask({}) == 0);
    BOOST_TEST(client.body == event(2) + event(3));
    BOOST_TEST(breaking.runs() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_that_its_client_takes_up)

BOOST_FIXTURE_TEST_CASE(goes_on_at_the_version_that_another_host_reported,
                        two_versions)
{
    list_both();
    host.origins.merge(
        {stream_origin::to_stream_id(began), v2, net::event_loop::now(), {}},
        net::event_loop::now());
    BOOST_TEST(ask(taking_up(1)) == 0);
    BOOST_TEST(client.finished);
    BOOST_TEST(client.body == event(2) + event(3));
    BOOST_TEST(breaking.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(is_refused_at_once_if_its_version_has_gone,
                        two_versions)
{
    list_both();
    record(v0);
    host.served_versions.apply(service, stream_origin::version_set{v0, v1, v2});
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    // It is to begin anew, not to come again.
    BOOST_TEST(!net::find_header(client.reply->headers, "Retry-After"));
    BOOST_TEST(client.body == R"({"error":"version_gone"})");
    BOOST_TEST(breaking.runs() + sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(may_come_again_if_its_version_has_not_been_heard_of,
                        two_versions)
{
    list_both();
    record(v0);
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
    host.served_versions.apply(service, stream_origin::version_set{v0, v1, v2});
    host.list_is_current = false;
    client = {};
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
    BOOST_TEST(breaking.runs() + sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(of_unknown_origin_goes_on_only_beside_one_version,
                        two_versions)
{
    list("new", "b", sound.port(), v2);
    BOOST_TEST(ask(taking_up(1)) == 0);
    BOOST_TEST(client.body == event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(of_unknown_origin_is_refused_beside_several_versions,
                        two_versions)
{
    list_both();
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(client.body == R"({"error":"version_unknown"})");
    BOOST_TEST(!net::find_header(client.reply->headers, "Retry-After"));
    BOOST_TEST(breaking.runs() + sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(of_unknown_origin_is_refused_after_another_version_left,
                        two_versions)
{
    list_both();
    host.targets.handle(directory::entry_removed{target_id{"old"}},
                        net::event_loop::now());
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(client.body == R"({"error":"version_unknown"})");
    BOOST_TEST(sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(
    of_unknown_origin_is_refused_where_the_other_version_was_never_seen,
    two_versions)
{
    list("new", "b", sound.port(), v2);
    host.served_versions.apply(service, stream_origin::version_set{v1, v2});
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(client.body == R"({"error":"version_unknown"})");
    BOOST_TEST(sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(
    of_unknown_origin_may_come_again_where_targets_may_be_unknown, two_versions)
{
    list("new", "b", sound.port(), v2);
    host.list_is_current = false;
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
    BOOST_TEST(sound.runs() == 0);
}

// All hosts were lost while the store came back from a copy without the other
// version: streams that it had begun went on at this one.
BOOST_FIXTURE_TEST_CASE(
    of_unknown_origin_comes_again_once_the_restored_record_is_confirmed,
    two_versions)
{
    list("new", "b", sound.port(), v2);
    auto view = stream_origin::record_view{};
    view.era = external::store_era{2};
    view.contact = duration{};
    host.record_confirmation.observe(view, net::event_loop::now());
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(client.body == R"({"error":"version_unknown"})");
    auto const after = net::find_header(client.reply->headers, "Retry-After");
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST(std::stod(std::string{*after}) > 2.0);
    BOOST_TEST(sound.runs() == 0);
    host.record_confirmation.apply(external::store_era{2});
    client = {};
    BOOST_TEST(ask(taking_up(1)) == 0);
    BOOST_TEST(client.body == event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(
    of_unknown_origin_is_refused_where_another_version_has_not_been_heard_of,
    two_versions)
{
    list("new", "b", sound.port(), v2);
    for (auto const& it : {stream_origin::version_set{v1, v2},
                           {v1},
                           stream_origin::version_set{}})
    {
        stored = it;
        client = {};
        BOOST_TEST(ask(taking_up(1)) == unavailable);
        BOOST_TEST(client.body == R"({"error":"version_unknown"})");
        BOOST_TEST(
            net::find_header(client.reply->headers, "Retry-After").has_value());
    }
    BOOST_TEST(sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(goes_on_at_its_version_that_is_reported_meanwhile,
                        two_versions)
{
    list("new", "b", sound.port(), v2);
    stored = stream_origin::version_set{v1, v2};
    send("/stream/", client, taking_up(1));
    record(v2);
    run_until([&] { return client.over(); });
    BOOST_TEST(client.body == event(2) + event(3));
}

BOOST_FIXTURE_TEST_CASE(may_come_again_while_its_host_learns_of_streams,
                        two_versions)
{
    list_both();
    host.origins_complete = false;
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stream_of_a_split_route_that_its_client_takes_up)

namespace
{

/// Targets of both services of the route. Nearly all new streams begin at the
/// other service, whose target counts its runs.
struct two_services : two_versions
{
    two_services()
    {
        list("own", "a", sound.port(), v1);
        list("other", "b", breaking.port(), v1, other_service);
    }

    void begin_at(service_id const& at)
    {
        host.origins.record(stream_origin::to_stream_id(began), {at, v1},
                            net::event_loop::now());
    }
};

} // namespace

// Its service was drawn anew by the weights, and had no target of its version.
BOOST_FIXTURE_TEST_CASE(goes_on_at_the_service_that_began_it, two_services)
{
    begin_at(service);
    constexpr auto requests = 8;
    for (auto i = 0; i < requests; ++i)
    {
        client = {};
        BOOST_TEST(ask(taking_up(1), "/split/") == 0);
        BOOST_TEST(client.body == event(2) + event(3));
    }
    BOOST_TEST(breaking.runs() == 0);
}

// After the loss of all hosts such streams went on at either service.
BOOST_FIXTURE_TEST_CASE(is_refused_if_no_record_tells_its_service, two_services)
{
    constexpr auto requests = 8;
    for (auto i = 0; i < requests; ++i)
    {
        client = {};
        BOOST_TEST(ask(taking_up(1), "/split/") == unavailable);
        BOOST_TEST(client.body == R"({"error":"service_unknown"})");
        BOOST_TEST(!net::find_header(client.reply->headers, "Retry-After"));
    }
    // The route may have moved to its only service just before.
    client = {};
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(breaking.runs() + sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(may_come_again_while_its_host_learns_of_services,
                        two_services)
{
    host.origins_complete = false;
    BOOST_TEST(ask(taking_up(1), "/split/") == unavailable);
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
}

BOOST_FIXTURE_TEST_CASE(is_refused_if_its_route_has_left_the_service,
                        two_services)
{
    begin_at(other_service);
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    // It is to begin anew, not to come again.
    BOOST_TEST(client.body == R"({"error":"service_gone"})");
    BOOST_TEST(!net::find_header(client.reply->headers, "Retry-After"));
    BOOST_TEST(breaking.runs() + sound.runs() == 0);
}

BOOST_FIXTURE_TEST_CASE(
    is_refused_if_the_store_has_a_service_that_is_unknown_here, two_versions)
{
    list("own", "a", sound.port(), v1);
    host.read_versions =
        [this](service_id const&, stream_origin::record_handler done)
    {
        loop.post(
            [done = std::move(done)] {
                done({{service, {v1}}, {other_service, {v1}}});
            });
    };
    BOOST_TEST(ask(taking_up(1)) == unavailable);
    BOOST_TEST(client.body == R"({"error":"version_unknown"})");
    BOOST_TEST(
        net::find_header(client.reply->headers, "Retry-After").has_value());
    BOOST_TEST(sound.runs() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
