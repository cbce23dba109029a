#include "external/backoff.hpp"
#include "external/call_budget.hpp"
#include "external/etcd_client.hpp"
#include "external/etcd_json.hpp"
#include "external/guarded_write.hpp"
#include "external/host_list.hpp"
#include "external/service_health.hpp"
#include "external/weight_store.hpp"

#include "net/http_server.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace primrosedeal;
using namespace primrosedeal::external;

namespace
{

auto at(duration it) -> time_point
{
    return time_point{it};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_call_budget)

BOOST_AUTO_TEST_CASE(lets_its_burst_through_and_then_its_rate)
{
    auto budget = call_budget{{2, 4, 0.25}};
    auto const read = call_purpose::configuration_read;
    for (auto i = 0; i < 4; ++i)
    {
        BOOST_TEST(budget.allow(read, at(0s)));
    }
    BOOST_TEST(!budget.allow(read, at(400ms)));
    BOOST_TEST(budget.allow(read, at(500ms)));
    BOOST_TEST(!budget.allow(read, at(500ms)));
    BOOST_TEST(budget.counters(read).made == 5);
    BOOST_TEST(budget.counters(read).over_budget == 2);
}

BOOST_AUTO_TEST_CASE(keeps_a_part_from_claims_for_leases)
{
    auto budget = call_budget{{2, 4, 0.25}};
    for (auto i = 0; i < 3; ++i)
    {
        BOOST_TEST(budget.allow(call_purpose::claim, at(0s)));
    }
    BOOST_TEST(!budget.allow(call_purpose::claim, at(0s)));
    BOOST_TEST(budget.allow(call_purpose::lease, at(0s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(back_off_is_spread_from_zero_to_the_doubled_base)
{
    auto const ok = rc::check(
        "full jitter",
        []
        {
            auto random = random_source{*rc::gen::arbitrary<std::uint64_t>()};
            auto const tries = *rc::gen::inRange(0U, 80U);
            auto const wait = full_jitter({100ms, 10s}, tries, random);
            auto const doubled = 100e3 * std::pow(2.0, tries);
            RC_ASSERT(wait >= 0us);
            RC_ASSERT(static_cast<double>(wait.count()) <=
                      std::min(doubled, 10e6));
        });
    BOOST_TEST(ok);
    auto random = random_source{1};
    auto sum = duration{};
    for (auto i = 0; i < 1000; ++i)
    {
        sum += full_jitter({100ms, 10s}, 4, random);
    }
    BOOST_TEST((sum / 1000 > 700ms && sum / 1000 < 900ms));
}

BOOST_AUTO_TEST_SUITE(health_of_a_service)

BOOST_AUTO_TEST_CASE(is_down_after_failures_in_a_row_and_up_after_answers)
{
    auto it = service_health{};
    it.on_failure(at(1s));
    it.on_failure(at(2s));
    BOOST_TEST((it.state(at(2s)) == health::good));
    it.on_failure(at(3s));
    BOOST_TEST((it.state(at(3s)) == health::down));
    BOOST_TEST((it.down_since() == at(1s)));
    it.on_answer(1ms, at(4s));
    BOOST_TEST((it.state(at(4s)) == health::down));
    it.on_answer(1ms, at(5s));
    BOOST_TEST((it.state(at(5s)) == health::good));
    BOOST_TEST(!it.down_since());
}

BOOST_AUTO_TEST_CASE(is_slow_while_answers_come_late)
{
    auto it = service_health{};
    it.on_answer(600ms, at(1s));
    BOOST_TEST((it.state(at(1s)) == health::good));
    it.on_answer(600ms, at(2s));
    BOOST_TEST((it.state(at(2s)) == health::slow));
    it.on_answer(2ms, at(3s));
    BOOST_TEST((it.state(at(3s)) == health::good));
}

BOOST_AUTO_TEST_CASE(is_flapping_once_it_has_fallen_three_times_in_a_minute)
{
    auto it = service_health{};
    for (auto round = 0; round < 3; ++round)
    {
        BOOST_TEST((it.state(at(round * 10s)) != health::flapping));
        for (auto i = 0; i < 3; ++i)
        {
            it.on_failure(at(round * 10s + 1s));
        }
        it.on_answer(1ms, at(round * 10s + 5s));
        it.on_answer(1ms, at(round * 10s + 5s));
    }
    BOOST_TEST((it.state(at(26s)) == health::flapping));
    BOOST_TEST((it.state(at(61s)) == health::good));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_write_whose_answer_was_lost)

namespace
{
auto seeded() -> random_source
{
    return random_source{7};
}
constexpr auto guard = store_revision{5};
} // namespace

BOOST_AUTO_TEST_CASE(is_read_back_before_anything_else)
{
    auto random = seeded();
    auto it = guarded_write{guard, 3, {}};
    BOOST_TEST(std::holds_alternative<send_write>(guarded_write::start()));
    auto const step = it.on_write_failure(call_fault::lost, random);
    BOOST_TEST(std::holds_alternative<wait_then_read>(step));
    BOOST_TEST(
        std::holds_alternative<send_read>(guarded_write::on_wait_over()));
    auto const seen = it.on_read({store_revision{6}, true});
    BOOST_TEST((std::get<write_outcome>(seen) == write_outcome::applied));
}

BOOST_AUTO_TEST_CASE(did_not_happen_if_another_took_its_place)
{
    auto random = seeded();
    auto it = guarded_write{guard, 3, {}};
    it.on_write_failure(call_fault::lost, random);
    auto const seen = it.on_read({store_revision{6}, false});
    BOOST_TEST((std::get<write_outcome>(seen) == write_outcome::not_applied));
}

BOOST_AUTO_TEST_CASE(is_unknown_if_the_history_no_longer_tells)
{
    auto random = seeded();
    auto it = guarded_write{guard, 3, {}};
    it.on_write_failure(call_fault::lost, random);
    auto const seen = it.on_read({store_revision{900}, false, false});
    BOOST_TEST((std::get<write_outcome>(seen) == write_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(is_sent_again_only_under_the_same_guard)
{
    auto random = seeded();
    auto it = guarded_write{guard, 3, {}};
    it.on_write_failure(call_fault::lost, random);
    BOOST_TEST(std::holds_alternative<send_write>(it.on_read({guard, false})));
    // The first one arrived after all, so the second finds the guard gone.
    auto const seen = it.on_condition_failed({store_revision{6}, true});
    BOOST_TEST((std::get<write_outcome>(seen) == write_outcome::applied));
}

BOOST_AUTO_TEST_CASE(is_given_up_as_unknown_while_nothing_answers)
{
    auto random = seeded();
    auto it = guarded_write{guard, 2, {}};
    it.on_write_failure(call_fault::lost, random);
    it.on_read_failure(random);
    auto const end = it.on_read_failure(random);
    BOOST_TEST((std::get<write_outcome>(end) == write_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(that_never_left_is_given_up_as_not_applied)
{
    auto random = seeded();
    auto it = guarded_write{guard, 1, {}};
    it.on_write_failure(call_fault::not_sent, random);
    auto const end = it.on_read_failure(random);
    BOOST_TEST((std::get<write_outcome>(end) == write_outcome::not_applied));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(gateway_json)

BOOST_AUTO_TEST_CASE(base64_goes_both_ways)
{
    auto const ok = rc::check(
        "base64",
        []
        {
            auto const it = *rc::gen::arbitrary<std::string>();
            RC_ASSERT(etcd::decode_base64(etcd::encode_base64(it)) == it);
        });
    BOOST_TEST(ok);
    BOOST_TEST(etcd::encode_base64("foo") == "Zm9v");
    BOOST_TEST(!etcd::decode_base64("Zm9"));
    BOOST_TEST(!etcd::decode_base64("Zm9*"));
}

BOOST_AUTO_TEST_CASE(answers_are_read_with_zero_members_left_out)
{
    auto const range = etcd::read_range(
        R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v","value":"YmFy",)"
        R"("mod_revision":"7","create_revision":"3","new":1}],"count":"1"})");
    BOOST_REQUIRE(range);
    BOOST_TEST(range->at.value() == 9);
    BOOST_TEST(range->values.front().value == "bar");
    BOOST_TEST(range->values.front().modified.value() == 7);
    auto const failed = etcd::read_transaction(
        R"({"header":{"revision":"9"},"responses":[{"response_range":)"
        R"({"kvs":[{"key":"Zm9v","value":"YmFy"}]}}]})");
    BOOST_REQUIRE(failed);
    BOOST_TEST(!failed->succeeded);
    BOOST_TEST(failed->values.front().key == "foo");
    BOOST_TEST(!etcd::read_range("{}"));
    BOOST_TEST(!etcd::read_range("<html>"));
    BOOST_TEST(!etcd::read_range(R"({"error":"x","header":{}})"));
    auto const renewal =
        etcd::read_lease(R"({"result":{"header":{},"ID":"12","TTL":"10"}})");
    BOOST_TEST((renewal && renewal->ttl == 10s));
}

BOOST_AUTO_TEST_CASE(a_watch_tells_puts_deletes_and_its_end)
{
    auto const line = etcd::read_watch_line(
        R"({"result":{"header":{},"events":[{"kv":{"key":"Zm9v",)"
        R"("value":"YmFy","mod_revision":"4"}},)"
        R"({"type":"DELETE","kv":{"key":"Zm9v"}}]}})");
    BOOST_REQUIRE(line);
    BOOST_TEST(line->events.size() == 2);
    BOOST_TEST(line->events[0].value->value == "bar");
    BOOST_TEST(!line->events[1].value);
    BOOST_TEST(etcd::read_watch_line(R"({"result":{"created":true}})")->opened);
    BOOST_TEST(!!etcd::read_watch_line(
                     R"({"result":{"canceled":true,"compact_revision":"3"}})")
                     ->ended);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(over_http)

namespace
{

/// A gateway that answers by a function of the path; empty: breaks off.
struct tiny_gateway
{
    explicit tiny_gateway(
        net::event_loop& loop,
        std::function<std::string(std::string const&)> const& reply)
        : server(loop, {},
                 [reply](net::server_request const& request,
                         std::shared_ptr<net::responder> const& back)
                 {
                     auto const body = reply(request.path);
                     if (body.empty())
                     {
                         back->abort();
                         return;
                     }
                     back->reply({200, {}, body});
                 })
    {
        port = server.listen({"127.0.0.1", 0});
    }

    net::http_server server;
    std::uint16_t port = 0;
};

auto ask(etcd_client& client, net::event_loop& loop) -> answer<range_result>
{
    auto result = answer<range_result>{};
    client.range(call_purpose::configuration_read, {"k", "", false},
                 [&](answer<range_result> const& it)
                 {
                     result = it;
                     loop.stop();
                 });
    loop.run();
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_is_answered_counted_and_bounded)
{
    net::initialise_process();
    auto loop = net::event_loop{};
    auto gateway = tiny_gateway{loop, [](std::string const&)
                                {
                                    return R"({"header":{"revision":"3"}})";
                                }};
    auto settings = etcd_settings{{"127.0.0.1", gateway.port}, 2s, {0, 1}, {}};
    auto client = etcd_client{loop, settings};
    BOOST_TEST(std::get<range_result>(ask(client, loop)).at.value() == 3);
    auto const second = std::get<call_failure>(ask(client, loop));
    BOOST_TEST((second.fault == call_fault::over_budget));
    auto const& counters =
        client.budget().counters(call_purpose::configuration_read);
    BOOST_TEST(counters.made == 1);
    BOOST_TEST(counters.over_budget == 1);
}

BOOST_AUTO_TEST_CASE(a_broken_call_may_have_run_and_a_refused_one_has_not)
{
    auto loop = net::event_loop{};
    auto gateway = tiny_gateway{loop, [](std::string const&)
                                {
                                    return std::string{};
                                }};
    auto broken = etcd_client{loop, {{"127.0.0.1", gateway.port}, 2s, {}, {}}};
    BOOST_TEST(
        (std::get<call_failure>(ask(broken, loop)).fault == call_fault::lost));
    gateway.server.stop_listening();
    BOOST_TEST((std::get<call_failure>(ask(broken, loop)).fault ==
                call_fault::not_sent));
    ask(broken, loop);
    BOOST_TEST((broken.health_now() == health::down));
}

BOOST_AUTO_TEST_CASE(a_watch_delivers_each_line)
{
    auto loop = net::event_loop{};
    auto lines = std::string{
        R"({"result":{"created":true}})"
        "\n"
        R"({"result":{"events":[{"kv":{"key":"Zm9v","value":"YmFy"}}]}})"
        "\n"};
    auto gateway = tiny_gateway{loop, [&](std::string const&)
                                {
                                    return lines;
                                }};
    auto client = etcd_client{loop, {{"127.0.0.1", gateway.port}, 2s, {}, {}}};
    auto opened = 0;
    auto values = std::vector<std::string>{};
    auto handlers = watch_handlers{};
    handlers.on_open = [&]
    {
        ++opened;
    };
    handlers.on_event = [&](watch_event const& it)
    {
        values.push_back(it.value->value);
    };
    handlers.on_end = [&](call_failure const&)
    {
        loop.stop();
    };
    auto const watching = client.watch_range(
        call_purpose::configuration_watch, {"foo", "", false},
        store_revision{1}, std::move(handlers));
    loop.run();
    BOOST_TEST(opened == 1);
    BOOST_TEST((values == std::vector<std::string>{"bar"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_host_list_is_read_entry_by_entry)
{
    auto const list = read_host_list(
        R"({"version":4,"targets":[{"id":"t1","service":"fitting",)"
        R"("address":"127.0.0.1:81","domain":"a","state":"leaving",)"
        R"("incarnation":2,"model":"m","version":"1","adapters":["x"],)"
        R"("slots":8},{"id":"t2","address":"nowhere"},7],)"
        R"("entry_hosts":[{"id":"h","address":"127.0.0.1:82","domain":"a"}]})");
    BOOST_REQUIRE(list);
    BOOST_TEST(list->version == 4);
    BOOST_REQUIRE(list->targets.size() == 1);
    auto const& target = list->targets.front();
    BOOST_TEST(target.leaving);
    BOOST_TEST(target.started.value() == 2);
    BOOST_TEST(target.slots == 8);
    BOOST_TEST(list->entry_hosts.size() == 1);
    BOOST_TEST(!read_host_list("[]"));
}

BOOST_AUTO_TEST_CASE(a_weight_store_says_when_to_come_back)
{
    auto const later = std::get<weights_answer>(
        read_weights_answer({429, {{"Retry-After", "7"}}, ""}));
    BOOST_TEST(!later.available);
    BOOST_TEST((later.retry_after == 7s));
    BOOST_TEST(
        std::get<weights_answer>(read_weights_answer({200, {}, ""})).available);
    BOOST_TEST(std::holds_alternative<call_failure>(
        read_weights_answer({500, {}, ""})));
}
