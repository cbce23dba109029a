#include "core/random.hpp"
#include "load/answer_check.hpp"
#include "load/driver.hpp"
#include "load/event_parser.hpp"
#include "load/workload.hpp"
#include "net/http_server.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <set>

namespace primrosedeal::load
{

namespace
{

auto options_to(std::vector<net::endpoint> hosts) -> load_options
{
    auto it = load_options{};
    it.hosts = std::move(hosts);
    it.keys = {"key-of-abra-lasts", "key-of-cebu-stores"};
    it.generations = 400;
    return it;
}

auto some_request() -> standins::generation_request
{
    return {model_id{"fitting"},
            model_version{"1"},
            {},
            {token_id{1}, token_id{2}},
            5,
            20,
            {}};
}

void end_rightly(answer_check& it, standins::whole_answer const& whole)
{
    it.end(whole.tokens.size(),
           standins::to_hex(standins::token_digest(whole.tokens)),
           to_string(whole.finish));
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_plan)

BOOST_AUTO_TEST_CASE(depends_on_the_seed_alone_and_is_in_order_of_time)
{
    auto options = options_to({{"127.0.0.1", 1}});
    options.orders = 10;
    auto const first = plan_workload(options);
    auto const second = plan_workload(options);
    BOOST_REQUIRE(first.size() == 410U);
    for (auto i = std::size_t{0}; i < first.size(); ++i)
    {
        BOOST_TEST((first[i].at == second[i].at));
        BOOST_TEST((i == 0 || first[i - 1].at <= first[i].at));
    }
    options.seed = 2;
    BOOST_TEST((plan_workload(options)[0].at != first[0].at));
}

BOOST_AUTO_TEST_CASE(has_the_rate_and_the_long_share_asked_for)
{
    auto options = options_to({{"127.0.0.1", 1}});
    options.generations = 4000;
    options.generations_per_second = 100;
    auto const plan = plan_workload(options);
    auto long_ones = 0;
    for (auto const& it : plan)
    {
        long_ones += std::get<planned_generation>(it.what).is_long ? 1 : 0;
    }
    BOOST_TEST(long_ones > 200);
    BOOST_TEST(long_ones < 360);
    BOOST_TEST(to_seconds(plan.back().at) > 36.0);
    BOOST_TEST(to_seconds(plan.back().at) < 44.0);
}

BOOST_AUTO_TEST_CASE(needs_a_host_and_a_key)
{
    BOOST_CHECK_THROW(plan_workload(options_to({})), std::invalid_argument);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(server_sent_events)

BOOST_AUTO_TEST_CASE(are_the_same_however_the_bytes_are_cut)
{
    auto const ok = rc::check(
        "cut anywhere",
        [](std::uint64_t seed)
        {
            auto random = random_source{seed};
            auto const text = std::string{
                "event: start\ndata: {}\n\nid: 0\r\ndata: a\ndata: b\r\n\r\n"
                ": comment\n\nevent: end\nid: 2\ndata: x\n\n"};
            auto got = std::vector<std::string>{};
            auto parser = event_parser{};
            for (auto rest = std::string_view{text}; !rest.empty();)
            {
                auto const n =
                    std::min<std::size_t>(1 + random.below(9), rest.size());
                parser.take(rest.substr(0, n), [&](server_event const& it)
                            { got.push_back(it.type + it.id + it.data); });
                rest.remove_prefix(n);
            }
            RC_ASSERT(got ==
                      (std::vector<std::string>{"start{}", "0a\nb", "end2x"}));
        });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_check_of_an_answer)

BOOST_AUTO_TEST_CASE(passes_the_reference_in_any_pieces)
{
    auto const whole = standins::reference_answer(some_request());
    auto it = answer_check{some_request()};
    auto const all = std::span{whole.tokens};
    it.take(0, all.first(7), whole.text);
    it.take(7, all.subspan(7), "");
    end_rightly(it, whole);
    BOOST_TEST(it.complete());
    BOOST_TEST(it.first_fault() == "");
}

BOOST_AUTO_TEST_CASE(counts_missing_repeated_and_mixed_apart)
{
    auto const whole = standins::reference_answer(some_request());
    auto const all = std::span{whole.tokens};
    auto missing = answer_check{some_request()};
    missing.take(0, all.first(5), "");
    end_rightly(missing, whole);
    BOOST_TEST((missing.faults() == token_faults{15, 0, 0}));
    auto repeated = answer_check{some_request()};
    repeated.take(0, all, whole.text);
    repeated.take(18, all.subspan(18), "");
    end_rightly(repeated, whole);
    BOOST_TEST((repeated.faults() == token_faults{0, 2, 0}));
    auto mixed = answer_check{some_request()};
    auto wrong = whole.tokens;
    wrong[4] = token_id{wrong[4].value() + 1};
    mixed.take(0, wrong, whole.text);
    end_rightly(mixed, whole);
    BOOST_TEST((mixed.faults() == token_faults{0, 0, 1}));
    BOOST_TEST(!missing.complete());
    BOOST_TEST(!repeated.complete());
    BOOST_TEST(!mixed.complete());
}

BOOST_AUTO_TEST_CASE(sees_a_wrong_digest_count_reason_or_text)
{
    auto const whole = standins::reference_answer(some_request());
    auto const digest = standins::to_hex(standins::token_digest(whole.tokens));
    auto const judge = [&](std::uint64_t count, std::string const& sum,
                           std::string_view finish, std::string_view text)
    {
        auto it = answer_check{some_request()};
        it.take(0, whole.tokens, text);
        it.end(count, sum, finish);
        return it.complete();
    };
    auto const n = whole.tokens.size();
    BOOST_TEST(judge(n, digest, "length", whole.text));
    BOOST_TEST(!judge(n + 1, digest, "length", whole.text));
    BOOST_TEST(!judge(n, "0", "length", whole.text));
    BOOST_TEST(!judge(n, digest, "stop", whole.text));
    BOOST_TEST(!judge(n, digest, "length", whole.text.substr(1)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_report)

BOOST_AUTO_TEST_CASE(takes_the_nearest_rank)
{
    auto samples = std::vector<duration>{};
    for (auto i = 1; i <= 100; ++i)
    {
        samples.push_back(std::chrono::milliseconds{101 - i});
    }
    auto const it = summarise(samples);
    BOOST_TEST((it.p50 == 50ms));
    BOOST_TEST((it.p95 == 95ms));
    BOOST_TEST((it.most == 100ms));
    BOOST_TEST(summarise({}).count == 0U);
}

BOOST_AUTO_TEST_CASE(says_whether_the_promises_held)
{
    auto it = load_report{};
    it.orders = {{0, {}, call_outcome::ran, {}, 0, ""},
                 {1, {}, call_outcome::may_have_run, {}, 0, ""},
                 {2, {}, call_outcome::not_run, {}, 0, ""}};
    auto const kept = [&](execution_counts counts)
    {
        it.executions = counts;
        return promises_kept(it);
    };
    BOOST_TEST(kept({true, 1, 0}));
    BOOST_TEST(kept({true, 2, 0}));
    BOOST_TEST(!kept({true, 3, 0}));
    BOOST_TEST(!kept({true, 0, 0}));
    BOOST_TEST(!kept({true, 2, 1}));
    BOOST_TEST(!kept({false, 1, 0}));
    auto answer = generation_result{};
    answer.complete = true;
    it.generations = {answer};
    BOOST_TEST(kept({true, 1, 0}));
    it.lookups = {{0, {}, call_outcome::not_run, {}, 0, ""}};
    BOOST_TEST(!kept({true, 1, 0}));
    it.lookups.clear();
    it.generations[0].faults.mixed = 1;
    BOOST_TEST(!kept({true, 1, 0}));
}

BOOST_AUTO_TEST_CASE(has_a_row_for_each_call_and_a_plot)
{
    auto it = load_report{};
    it.generations.resize(2);
    it.lookups.resize(1);
    auto const csv = to_csv(it);
    BOOST_TEST(std::count(csv.begin(), csv.end(), '\n') == 4);
    BOOST_TEST(to_svg(it).find("<circle") != std::string::npos);
    BOOST_TEST(to_text(it).find("0 of 2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::load
