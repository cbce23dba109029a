#include "net/http_client.hpp"
#include "standins/engine_json.hpp"
#include "standins/engine_standin.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>

namespace primrosedeal::standins
{

namespace
{

auto fast_settings() -> engine_settings
{
    auto it = engine_settings{};
    it.token_gap = 2ms;
    it.prefill_per_1000 = 0ms;
    it.models = {{model_id{"fitting"}, model_version{"1"}, {}, {}}};
    return it;
}

auto some_request() -> generation_request
{
    return {model_id{"fitting"},
            model_version{"1"},
            {},
            token_list(20, token_id{4}),
            11,
            40,
            {}};
}

/// What a reader collects from one stream.
struct received
{
    token_list tokens;
    std::vector<std::uint64_t> offsets;
    std::string text;
    std::optional<std::string> finish;
    bool broken = false;
};

struct fixture
{
    net::event_loop loop;
    engine_standin engine{loop, fast_settings()};
    net::endpoint at{"127.0.0.1", 0};
    std::vector<std::unique_ptr<net::http_call>> calls;

    fixture()
    {
        at.port = engine.listen(at);
    }

    void run_for_at_most(duration limit)
    {
        auto const guard = loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    static void take_line(received& into, std::string_view line)
    {
        auto const event = nlohmann::json::parse(line);
        if (event.contains("finish"))
        {
            into.finish = event["finish"];
            return;
        }
        into.offsets.push_back(event["offset"]);
        for (auto const& it : event["tokens"])
        {
            into.tokens.emplace_back(it.get<std::uint32_t>());
        }
    }

    static void take(received& into, std::string_view text)
    {
        into.text.append(text);
        constexpr std::string_view head = "data: ";
        for (auto end = into.text.find("\n\n"); end != std::string::npos;
             end = into.text.find("\n\n"))
        {
            take_line(into, into.text.substr(head.size(), end - head.size()));
            into.text.erase(0, end + 2);
        }
    }

    void generate(received& into, std::function<void()> const& on_token,
                  std::function<void()> const& on_end)
    {
        auto const asked = some_request();
        auto body = nlohmann::json{{"request", "r1"},    {"attempt", 1},
                                   {"model", "fitting"}, {"version", "1"},
                                   {"seed", asked.seed}, {"max_tokens", 40}};
        for (auto const& it : asked.prompt)
        {
            body["prompt"].push_back(it.value());
        }
        auto events = net::http_events{};
        events.on_body = [&into, on_token](std::string_view text)
        {
            take(into, text);
            on_token();
        };
        events.on_end = [on_end](int)
        {
            on_end();
        };
        events.on_error = [&into, on_end](net::call_error)
        {
            into.broken = true;
            on_end();
        };
        calls.push_back(net::start_call(
            loop, at, {net::http_method::post, "/generate", {}, body.dump()},
            events));
    }

    void set(fault what, std::optional<duration> lasting = std::nullopt)
    {
        engine.set_fault({what, lasting});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_stand_in_engine_over_http, fixture)

BOOST_AUTO_TEST_CASE(streams_the_reference_answer)
{
    auto got = received{};
    generate(
        got, [] {}, [&] { loop.stop(); });
    run_for_at_most(10s);
    BOOST_TEST((got.tokens == reference_answer(some_request()).tokens));
    BOOST_TEST(got.finish.value_or("") == "length");
    BOOST_TEST(!got.broken);
}

BOOST_AUTO_TEST_CASE(breaks_all_connections_and_refuses_new_ones_when_dead)
{
    auto first = received{};
    auto second = received{};
    auto const once_dead = [&]
    {
        generate(
            second, [] {}, [&] { loop.stop(); });
    };
    generate(
        first, [&] { set(fault::die); }, once_dead);
    run_for_at_most(10s);
    BOOST_TEST(first.broken);
    BOOST_TEST(!first.finish.has_value());
    BOOST_TEST(second.broken);
    BOOST_TEST(second.tokens.empty());
}

BOOST_AUTO_TEST_CASE(starts_again_after_a_death_that_ends)
{
    auto got = received{};
    set(fault::die, 20ms);
    auto const wait = loop.after(60ms,
                                 [&]
                                 {
                                     generate(
                                         got, [] {}, [&] { loop.stop(); });
                                 });
    run_for_at_most(10s);
    BOOST_TEST(got.tokens.size() == 40U);
}

BOOST_AUTO_TEST_CASE(gives_everything_late_after_a_pause)
{
    auto got = received{};
    auto paused_at = std::size_t{0};
    auto resumed = false;
    generate(
        got,
        [&]
        {
            if (paused_at == 0)
            {
                paused_at = got.tokens.size();
                set(fault::pause, 100ms);
            }
        },
        [&] { loop.stop(); });
    auto const check =
        loop.after(80ms, [&] { resumed = got.tokens.size() > paused_at + 1; });
    run_for_at_most(10s);
    BOOST_TEST(!resumed);
    BOOST_TEST((got.tokens == reference_answer(some_request()).tokens));
}

BOOST_AUTO_TEST_CASE(never_delivers_again_on_a_silenced_connection)
{
    auto silent = received{};
    auto fresh = received{};
    auto silenced = false;
    generate(
        silent,
        [&]
        {
            if (!std::exchange(silenced, true))
            {
                set(fault::silence_open);
                generate(
                    fresh, [] {}, [&] { loop.stop(); });
            }
        },
        [&] { silent.broken = true; });
    run_for_at_most(10s);
    BOOST_TEST((fresh.tokens == reference_answer(some_request()).tokens));
    BOOST_TEST(silent.tokens.size() < 40U);
    BOOST_TEST(!silent.broken);
}

BOOST_AUTO_TEST_CASE(sends_a_wrong_offset_once)
{
    auto got = received{};
    auto asked = false;
    generate(
        got,
        [&]
        {
            if (!std::exchange(asked, true))
            {
                set(fault::corrupt_offset);
            }
        },
        [&] { loop.stop(); });
    run_for_at_most(10s);
    auto wrong = 0;
    for (auto i = std::size_t{0}; i < got.offsets.size(); ++i)
    {
        wrong += got.offsets[i] == i ? 0 : 1;
    }
    BOOST_TEST(wrong == 1);
}

BOOST_AUTO_TEST_CASE(is_switched_by_request_and_refuses_new_work_when_leaving)
{
    auto got = received{};
    auto status = 0;
    calls.push_back(net::fetch(
        loop, at,
        {net::http_method::post, "/fault", {}, R"({"fault":"leaving"})"}, 5s,
        [&](net::http_response const& it) { status = it.status; },
        [&](net::call_error, bool) { loop.stop(); }));
    auto const later = loop.after(50ms,
                                  [&]
                                  {
                                      generate(
                                          got, [] {}, [&] { loop.stop(); });
                                  });
    run_for_at_most(10s);
    BOOST_TEST(status == 200);
    BOOST_TEST(got.tokens.empty());
    BOOST_TEST(got.text == R"({"error":"leaving"})");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::standins
