#include "load/driver.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "standins/token_model.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace primrosedeal::load
{

namespace
{

using nlohmann::json;

/// An entry host that answers rightly, but breaks the first answers halfway.
class fake_host
{
public:
    fake_host()
        : server_(loop_, {},
                  [this](net::server_request const& it,
                         std::shared_ptr<net::responder> const& to)
                  { answer(it, to); })
    {
        at.port = server_.listen(at);
        thread_ = std::thread{[this]
                              {
                                  loop_.run();
                              }};
    }

    fake_host(fake_host const&) = delete;
    auto operator=(fake_host const&) -> fake_host& = delete;

    ~fake_host()
    {
        loop_.stop();
        thread_.join();
    }

    net::endpoint at{"127.0.0.1", 0};
    /// Set before the run: answers to break, and tokens to skip in each.
    int break_first = 0;
    std::size_t skip = 0;
    std::atomic<std::size_t> brought_back = 0;

private:
    static auto event(std::size_t offset, std::span<token_id const> tokens,
                      std::string const& text) -> std::string
    {
        auto ids = json::array();
        for (auto const& it : tokens)
        {
            ids.push_back(it.value());
        }
        return "id: " + std::to_string(offset) + "\ndata: " +
               json{{"tokens", ids}, {"text", text}}.dump(
                   -1, ' ', false, json::error_handler_t::ignore) +
               "\n\n";
    }

    void answer(net::server_request const& it,
                std::shared_ptr<net::responder> const& held)
    {
        auto& to = *held;
        if (it.path == "/v1/completions")
        {
            complete(json::parse(it.body), held);
        }
        else if (it.path.ends_with("/tickets"))
        {
            to.reply({200, {}, R"({"ticket":"t"})"});
        }
        else if (it.path == "/executions")
        {
            to.reply({200, {}, json{{"t", executions_}}.dump()});
        }
        else
        {
            executions_ += it.method == net::http_method::post ? 1 : 0;
            to.reply({200, {}, "{}"});
        }
    }

    void complete(json const& body, std::shared_ptr<net::responder> const& held)
    {
        auto& to = *held;
        auto request = standins::generation_request{};
        request.model = model_id{body["model"].get<std::string>()};
        request.version = model_version{body["version"].get<std::string>()};
        request.seed = body["seed"];
        request.max_tokens = body["max_tokens"];
        for (auto const& it : body["prompt"])
        {
            request.prompt.emplace_back(it.get<std::uint32_t>());
        }
        auto const whole = standins::reference_answer(request);
        auto const had = body.value("resume_tokens", json::array()).size();
        brought_back += had;
        to.start_stream(200, {});
        auto const rest = std::span{whole.tokens}.subspan(had);
        auto const half = rest.size() / 2;
        if (break_first > 0)
        {
            --break_first;
            to.send(event(had, rest.first(half), text_of(whole, had, half)));
            // After the half has reached the caller.
            breaks_.push_back(loop_.after(20ms, [held] { held->abort(); }));
            return;
        }
        to.send(event(had + skip, rest.subspan(skip),
                      text_of(whole, had, rest.size())));
        to.send("event: end\nid: 0\ndata: " + end_of(whole).dump() + "\n\n");
        to.finish();
    }

    static auto text_of(standins::whole_answer const& whole, std::size_t from,
                        std::size_t count) -> std::string
    {
        auto text = std::string{};
        for (auto i = from; i < from + count; ++i)
        {
            auto const previous =
                i == 0 ? std::nullopt : std::optional{whole.tokens[i - 1]};
            text += standins::token_bytes(previous, whole.tokens[i]);
        }
        return text;
    }

    static auto end_of(standins::whole_answer const& whole) -> json
    {
        auto const digest = standins::token_digest(whole.tokens);
        return {{"token_count", whole.tokens.size()},
                {"digest", standins::to_hex(digest)},
                {"finish_reason", std::string{to_string(whole.finish)}}};
    }

    net::event_loop loop_;
    std::uint64_t executions_ = 0;
    std::vector<net::timer> breaks_;
    net::http_server server_;
    std::thread thread_;
};

struct fixture
{
    fake_host first;
    fake_host second;
    load_options options;

    fixture()
    {
        options.hosts = {first.at, second.at};
        options.keys = {"k"};
        options.generations = 10;
        options.generations_per_second = 1000;
        options.reconnect_delay = 1ms;
        options.long_share = 0;
        // Texts of these tokens are whole characters in every piece.
        options.short_output = {10, 10};
    }
};

} // namespace

/// Loops of several threads need libevent's locks.
struct process_setup
{
    process_setup()
    {
        net::initialise_process();
    }
};

BOOST_TEST_GLOBAL_FIXTURE(process_setup);

BOOST_FIXTURE_TEST_SUITE(a_load_run, fixture)

BOOST_AUTO_TEST_CASE(comes_back_through_another_host_with_what_it_has)
{
    first.break_first = 3;
    second.break_first = 3;
    auto const it = run(options);
    BOOST_TEST(promises_kept(it));
    BOOST_TEST(totals_of(it).complete == 10U);
    BOOST_TEST(totals_of(it).reconnects == 6U);
    BOOST_TEST(totals_of(it).tokens == 100U);
    BOOST_TEST(first.brought_back + second.brought_back >= 30U);
}

BOOST_AUTO_TEST_CASE(sees_tokens_that_are_missing)
{
    first.skip = 2;
    second.skip = 2;
    auto const it = run(options);
    BOOST_TEST(!promises_kept(it));
    BOOST_TEST(totals_of(it).faults.missing >= 20U);
}

BOOST_AUTO_TEST_CASE(ends_when_nobody_answers)
{
    options.hosts = {{"127.0.0.1", 1}};
    options.max_reconnects = 2;
    auto const it = run(options);
    BOOST_TEST(!promises_kept(it));
    BOOST_TEST(totals_of(it).complete == 0U);
}

BOOST_AUTO_TEST_CASE(counts_orders_sent_against_orders_run)
{
    options.generations = 0;
    options.orders = 1;
    options.lookups = 3;
    options.hosts = {first.at};
    options.execution_counters = {first.at};
    auto const it = run(options);
    BOOST_TEST(promises_kept(it));
    BOOST_TEST(totals_of(it).orders_ran == 1U);
    BOOST_TEST(totals_of(it).lookups_ran == 3U);
    BOOST_TEST(it.executions.total == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::load
