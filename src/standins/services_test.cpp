#include "external/etcd_client.hpp"
#include "net/http_client.hpp"
#include "standins/key_value_standin.hpp"
#include "standins/small_services.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::standins
{

namespace
{

auto get(std::string path) -> net::server_request
{
    return {net::http_method::get, std::move(path), "", {}, ""};
}

/// The service's stand-in and the system's own client on one loop.
struct fixture
{
    net::event_loop loop;
    key_value_standin service{loop};
    net::endpoint at{"127.0.0.1", 0};
    std::unique_ptr<external::etcd_client> client;

    fixture()
    {
        at.port = service.listen(at);
        auto settings = external::etcd_settings{};
        settings.address = at;
        settings.call_timeout = 5s;
        client = std::make_unique<external::etcd_client>(loop, settings);
    }

    void run_for_at_most(duration limit)
    {
        auto const guard = loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    auto commit(external::transaction const& it)
        -> external::answer<external::transaction_result>
    {
        auto got = external::answer<external::transaction_result>{
            external::call_failure{}};
        client->commit(external::call_purpose::claim, it,
                       [&](auto const& answer)
                       {
                           got = answer;
                           loop.stop();
                       });
        run_for_at_most(10s);
        return got;
    }
};

auto create(std::string const& key) -> external::transaction
{
    return {{external::unchanged_since{key, {}}},
            {external::put{key, "v", {}}},
            {key}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stand_in_plain_service)

BOOST_AUTO_TEST_CASE(counts_each_execution_by_its_call_id)
{
    auto it = plain_service{};
    auto order = net::server_request{
        net::http_method::post, "/orders", "", {{"x-call-id", "c1"}}, "{}"};
    it.answer(order);
    it.answer(order);
    BOOST_TEST(it.answer(get("/executions")).body == R"({"c1":2})");
    order.headers.clear();
    BOOST_TEST(it.answer(order).status == 400);
    BOOST_TEST(it.answer(get("/stock/7")).status == 200);
    BOOST_TEST(it.executions().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stand_in_host_list)

BOOST_AUTO_TEST_CASE(lags_behind_what_it_was_told)
{
    auto const start = time_point{100s};
    auto it = host_list{5s, "old"};
    it.answer({net::http_method::post, "/hosts", "", {}, "new"}, start);
    BOOST_TEST(it.answer(get("/hosts"), start + 4s).body == "old");
    BOOST_TEST(it.answer(get("/hosts"), start + 5s).body == "new");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stand_in_weight_store)

BOOST_AUTO_TEST_CASE(says_when_to_come_back_above_its_rate)
{
    auto const start = time_point{100s};
    auto it = weight_store{2};
    BOOST_TEST(it.answer(get("/weights"), start).status == 200);
    BOOST_TEST(it.answer(get("/weights"), start).status == 200);
    auto const refused = it.answer(get("/weights"), start);
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(net::find_header(refused.headers, "Retry-After").value() == "1");
    BOOST_TEST(it.answer(get("/weights"), start + 500ms).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(a_stand_in_key_value_service_over_http, fixture)

BOOST_AUTO_TEST_CASE(speaks_with_the_systems_own_client)
{
    auto const first = commit(create("k"));
    auto const second = commit(create("k"));
    auto const* const done = std::get_if<external::transaction_result>(&first);
    auto const* const refused =
        std::get_if<external::transaction_result>(&second);
    BOOST_REQUIRE(done != nullptr);
    BOOST_REQUIRE(refused != nullptr);
    BOOST_TEST(done->succeeded);
    BOOST_TEST(!refused->succeeded);
    BOOST_REQUIRE(refused->values.size() == 1U);
    BOOST_TEST(refused->values[0].value == "v");
    BOOST_TEST((refused->values[0].modified == done->at));
    BOOST_TEST(service.calls().at("/v3/kv/txn") == 2U);
}

BOOST_AUTO_TEST_CASE(loses_the_answer_but_not_the_write)
{
    service.set_fault({fault::lose_answer, std::nullopt});
    auto const lost = commit(create("k"));
    auto const* const failure = std::get_if<external::call_failure>(&lost);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->fault == external::call_fault::lost));
    service.set_fault({});
    auto const again = commit(create("k"));
    BOOST_TEST(!std::get<external::transaction_result>(again).succeeded);
}

BOOST_AUTO_TEST_CASE(tells_a_watch_what_is_written)
{
    auto got = std::vector<std::string>{};
    auto handlers = external::watch_handlers{};
    handlers.on_open = [&]
    {
        client->commit(external::call_purpose::claim, create("w1"),
                       [](auto const&) {});
    };
    handlers.on_event = [&](external::watch_event const& it)
    {
        got.push_back(it.key);
        loop.stop();
    };
    handlers.on_end = [&](external::call_failure const&)
    {
        loop.stop();
    };
    auto const watch = client->watch_range(external::call_purpose::claim,
                                           {"w", "x", false}, {}, handlers);
    run_for_at_most(10s);
    BOOST_REQUIRE(got.size() == 1U);
    BOOST_TEST(got[0] == "w1");
    BOOST_TEST(service.calls().at("/v3/watch") == 1U);
}

BOOST_AUTO_TEST_CASE(is_refused_while_down_and_remembers_afterwards)
{
    commit(create("k"));
    service.set_fault({fault::die, std::nullopt});
    auto const down = commit(create("k"));
    auto const* const failure = std::get_if<external::call_failure>(&down);
    BOOST_REQUIRE(failure != nullptr);
    service.set_fault({});
    auto const again = commit(create("k"));
    BOOST_TEST(!std::get<external::transaction_result>(again).succeeded);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::standins
