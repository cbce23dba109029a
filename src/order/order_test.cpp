#include "order/order_coordinator.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::order
{
namespace
{

auto const organisation = organisation_id{"hormahan"};
auto const self = process_id{host_id{"luzon-a-1"}, incarnation{7}};
auto const other = process_id{host_id{"luzon-b-2"}, incarnation{3}};
constexpr auto wall = wall_time{std::chrono::seconds{1'800'000'000}};
constexpr auto start = time_point{100s};

auto make_call(std::string body = "one pair of lasts")
    -> std::shared_ptr<target_call const>
{
    return std::make_shared<target_call const>(target_call{
        service_id{"orders"}, "/orders", std::move(body), "text/plain"});
}

auto make_secret(unsigned char first) -> ticket_secret
{
    auto secret = ticket_secret{};
    secret[0] = first;
    return secret;
}

struct coordinator_fixture
{
    order_limits limits;
    order_coordinator coordinator;
    time_point now = start;
    std::uint64_t next_request = 1;

    explicit coordinator_fixture(order_limits with = {}, process_id who = self)
        : limits(with),
          coordinator(std::move(who), make_secret(1), with, random_source{42})
    {
    }

    auto ticket() -> idempotency_key
    {
        return {organisation,
                coordinator.issue_ticket(organisation, now, wall).value()};
    }

    auto request(idempotency_key const& key, bool repeat = false,
                 bool forwarded = false) -> actions
    {
        return coordinator.on_event(
            order_requested{order_request_id{next_request++}, key, make_call(),
                            now + 3s, repeat, forwarded},
            now);
    }

    auto feed(event const& it) -> actions
    {
        return coordinator.on_event(it, now);
    }

    auto permit(idempotency_key const& key, std::uint32_t attempt = 1) -> bool
    {
        auto then = actions{};
        return coordinator.permit_send(key, attempt_id{attempt}, now, then);
    }

    auto report(idempotency_key const& key, dispatch_result what,
                std::uint32_t attempt = 1) -> actions
    {
        return feed(
            dispatch_completed{key, attempt_id{attempt}, std::move(what)});
    }
};

auto chosen_key(std::string text = "booking-4711") -> idempotency_key
{
    return {organisation, std::move(text)};
}

template <class Action>
auto expect_only(actions const& all) -> Action
{
    BOOST_REQUIRE_EQUAL(all.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<Action>(all[0]));
    return std::get<Action>(all[0]);
}

void check_reply(actions const& all, verdict ran, std::optional<reason> code)
{
    auto const received = expect_only<send_reply>(all).content;
    BOOST_TEST(to_string(received.ran) == to_string(ran));
    BOOST_REQUIRE(received.code.has_value() == code.has_value());
    if (code)
    {
        BOOST_TEST(to_string(*received.code) == to_string(*code));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(tickets)

BOOST_AUTO_TEST_CASE(a_formatted_ticket_is_parsed_back)
{
    auto const given = ticket{self, ticket_serial{12}, wall};
    auto const text = format_ticket(given, organisation, make_secret(1));
    auto const parsed = parse_ticket(text);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == given));
    BOOST_TEST(is_authentic({organisation, text}, *parsed, make_secret(1)));
    BOOST_TEST(!is_authentic({organisation, text}, *parsed, make_secret(2)));
    BOOST_TEST(!is_authentic({organisation_id{"kigali"}, text}, *parsed,
                             make_secret(1)));
}

BOOST_AUTO_TEST_CASE(a_modified_ticket_is_not_authentic)
{
    auto const text = format_ticket({self, ticket_serial{12}, wall},
                                    organisation, make_secret(1));
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        auto const parsed = parse_ticket(changed);
        BOOST_TEST((!parsed || !is_authentic({organisation, changed}, *parsed,
                                             make_secret(1))));
    }
}

BOOST_AUTO_TEST_CASE(a_malformed_or_forged_ticket_is_never_dispatched)
{
    auto it = coordinator_fixture{};
    check_reply(it.request(chosen_key("t1~x")), verdict::not_run,
                reason::malformed_request);
    auto const forged = format_ticket({self, ticket_serial{1}, wall},
                                      organisation, make_secret(9));
    it.ticket();
    check_reply(it.request(chosen_key(forged)), verdict::not_run,
                reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(a_ticket_is_dispatched_once)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    expect_only<dispatch>(it.request(key));
    BOOST_TEST(it.request(key).empty()); // waits for the same outcome
    BOOST_TEST(it.permit(key));
    BOOST_TEST(!it.permit(key));
    auto const received = it.report(key, target_response{201, "carved"});
    BOOST_REQUIRE_EQUAL(received.size(), 2U);
    for (auto const& each : received)
    {
        BOOST_TEST(std::get<send_reply>(each).content.body == "carved");
    }
    check_reply(it.request(key), verdict::ran, std::nullopt);
}

BOOST_AUTO_TEST_CASE(a_ticket_evicted_from_the_cache_is_not_dispatched_again)
{
    auto limits = order_limits{};
    limits.outcomes.max_outcomes = 1;
    auto it = coordinator_fixture{limits};
    auto const first = it.ticket();
    auto const second = it.ticket();
    for (auto const& key : {first, second})
    {
        it.request(key);
        BOOST_TEST(it.permit(key));
        it.report(key, target_response{200, ""});
    }
    check_reply(it.request(first), verdict::may_have_run,
                reason::outcome_unknown);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket_is_never_dispatched)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.now += it.limits.tickets.lifetime;
    check_reply(it.request(key), verdict::may_have_run, reason::ticket_expired);
}

BOOST_AUTO_TEST_CASE(a_ticket_is_forwarded_to_its_owner_only_once)
{
    auto const key = coordinator_fixture{{}, other}.ticket();
    auto it = coordinator_fixture{};
    auto const sent = expect_only<forward>(it.request(key));
    BOOST_TEST((sent.owner == other));
    check_reply(it.feed(forward_failed{sent.request_id}), verdict::may_have_run,
                reason::ticket_unknown);
    check_reply(it.request(key, false, true), verdict::may_have_run,
                reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(a_ticket_of_an_earlier_incarnation_may_have_run)
{
    auto earlier = self;
    earlier.start = incarnation{6};
    auto const key = coordinator_fixture{{}, earlier}.ticket();
    check_reply(coordinator_fixture{}.request(key), verdict::may_have_run,
                reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(no_ticket_is_issued_above_the_limit_of_unused_ones)
{
    auto limits = order_limits{};
    limits.tickets.max_unused = 2;
    auto it = coordinator_fixture{limits};
    it.ticket();
    it.ticket();
    BOOST_TEST(
        !it.coordinator.issue_ticket(organisation, it.now, wall).has_value());
    it.now += limits.tickets.lifetime;
    BOOST_TEST(
        it.coordinator.issue_ticket(organisation, it.now, wall).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(the_own_claim_record_permits_dispatch)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    BOOST_TEST((write.record.owner == self));
    expect_only<dispatch>(it.feed(
        claim_write_completed{chosen_key(), write.record.nonce, write.record}));
}

BOOST_AUTO_TEST_CASE(a_lost_write_response_leads_to_a_read)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    expect_only<read_claim>(
        it.feed(claim_write_failed{chosen_key(), write.record.nonce}));
    expect_only<dispatch>(it.feed(
        claim_read_completed{chosen_key(), write.record.nonce, write.record}));
}

BOOST_AUTO_TEST_CASE(an_absent_record_is_written_again_with_the_same_nonce)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    it.feed(claim_write_failed{chosen_key(), write.record.nonce});
    auto const again = expect_only<write_claim>(it.feed(
        claim_read_completed{chosen_key(), write.record.nonce, std::nullopt}));
    BOOST_TEST((again.record == write.record));
}

BOOST_AUTO_TEST_SUITE(that_cannot_be_confirmed)

struct unconfirmed_claim : coordinator_fixture
{
    claim_nonce nonce;

    unconfirmed_claim() : coordinator_fixture(single_call_limits())
    {
        nonce = expect_only<write_claim>(request(chosen_key())).record.nonce;
        feed(platform_down{});
        check_reply(feed(claim_write_failed{chosen_key(), nonce}),
                    verdict::not_run, reason::claim_unresolved);
    }

    static auto single_call_limits() -> order_limits
    {
        auto limits = order_limits{};
        limits.max_claim_calls = 1;
        return limits;
    }
};

BOOST_FIXTURE_TEST_CASE(are_not_run_and_never_dispatched_here,
                        unconfirmed_claim)
{
    auto const record = claim_record{self, nonce, false};
    BOOST_TEST(
        feed(claim_write_completed{chosen_key(), nonce, record}).empty());
    BOOST_TEST(feed(claim_read_completed{chosen_key(), nonce, record}).empty());
    check_reply(request(chosen_key()), verdict::not_run,
                reason::claim_unresolved);
    check_reply(request(chosen_key(), true), verdict::may_have_run,
                reason::claim_unresolved);
}

BOOST_FIXTURE_TEST_CASE(are_marked_abandoned_when_the_service_is_up_again,
                        unconfirmed_claim)
{
    BOOST_TEST(!coordinator.next_timer().has_value());
    auto const mark = expect_only<mark_abandoned>(feed(platform_up{}));
    BOOST_TEST((mark.record == claim_record{self, nonce, true}));
    BOOST_TEST(feed(abandon_failed{chosen_key(), nonce}).empty());
    now += limits.abandon_retry_interval;
    expect_only<mark_abandoned>(feed(timer_due{}));
    feed(abandon_completed{chosen_key(), nonce});
    BOOST_TEST(coordinator.unresolved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(an_order_claimed_by_another_process_is_forwarded_to_it)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    auto const theirs = claim_record{other, claim_nonce{5}, false};
    auto const sent = expect_only<forward>(it.feed(
        claim_write_completed{chosen_key(), write.record.nonce, theirs}));
    BOOST_TEST((sent.owner == other));
    check_reply(it.feed(forward_failed{sent.request_id}), verdict::may_have_run,
                reason::claim_taken);
}

BOOST_AUTO_TEST_CASE(an_abandoned_claim_was_not_run)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key(), true));
    auto const theirs = claim_record{other, claim_nonce{5}, true};
    check_reply(it.feed(claim_write_completed{chosen_key(), write.record.nonce,
                                              theirs}),
                verdict::not_run, reason::claim_unresolved);
}

BOOST_AUTO_TEST_CASE(
    no_claim_starts_while_the_service_is_down_or_over_the_rate_limit)
{
    auto limits = order_limits{};
    limits.platform_call_limits = {1, 1};
    auto it = coordinator_fixture{limits};
    expect_only<write_claim>(it.request(chosen_key("a")));
    check_reply(it.request(chosen_key("b")), verdict::not_run,
                reason::overloaded);
    it.now += 1s;
    expect_only<write_claim>(it.request(chosen_key("b")));
    it.feed(platform_down{});
    check_reply(it.request(chosen_key("c")), verdict::not_run,
                reason::platform_unavailable);
    check_reply(it.request(chosen_key("c"), true), verdict::may_have_run,
                reason::platform_unavailable);
}

BOOST_AUTO_TEST_CASE(an_unconfirmed_claim_past_its_deadline_is_not_run)
{
    auto it = coordinator_fixture{};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    it.now += 3s;
    auto const then = it.feed(timer_due{});
    BOOST_REQUIRE_EQUAL(then.size(), 2U);
    BOOST_TEST((std::get<send_reply>(then[0]).content.ran == verdict::not_run));
    BOOST_TEST(std::holds_alternative<mark_abandoned>(then[1]));
    BOOST_TEST(it.feed(claim_write_completed{chosen_key(), write.record.nonce,
                                             write.record})
                   .empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(dispatching)

BOOST_AUTO_TEST_CASE(another_target_is_tried_if_no_byte_was_sent)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.request(key);
    BOOST_TEST(it.permit(key));
    auto const again =
        expect_only<dispatch>(it.report(key, not_connected{target_id{"t1"}}));
    BOOST_TEST(again.attempt.value() == 2U);
    BOOST_TEST((again.tried == std::vector{target_id{"t1"}}));
    BOOST_TEST(!it.permit(key, 1));
    BOOST_TEST(it.permit(key, 2));
    it.report(key, call_interrupted{}, 2);
    check_reply(it.request(key), verdict::may_have_run, reason::target_failed);
}

BOOST_AUTO_TEST_CASE(an_order_without_a_target_is_not_run)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.request(key);
    check_reply(it.report(key, no_target{}), verdict::not_run,
                reason::no_target);
}

BOOST_AUTO_TEST_CASE(the_deadline_is_checked_again_before_the_send)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.request(key);
    it.now += 3s; // the process was paused
    auto then = actions{};
    BOOST_TEST(!it.coordinator.permit_send(key, attempt_id{1}, it.now, then));
    check_reply(then, verdict::not_run, reason::deadline_expired);
}

BOOST_AUTO_TEST_CASE(a_sent_order_past_its_deadline_may_have_run)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.request(key);
    BOOST_TEST(it.permit(key));
    it.now += 3s;
    check_reply(it.feed(timer_due{}), verdict::may_have_run,
                reason::deadline_expired);
    BOOST_TEST(it.report(key, target_response{200, "done"}).empty());
    check_reply(it.request(key), verdict::ran, std::nullopt);
}

BOOST_AUTO_TEST_CASE(a_key_reused_for_another_call_is_rejected)
{
    auto it = coordinator_fixture{};
    auto const key = it.ticket();
    it.request(key);
    check_reply(
        it.feed(order_requested{order_request_id{99}, key, make_call("another"),
                                it.now + 3s, false, false}),
        verdict::may_have_run, reason::malformed_request);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outcomes)

BOOST_AUTO_TEST_CASE(a_key_claimed_here_before_counts_as_a_repeat)
{
    auto limits = order_limits{};
    limits.outcomes.max_outcomes = 0;
    auto it = coordinator_fixture{limits};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    it.feed(
        claim_write_completed{chosen_key(), write.record.nonce, write.record});
    BOOST_TEST(it.permit(chosen_key()));
    it.report(chosen_key(), target_response{200, "carved"});
    it.feed(platform_down{});
    check_reply(it.request(chosen_key()), verdict::may_have_run,
                reason::platform_unavailable);
}

BOOST_AUTO_TEST_CASE(a_request_that_joins_such_a_claim_counts_as_a_repeat)
{
    auto limits = order_limits{};
    limits.outcomes.max_outcomes = 0;
    limits.max_claim_calls = 1;
    auto it = coordinator_fixture{limits};
    auto const write = expect_only<write_claim>(it.request(chosen_key()));
    it.feed(
        claim_write_completed{chosen_key(), write.record.nonce, write.record});
    BOOST_TEST(it.permit(chosen_key()));
    it.report(chosen_key(), target_response{200, "carved"});
    auto const again = expect_only<write_claim>(it.request(chosen_key()));
    BOOST_TEST(it.request(chosen_key()).empty());
    auto const then =
        it.feed(claim_write_failed{chosen_key(), again.record.nonce});
    auto answers = 0;
    for (auto const& each : then)
    {
        if (auto const* const received = std::get_if<send_reply>(&each))
        {
            ++answers;
            BOOST_TEST((received->content.ran == verdict::may_have_run));
        }
    }
    BOOST_TEST(answers == 2);
}

BOOST_AUTO_TEST_CASE(
    the_bloom_filter_has_no_false_negatives_and_few_false_positives)
{
    auto filter = key_bloom_filter{10'000};
    for (auto i = 0; i < 1'000; ++i)
    {
        filter.add(chosen_key(std::to_string(i)));
    }
    auto wrong = 0;
    for (auto i = 0; i < 1'000; ++i)
    {
        BOOST_TEST(filter.may_contain(chosen_key(std::to_string(i))));
        wrong +=
            filter.may_contain(chosen_key(std::to_string(i + 1'000))) ? 1 : 0;
    }
    BOOST_TEST(wrong < 30);
}

BOOST_AUTO_TEST_CASE(the_cache_is_bounded_in_entries_and_bytes)
{
    auto limits = outcome_limits{10, 4'000, 1'000};
    auto cache = outcome_cache{limits};
    for (auto i = 0; i < 100; ++i)
    {
        auto what = reply{};
        what.body = std::string(static_cast<std::size_t>(i) * 13, 'x');
        cache.insert(chosen_key(std::to_string(i)), {1, what});
        BOOST_TEST(cache.size() <= limits.max_outcomes);
        BOOST_TEST(cache.bytes() <= limits.max_bytes);
    }
    BOOST_REQUIRE(cache.find(chosen_key("99")) != nullptr);
    BOOST_TEST(cache.find(chosen_key("99"))->content.body_dropped);
    BOOST_TEST(cache.find(chosen_key("0")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::order
