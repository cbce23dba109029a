#include "generation/fault_simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <xxhash.h>

#include <optional>

namespace primrosedeal::generation
{

namespace
{

template <class Action>
auto find_action(std::vector<any_action> const& in) -> Action const*
{
    for (auto const& it : in)
    {
        if (auto const* const found = std::get_if<Action>(&it))
        {
            return found;
        }
    }
    return nullptr;
}

auto make_spec(std::uint64_t max_tokens) -> spec
{
    auto it = spec{};
    it.request = request_id{"r"};
    it.service = service_id{"fitting"};
    it.selection = {model_id{"m"}, model_version{""}, adapter_id{""}};
    it.prompt = {token_id{1}, token_id{2}, token_id{3}};
    it.max_tokens = token_count{max_tokens};
    it.deadline = time_point{} + 5s;
    return it;
}

/// A generation with its first attempt running at target `a`.
struct running_fixture
{
    resume_policy policy;
    state_machine subject{make_spec(10), policy};
    time_point now{};

    running_fixture()
    {
        subject.start(now);
        choose("a");
    }

    auto send(any_event const& it, duration later = 10ms)
        -> std::vector<any_action>
    {
        now += later;
        return subject.on_event(it, now);
    }

    auto choose(std::string const& target) -> std::vector<any_action>
    {
        return send(event::target_chosen{target_id{target}, model_version{"1"}},
                    0s);
    }

    auto chunk(std::uint32_t attempt, std::uint64_t offset,
               std::vector<std::uint32_t> const& ids,
               std::vector<std::string> bytes = {}) -> std::vector<any_action>
    {
        auto it = event::chunk{};
        it.attempt = attempt_id{attempt};
        it.offset = offset;
        for (auto const id : ids)
        {
            it.tokens.emplace_back(id);
        }
        it.bytes = bytes.empty() ? std::vector<std::string>(ids.size(), "x")
                                 : std::move(bytes);
        return send(it);
    }

    auto lose(std::uint32_t attempt, attempt_loss const& how = {})
        -> std::vector<any_action>
    {
        return send(event::attempt_lost{attempt_id{attempt}, how});
    }

    auto wait_for_timer() -> std::vector<any_action>
    {
        now = *subject.wake_at();
        return subject.on_event(event::timer{}, now);
    }
};

auto digest_of(std::vector<token_id> const& tokens) -> std::uint64_t
{
    auto bytes = std::vector<unsigned char>{};
    for (auto const& it : tokens)
    {
        for (auto shift = 0U; shift < 32U; shift += 8U)
        {
            bytes.push_back(static_cast<unsigned char>(it.value() >> shift));
        }
    }
    return XXH64(bytes.data(), bytes.size(), 0);
}

/// Whether every token was generated after exactly the tokens before it.
auto continues_one_generation(simulation_result const& it, std::size_t from)
    -> bool
{
    auto before = std::vector<token_id>{};
    for (auto i = std::size_t{0}; i < it.relayed.size(); ++i)
    {
        auto const fits = [&](std::uint64_t salt)
        {
            return sample_token(before, salt) == it.relayed[i];
        };
        if (i >= from && std::none_of(it.salts.begin(), it.salts.end(), fits))
        {
            return false;
        }
        before.push_back(it.relayed[i]);
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_generation)

BOOST_FIXTURE_TEST_SUITE(whose_engine_stays_up, running_fixture)

BOOST_AUTO_TEST_CASE(relays_tokens_in_order_and_ends_at_the_limit)
{
    auto const first = chunk(1, 0, {1, 2, 3});
    BOOST_REQUIRE(find_action<action::relay>(first));
    BOOST_TEST(find_action<action::relay>(first)->offset == 0U);
    auto const last = chunk(1, 3, {4, 5, 6, 7, 8, 9, 10, 11, 12});
    auto const* const end = find_action<action::finish>(last);
    BOOST_REQUIRE(end);
    BOOST_TEST(end->finish_reason == "length");
    BOOST_TEST(end->count.value() == 10U);
    BOOST_TEST(find_action<action::relay>(last)->tokens.size() == 7U);
    BOOST_TEST(subject.ended());
}

BOOST_AUTO_TEST_CASE(drops_a_repeated_chunk_and_trims_an_overlap)
{
    chunk(1, 0, {1, 2, 3});
    auto const again = chunk(1, 0, {1, 2, 3});
    BOOST_TEST(!find_action<action::relay>(again));
    BOOST_TEST(find_action<action::chunk_dropped>(again)->duplicate);
    auto const overlap = chunk(1, 2, {3, 4});
    BOOST_TEST(find_action<action::relay>(overlap)->offset == 3U);
    BOOST_TEST(find_action<action::relay>(overlap)->tokens.size() == 1U);
}

BOOST_AUTO_TEST_CASE(holds_a_character_until_its_last_byte)
{
    auto const first = chunk(1, 0, {1, 97}, {" a", "\xE2\x82"});
    BOOST_TEST(find_action<action::relay>(first)->tokens.size() == 1U);
    auto const second = chunk(1, 2, {5}, {"\xAC!"});
    auto const* const relayed = find_action<action::relay>(second);
    BOOST_TEST(relayed->offset == 1U);
    BOOST_TEST(relayed->text == "\xE2\x82\xAC!");
}

BOOST_AUTO_TEST_CASE(is_not_suspected_while_its_caller_reads_nothing)
{
    chunk(1, 0, {1, 2});
    send(event::caller_slow{});
    BOOST_TEST(!subject.wake_at().has_value());
    send(event::caller_ready{}, 1h);
    auto const silent = send(event::timer{}, 1ms);
    BOOST_TEST(silent.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_engine_is_lost, running_fixture)

BOOST_AUTO_TEST_CASE(resumes_elsewhere_from_the_tokens_it_has)
{
    chunk(1, 0, {1, 2, 3});
    auto const lost = lose(1);
    auto const* const requested = find_action<action::choose_target>(lost);
    BOOST_REQUIRE(requested);
    BOOST_TEST(requested->resuming);
    BOOST_TEST(requested->version.value() == "1");
    BOOST_REQUIRE(requested->exclude.size() == 1U);
    auto const started = choose("b");
    BOOST_TEST(find_action<action::start_attempt>(started)->prefix.size() ==
               3U);
    auto const resumed = chunk(2, 3, {4});
    BOOST_REQUIRE(find_action<action::resumed>(resumed));
    BOOST_TEST((find_action<action::resumed>(resumed)->latency == 10ms));
    BOOST_TEST(find_action<action::resumed>(resumed)->recomputed.value() == 6U);
    BOOST_TEST(find_action<action::relay>(resumed)->offset == 3U);
}

BOOST_AUTO_TEST_CASE(ignores_late_chunks_of_the_lost_attempt)
{
    chunk(1, 0, {1, 2, 3});
    lose(1);
    choose("b");
    auto const late = chunk(1, 3, {9, 9});
    BOOST_TEST(!find_action<action::relay>(late));
    BOOST_TEST(find_action<action::chunk_dropped>(late)->stale_attempt);
    BOOST_TEST(find_action<action::relay>(chunk(2, 3, {4}))->tokens[0] ==
               token_id{4});
}

BOOST_AUTO_TEST_CASE(ends_at_once_when_only_the_end_event_is_missing)
{
    auto const full = chunk(1, 0, {1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    BOOST_TEST(find_action<action::finish>(full)->finish_reason == "length");
}

BOOST_AUTO_TEST_CASE(fails_after_several_engines_failed)
{
    chunk(1, 0, {1});
    lose(1);
    choose("b");
    lose(2);
    choose("c");
    auto const third = lose(3);
    auto const* const end = find_action<action::finish>(third);
    BOOST_REQUIRE(end);
    BOOST_REQUIRE(end->failed);
    BOOST_TEST((end->failed->code == reason::engines_failed));
    BOOST_TEST((end->failed->ran == verdict::may_have_run));
    BOOST_TEST(end->count.value() == 1U);
}

BOOST_AUTO_TEST_CASE(treats_a_stream_with_a_gap_as_lost)
{
    chunk(1, 0, {1, 2});
    auto const gap = chunk(1, 3, {4});
    BOOST_TEST(!find_action<action::relay>(gap));
    auto const* const evidence = find_action<action::target_evidence>(gap);
    BOOST_REQUIRE(evidence);
    BOOST_TEST((evidence->loss.cause == retry_reason::stream_corrupt));
}

BOOST_AUTO_TEST_CASE(waits_for_a_target_once_it_has_output)
{
    chunk(1, 0, {1, 2});
    lose(1);
    auto const none = send(event::no_target{});
    BOOST_TEST(!find_action<action::finish>(none));
    BOOST_TEST(find_action<action::choose_target>(wait_for_timer()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_engine_stops_responding, running_fixture)

BOOST_AUTO_TEST_CASE(probes_on_a_new_connection_and_resumes_there)
{
    chunk(1, 0, {1, 2});
    auto const silent = wait_for_timer();
    BOOST_REQUIRE(find_action<action::probe>(silent));
    auto const alive = send(event::probe_result{target_id{"a"}, true});
    auto const* const requested = find_action<action::choose_target>(alive);
    BOOST_REQUIRE(requested);
    BOOST_TEST((requested->prefer == target_id{"a"}));
    BOOST_TEST(requested->exclude.empty());
    choose("a");
    auto const resumed = chunk(2, 2, {3});
    BOOST_TEST(find_action<action::resumed>(resumed)->same_target);
}

BOOST_AUTO_TEST_CASE(abandons_a_target_that_does_not_answer_the_probe)
{
    chunk(1, 0, {1, 2});
    wait_for_timer();
    auto const unanswered = wait_for_timer();
    auto const* const requested =
        find_action<action::choose_target>(unanswered);
    BOOST_REQUIRE(requested);
    BOOST_TEST((requested->exclude == std::vector{target_id{"a"}}));
}

BOOST_AUTO_TEST_CASE(abandons_a_target_that_is_silent_again)
{
    chunk(1, 0, {1, 2});
    wait_for_timer();
    send(event::probe_result{target_id{"a"}, true});
    choose("a");
    auto const again = wait_for_timer();
    BOOST_TEST(!find_action<action::probe>(again));
    BOOST_REQUIRE(find_action<action::choose_target>(again));
}

BOOST_AUTO_TEST_CASE(continues_when_the_engine_recovers_during_the_probe)
{
    chunk(1, 0, {1, 2});
    wait_for_timer();
    BOOST_TEST(find_action<action::relay>(chunk(1, 2, {3})));
    BOOST_TEST(send(event::probe_result{target_id{"a"}, true}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_an_early_second_attempt)

struct early_fixture : running_fixture
{
    early_fixture()
    {
        policy.early_second_attempt_after = 200ms;
        policy.probe_before_abandoning = false;
        subject = state_machine{make_spec(10), policy};
        subject.start(now);
        choose("a");
        chunk(1, 0, {1, 2});
        chunk(1, 2, {3});
        wait_for_timer();
        choose("b");
    }
};

BOOST_FIXTURE_TEST_CASE(the_first_token_wins_and_the_other_is_cancelled,
                        early_fixture)
{
    auto const won = chunk(2, 3, {4});
    BOOST_TEST(find_action<action::cancel_attempt>(won)->attempt ==
               attempt_id{1});
    BOOST_TEST(!find_action<action::relay>(chunk(1, 3, {7})));
}

BOOST_FIXTURE_TEST_CASE(the_silent_attempt_may_win_too, early_fixture)
{
    auto const won = chunk(1, 3, {7});
    BOOST_TEST(find_action<action::cancel_attempt>(won)->attempt ==
               attempt_id{2});
    BOOST_TEST(!find_action<action::relay>(chunk(2, 3, {4})));
}

BOOST_FIXTURE_TEST_CASE(resumes_that_follow_are_not_early_attempts,
                        early_fixture)
{
    lose(1);
    auto const both_lost = lose(2);
    BOOST_TEST((find_action<action::choose_target>(both_lost)->retry ==
                retry_reason::connection_reset));
    send(event::no_target{});
    auto const again = wait_for_timer();
    BOOST_TEST((find_action<action::choose_target>(again)->retry ==
                retry_reason::silence));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(before_its_first_token)

BOOST_AUTO_TEST_CASE(is_refused_at_once_without_a_target)
{
    auto subject = state_machine{make_spec(10), {}};
    subject.start({});
    auto const out = subject.on_event(event::no_target{reason::overloaded, 2s},
                                      time_point{} + 1ms);
    auto const* const end = find_action<action::finish>(out);
    BOOST_REQUIRE(end);
    BOOST_TEST((end->failed->ran == verdict::not_run));
    BOOST_TEST((end->failed->retry_after == 2s));
}

BOOST_FIXTURE_TEST_CASE(abandons_a_target_that_does_not_answer_a_probe,
                        running_fixture)
{
    BOOST_TEST(find_action<action::probe>(wait_for_timer()));
    auto const unanswered = wait_for_timer();
    BOOST_TEST(find_action<action::choose_target>(unanswered));
    BOOST_TEST((now <= time_point{} + 1400ms));
}

BOOST_FIXTURE_TEST_CASE(
    keeps_a_target_that_answers_and_starts_a_parallel_attempt, running_fixture)
{
    wait_for_timer();
    auto const alive = send(event::probe_result{target_id{"a"}, true});
    BOOST_TEST(alive.empty());
    auto const second = wait_for_timer();
    BOOST_TEST(find_action<action::choose_target>(second));
    BOOST_TEST(!find_action<action::cancel_attempt>(second));
    choose("b");
    BOOST_TEST((now < time_point{} + 3s));
    BOOST_TEST(find_action<action::relay>(chunk(1, 0, {1})));
}

BOOST_FIXTURE_TEST_CASE(ends_at_its_deadline, running_fixture)
{
    auto out = std::vector<any_action>{};
    while (!subject.ended())
    {
        out = wait_for_timer();
        choose("b");
    }
    BOOST_TEST((find_action<action::finish>(out)->failed.has_value()));
    BOOST_TEST((now <= subject.request().deadline));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(resumed_by_its_caller)

BOOST_AUTO_TEST_CASE(starts_after_the_tokens_that_the_caller_has)
{
    auto what = make_spec(10);
    what.prior_tokens = {token_id{1}, token_id{2}};
    what.selection.version = model_version{"1"};
    auto subject = state_machine{what, {}};
    subject.start({});
    auto const started = subject.on_event(
        event::target_chosen{target_id{"b"}, model_version{"1"}}, {});
    BOOST_TEST(find_action<action::start_attempt>(started)->prefix.size() ==
               2U);
    auto const out = subject.on_event(
        event::chunk{attempt_id{1}, 2, {token_id{3}}, {"x"}}, {});
    BOOST_TEST(find_action<action::relay>(out)->offset == 2U);
}

BOOST_AUTO_TEST_CASE(ends_at_once_when_nothing_was_missing)
{
    auto what = make_spec(2);
    what.prior_tokens = {token_id{1}, token_id{2}};
    auto subject = state_machine{what, {}};
    auto const out = subject.start({});
    auto const* const end = find_action<action::finish>(out);
    BOOST_REQUIRE(end);
    BOOST_TEST(end->count.value() == 2U);
    BOOST_TEST(end->digest == digest_of(what.prior_tokens));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(among_random_faults)

BOOST_AUTO_TEST_CASE(is_complete_unmixed_and_ends_once)
{
    auto const holds = rc::check(
        "no token missing, repeated or mixed",
        [](std::uint64_t seed, bool early, bool resumed)
        {
            auto what = make_spec(60);
            if (resumed)
            {
                what.prior_tokens = {token_id{7}, token_id{8}};
            }
            auto policy = resume_policy{};
            policy.max_engine_failures = 5;
            policy.probe_before_abandoning = !early;
            if (early)
            {
                policy.early_second_attempt_after = 300ms;
            }
            auto const it = fault_simulation{seed, {}}.run(what, policy);
            RC_ASSERT(!it.relayed_out_of_order);
            RC_ASSERT(!it.acted_after_finish);
            RC_ASSERT(it.finishes.size() == 1U);
            RC_ASSERT(continues_one_generation(it, what.prior_tokens.size()));
            auto const& end = it.finishes.front();
            RC_ASSERT(end.count.value() == it.relayed.size());
            RC_ASSERT(end.digest == digest_of(it.relayed));
            RC_ASSERT(end.failed.has_value() || it.relayed.size() == 60U);
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::generation
