#include "standins/engine_state.hpp"

#include "core/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace primrosedeal::standins
{

namespace
{

constexpr auto start = time_point{100s};

auto settings() -> engine_settings
{
    auto it = engine_settings{};
    it.token_gap = 10ms;
    it.slots = 2;
    it.max_waiting = 1;
    it.models = {{model_id{"fitting"}, model_version{"1"}, {}, {}}};
    return it;
}

auto request(std::uint64_t seed, std::uint64_t max_tokens) -> engine_request
{
    auto it = engine_request{};
    it.generation = {model_id{"fitting"},
                     model_version{"1"},
                     {},
                     token_list(50, token_id{9}),
                     seed,
                     max_tokens,
                     {}};
    return it;
}

auto key_of(std::variant<stream_key, engine_refusal> const& it) -> stream_key
{
    return std::get<stream_key>(it);
}

auto tokens_of(std::vector<engine_output> const& outputs, stream_key key)
    -> token_list
{
    auto tokens = token_list{};
    for (auto const& it : outputs)
    {
        for (auto const& token : it.tokens)
        {
            if (it.stream == key)
            {
                tokens.push_back(token.id);
            }
        }
    }
    return tokens;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_stand_in_engine)

BOOST_AUTO_TEST_CASE(gives_a_token_a_step_once_the_prefill_is_over)
{
    auto it = engine_state{settings()};
    auto const key = key_of(it.submit(request(1, 50), start));
    BOOST_TEST(it.advance(start + 9ms).empty());
    BOOST_TEST(it.advance(start + 10ms).size() == 1U);
    auto const outputs = it.advance(start + 30ms);
    BOOST_TEST(outputs.size() == 2U);
    BOOST_TEST(outputs.back().offset == 2U);
    BOOST_TEST(tokens_of(outputs, key).size() == 2U);
}

BOOST_AUTO_TEST_CASE(gives_the_reference_answer_however_late_it_is_asked)
{
    auto const ok = rc::check(
        "late and early calls",
        [](std::uint64_t seed)
        {
            auto random = random_source{seed};
            auto it = engine_state{settings()};
            auto const asked = request(seed, 1 + random.below(40));
            auto const key = key_of(it.submit(asked, start));
            auto got = token_list{};
            auto now = start;
            while (it.next_due())
            {
                now += duration{random.below(60000)};
                auto const more = tokens_of(it.advance(now), key);
                got.insert(got.end(), more.begin(), more.end());
            }
            RC_ASSERT(got == reference_answer(asked.generation).tokens);
        });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(resumes_from_a_prefix_and_pays_only_for_what_is_lost)
{
    auto it = engine_state{settings()};
    auto asked = request(5, 60);
    auto const whole = reference_answer(asked.generation).tokens;
    BOOST_REQUIRE(whole.size() == 60U);
    key_of(it.submit(asked, start));
    it.advance(start + 300ms);
    asked.prefix.assign(whole.begin(), whole.begin() + 30);
    auto const key = key_of(it.submit(asked, start + 300ms));
    // 80 tokens are 5 whole blocks, all cached by the first stream.
    BOOST_TEST(it.totals().recomputed_tokens == 0U);
    auto const outputs = it.advance(start + 2s);
    auto const rest = token_list{whole.begin() + 30, whole.end()};
    BOOST_TEST((tokens_of(outputs, key) == rest));

    auto other = engine_state{settings()};
    key_of(other.submit(asked, start));
    BOOST_TEST(other.totals().recomputed_tokens == 30U);
    BOOST_TEST(other.totals().prefilled_tokens == 80U);
}

BOOST_AUTO_TEST_CASE(ends_at_once_when_the_prefix_is_already_whole)
{
    auto it = engine_state{settings()};
    auto asked = request(6, 5);
    asked.prefix = reference_answer(asked.generation).tokens;
    key_of(it.submit(asked, start));
    auto const outputs = it.advance(start + 1s);
    BOOST_REQUIRE(outputs.size() == 1U);
    BOOST_TEST(outputs[0].tokens.empty());
    BOOST_TEST(outputs[0].offset == asked.prefix.size());
    BOOST_TEST(outputs[0].finish.has_value());
}

BOOST_AUTO_TEST_SUITE(under_load)

BOOST_AUTO_TEST_CASE(queues_beyond_its_slots_and_refuses_beyond_its_queue)
{
    auto it = engine_state{settings()};
    auto const first = key_of(it.submit(request(1, 900), start));
    key_of(it.submit(request(2, 900), start));
    auto const third = key_of(it.submit(request(3, 900), start));
    auto const fourth = it.submit(request(4, 900), start);
    BOOST_TEST((fourth == std::variant<stream_key, engine_refusal>{
                              engine_refusal::overloaded}));
    BOOST_TEST(it.load().waiting == 1U);
    BOOST_TEST(tokens_of(it.advance(start + 50ms), third).empty());
    it.cancel(first, start + 50ms);
    BOOST_TEST(!tokens_of(it.advance(start + 100ms), third).empty());
}

BOOST_AUTO_TEST_CASE(starts_the_highest_priority_first_then_the_oldest)
{
    auto few = settings();
    few.slots = 1;
    few.max_waiting = 9;
    auto it = engine_state{few};
    auto const running = key_of(it.submit(request(1, 900), start));
    key_of(it.submit(request(2, 900), start));
    auto urgent = request(3, 900);
    urgent.priority = 5;
    auto const key = key_of(it.submit(urgent, start));
    key_of(it.submit(urgent, start));
    it.cancel(running, start);
    BOOST_TEST(!tokens_of(it.advance(start + 100ms), key).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(its_cache)

BOOST_AUTO_TEST_CASE(evicts_the_least_recently_used_and_logs_it)
{
    auto it = prefix_cache{2};
    it.touch(1, start);
    it.touch(2, start);
    it.touch(1, start);
    it.touch(3, start + 1s);
    auto const one = std::uint64_t{1};
    auto const two = std::uint64_t{2};
    BOOST_TEST(it.match({&one, 1}) == 1U);
    BOOST_TEST(it.match({&two, 1}) == 0U);
    BOOST_TEST(it.events(1, start).size() == 2U);
    auto const late = it.events(3, start + 1s);
    BOOST_REQUIRE(late.size() == 2U);
    BOOST_TEST(late[0].block == 2U);
    BOOST_TEST((late[0].what == cache_event::kind::evicted));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(its_orders)

BOOST_AUTO_TEST_CASE(refuse_an_old_fencing_number_where_it_is_checked)
{
    auto order = engine_order{};
    order.kind = order_kind::set_role;
    order.role = "draining";
    order.fencing = 5;
    auto it = engine_state{settings()};
    BOOST_TEST((it.order(order, start) == order_result::done));
    order.fencing = 4;
    BOOST_TEST((it.order(order, start) == order_result::old_fencing_number));
    auto careless = settings();
    careless.checks_fencing = false;
    auto other = engine_state{careless};
    order.fencing = 5;
    other.order(order, start);
    order.fencing = 4;
    BOOST_TEST((other.order(order, start) == order_result::done));
    BOOST_TEST(other.highest_fencing() == 5U);
}

BOOST_AUTO_TEST_CASE(load_a_version_in_its_time)
{
    auto it = engine_state{settings()};
    auto order = engine_order{};
    order.kind = order_kind::set_version;
    order.model = model_id{"fitting"};
    order.version = model_version{"2"};
    BOOST_TEST((it.order(order, start) == order_result::loading));
    auto asked = request(1, 5);
    asked.generation.version = model_version{"2"};
    auto const refused =
        std::variant<stream_key, engine_refusal>{engine_refusal::loading};
    BOOST_TEST((it.submit(asked, start + 1s) == refused));
    BOOST_TEST((it.order(order, start + 2s) == order_result::done));
    key_of(it.submit(asked, start + 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::standins
