#include "configuration/stored_form.hpp"
#include "serve/control_plane.hpp"
#include "serve/serving_fixture.hpp"
#include "standins/faulty_server.hpp"
#include "standins/key_value_standin.hpp"
#include "standins/small_services.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::serve
{

namespace
{

/// Both planes of one entry host, before stand-ins of everything else.
struct whole_host : serving_fixture
{
    standins::key_value_standin store{loop};
    standins::plain_service orders_state;
    standins::faulty_server orders_server{
        loop, [this](net::server_request const& it,
                     std::shared_ptr<net::responder> const&)
        {
            return std::optional{orders_state.answer(it)};
        }};
    std::string hosts_text;
    standins::faulty_server list_server{
        loop, [this](net::server_request const&,
                     std::shared_ptr<net::responder> const&)
        {
            return std::optional{standins::json_response(200, hosts_text)};
        }};
    settings::host_settings settings = make_settings(1);
    std::unique_ptr<control_plane> control;
    bool is_drained = false;
    net::http_response last;
    bool answered = false;

    whole_host() : serving_fixture(2)
    {
        settings.key_value = {"127.0.0.1", store.listen({"127.0.0.1", 0})};
        settings.host_list = {"127.0.0.1",
                              list_server.listen({"127.0.0.1", 0})};
        settings.listen_operators = {"127.0.0.1", 0};
        settings.operator_secret = "operators";
        list_targets("live", 1);
        host = std::make_unique<data_plane>(
            loop, settings, incarnation{1}, 1, counters,
            [this](to_control const& it) { control->on_message(it); });
        host_at.port = host->listen();
        control = std::make_unique<control_plane>(
            loop, settings, incarnation{1}, 1, counters,
            [this](to_data const& it) { host->on_message(it); },
            [this] { is_drained = true; });
    }

    void list_targets(std::string const& state, std::uint64_t version)
    {
        auto targets = nlohmann::json::array();
        for (auto i = std::size_t{0}; i < engines.size(); ++i)
        {
            targets.push_back({{"id", "e" + std::to_string(i)},
                               {"service", "fitting"},
                               {"address", net::to_string(engine_addresses[i])},
                               {"domain", "a"},
                               {"state", i == 0 ? state : "live"},
                               {"incarnation", 1},
                               {"model", "fitting"},
                               {"version", "1"},
                               {"adapters", nlohmann::json::array()},
                               {"slots", 16}});
        }
        targets.push_back(
            {{"id", "o0"},
             {"service", "order"},
             {"address", net::to_string({"127.0.0.1", orders_port()})},
             {"domain", "a"},
             {"state", "live"},
             {"incarnation", 1}});
        hosts_text = nlohmann::json{{"version", version},
                                    {"targets", targets},
                                    {"entry_hosts", nlohmann::json::array()}}
                         .dump();
    }

    auto orders_port() -> std::uint16_t
    {
        if (orders_port_ == 0)
        {
            orders_port_ = orders_server.listen({"127.0.0.1", 0});
        }
        return orders_port_;
    }

    /// What `defaults apply` does, without its care.
    void accept_configuration()
    {
        auto document =
            configuration::read_yaml(fixture_configuration, "fixture");
        auto const encoded = configuration::encode(document);
        auto client =
            external::etcd_client{loop, {settings.key_value, 2s, {}, {}}};
        auto write = external::transaction{};
        write.then.push_back(external::put{
            std::string{configuration::head_key}, encoded.head, {}});
        for (auto const& [name, text] : encoded.parts)
        {
            write.then.push_back(
                external::put{configuration::part_key(name), text, {}});
        }
        auto written = false;
        client.commit(external::call_purpose::configuration_write, write,
                      [&](auto const&) { written = true; });
        run_until([&] { return written; });
    }

    void wait_until_ready()
    {
        run_until([&] { return !control->why_not_ready().has_value(); });
    }

    void post(std::string const& path, std::vector<net::http_header> headers)
    {
        send({net::http_method::post, path, std::move(headers), "a booking"});
    }

    void get(std::string const& path)
    {
        send({net::http_method::get, path, {}, ""});
    }

    void send(net::http_request request)
    {
        answered = false;
        request.headers.push_back(
            {"Authorization", std::string{"Bearer "} + fixture_key});
        call = net::fetch(
            loop, host_at, request, 20s,
            [this](net::http_response it)
            {
                last = std::move(it);
                answered = true;
            },
            [this](net::call_error, bool) { answered = true; });
        run_until([&] { return answered; });
    }

    auto executions() const -> std::uint64_t
    {
        auto n = std::uint64_t{0};
        for (auto const& [id, count] : orders_state.executions())
        {
            n += count;
        }
        return n;
    }

private:
    std::uint16_t orders_port_ = 0;
};

struct ready_host : whole_host
{
    caller_view caller;

    ready_host()
    {
        accept_configuration();
        wait_until_ready();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_whole_entry_host)

BOOST_FIXTURE_TEST_CASE(is_not_ready_and_says_why_without_a_configuration,
                        whole_host)
{
    run_until([&] { return control->targets_known(); });
    BOOST_TEST(control->why_not_ready().has_value());
    caller_view caller;
    ask(host_at, body(5), caller);
    run_until([&] { return caller.closed; });
    BOOST_TEST(caller.status == 503);
    BOOST_TEST(caller.raw.find("not_ready") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(serves_what_the_platform_declares, ready_host)
{
    ask(host_at, body(60), caller);
    run_until([&] { return caller.closed; });
    BOOST_TEST((caller.tokens == reference(60).tokens));
}

BOOST_FIXTURE_TEST_SUITE(asked_for_orders, ready_host)

BOOST_AUTO_TEST_CASE(runs_one_by_its_ticket_once)
{
    post("/v1/services/order/tickets", {});
    BOOST_REQUIRE(last.status == 200);
    auto const ticket =
        nlohmann::json::parse(last.body).at("ticket").get<std::string>();
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", ticket}});
    BOOST_TEST(last.status == 200);
    auto const first = last.body;
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", ticket}});
    BOOST_TEST(last.status == 200);
    BOOST_TEST(last.body == first);
    BOOST_TEST(executions() == 1U);
}

BOOST_AUTO_TEST_CASE(runs_one_by_the_callers_own_key_once)
{
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-1"}});
    BOOST_TEST(last.status == 200);
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-1"}});
    BOOST_TEST(last.status == 200);
    BOOST_TEST(executions() == 1U);
}

BOOST_AUTO_TEST_CASE(says_may_have_run_when_the_answer_is_lost)
{
    orders_server.set_fault({standins::fault::lose_answer, std::nullopt});
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-2"}});
    BOOST_TEST(last.body.find("may_have_run") != std::string::npos);
    orders_server.set_fault({standins::fault::none, std::nullopt});
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-2"}});
    BOOST_TEST(last.body.find("may_have_run") != std::string::npos);
    BOOST_TEST(executions() == 1U);
}

BOOST_AUTO_TEST_CASE(says_not_run_when_nothing_listens)
{
    orders_server.set_fault({standins::fault::die, std::nullopt});
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-3"}});
    BOOST_TEST(last.body.find("not_run") != std::string::npos);
    BOOST_TEST(executions() == 0U);
}

BOOST_AUTO_TEST_CASE(refuses_own_keys_but_not_tickets_without_the_store)
{
    store.set_fault({standins::fault::die, std::nullopt});
    post("/v1/services/order/calls/orders",
         {{"Idempotency-Key", "mine-4"}, {"Primrosedeal-First-Ask", "yes"}});
    BOOST_TEST(last.body.find("not_run") != std::string::npos);
    // It may have run through another host before.
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", "mine-5"}});
    BOOST_TEST(last.body.find("may_have_run") != std::string::npos);
    post("/v1/services/order/tickets", {});
    auto const ticket =
        nlohmann::json::parse(last.body).at("ticket").get<std::string>();
    post("/v1/services/order/calls/orders", {{"Idempotency-Key", ticket}});
    BOOST_TEST(last.status == 200);
    BOOST_TEST(executions() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(asked_to_look_up, ready_host)

BOOST_AUTO_TEST_CASE(brings_the_targets_answer)
{
    get("/v1/services/order/lookup/stock/lasts");
    BOOST_TEST(last.status == 200);
    BOOST_TEST(!last.body.empty());
}

BOOST_AUTO_TEST_CASE(refuses_paths_that_may_not_be_repeated)
{
    get("/v1/services/order/lookup/orders");
    BOOST_TEST(last.status == 400);
}

BOOST_AUTO_TEST_CASE(refuses_in_time_when_no_target_answers)
{
    orders_server.set_fault({standins::fault::pause, std::nullopt});
    get("/v1/services/order/lookup/stock");
    BOOST_TEST(last.status >= 500);
    BOOST_TEST(last.body.find("\"verdict\":") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(gives_a_leaving_target_no_new_work, ready_host)
{
    list_targets("leaving", 2);
    run_until([&] { return control->leaving_targets() == 1; });
    auto const before = engines[0]->totals().requests;
    for (auto i = 0; i < 10; ++i)
    {
        auto one = caller_view{};
        ask(host_at, body(3), one);
        run_until([&] { return one.closed; });
        BOOST_TEST(one.status == 200);
    }
    BOOST_TEST(engines[0]->totals().requests == before);
}

BOOST_FIXTURE_TEST_CASE(gives_its_configuration_to_one_without_the_store,
                        ready_host)
{
    auto theirs = make_settings(2);
    theirs.seeds = {control->peers_at()};
    // Nothing listens there.
    theirs.key_value = {"127.0.0.1", 1};
    theirs.host_list = settings.host_list;
    theirs.listen_operators = {"127.0.0.1", 0};
    auto in_force = std::uint64_t{0};
    auto other_counters = metrics::process_metrics{};
    auto const other = std::make_unique<control_plane>(
        loop, theirs, incarnation{1}, 2, other_counters,
        [&](to_data const& it)
        {
            if (auto const* const got = std::get_if<configuration_changed>(&it))
            {
                in_force = got->view->document.number.value();
            }
        },
        [] {});
    run_until([&] { return in_force != 0; });
    BOOST_TEST(in_force == 1U);
}

BOOST_FIXTURE_TEST_CASE(drains_on_request, ready_host)
{
    ask(host_at, body(60), caller);
    run_until([&] { return caller.tokens.size() > 5; });
    control->start_drain();
    BOOST_TEST(control->why_not_ready().value() == "shutting down");
    run_until([&] { return is_drained; });
    BOOST_TEST((caller.tokens == reference(60).tokens));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::serve
