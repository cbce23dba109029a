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

auto some_call(std::string body = "one pair of lasts")
    -> std::shared_ptr<plain_call const>
{
    return std::make_shared<plain_call const>(plain_call{
        service_id{"orders"}, "/orders", std::move(body), "text/plain"});
}

auto secret_of(unsigned char first) -> ticket_secret
{
    auto secret = ticket_secret{};
    secret[0] = first;
    return secret;
}

struct desk
{
    book_limits limits;
    order_book book;
    time_point now = start;
    std::uint64_t next_ask = 1;

    explicit desk(book_limits with = {}, process_id who = self)
        : limits(with),
          book(std::move(who), secret_of(1), with, random_source{42})
    {
    }

    auto ticket() -> call_key
    {
        return {organisation,
                book.give_ticket(organisation, now, wall).value()};
    }

    auto ask(call_key const& key, bool repeat = false, bool forwarded = false)
        -> actions
    {
        return book.on_event(asked{ask_id{next_ask++}, key, some_call(),
                                   now + 3s, repeat, forwarded},
                             now);
    }

    auto tell(event const& it) -> actions
    {
        return book.on_event(it, now);
    }

    auto permit(call_key const& key, std::uint32_t attempt = 1) -> bool
    {
        auto then = actions{};
        return book.permit_send(key, attempt_id{attempt}, now, then);
    }

    auto outcome(call_key const& key, outcome_of_dispatch what,
                 std::uint32_t attempt = 1) -> actions
    {
        return tell(
            dispatch_outcome{key, attempt_id{attempt}, std::move(what)});
    }
};

auto chosen(std::string text = "booking-4711") -> call_key
{
    return {organisation, std::move(text)};
}

template <class Action>
auto only(actions const& all) -> Action
{
    BOOST_REQUIRE_EQUAL(all.size(), 1U);
    BOOST_REQUIRE(std::holds_alternative<Action>(all[0]));
    return std::get<Action>(all[0]);
}

void check_told(actions const& all, verdict ran, std::optional<reason> code)
{
    auto const told = only<answer>(all).what;
    BOOST_TEST(to_string(told.ran) == to_string(ran));
    BOOST_REQUIRE(told.code.has_value() == code.has_value());
    if (code)
    {
        BOOST_TEST(to_string(*told.code) == to_string(*code));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(tickets)

BOOST_AUTO_TEST_CASE(a_ticket_is_read_back_as_it_was_given)
{
    auto const given = ticket{self, ticket_serial{12}, wall};
    auto const text = format_ticket(given, organisation, secret_of(1));
    auto const parsed = parse_ticket(text);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == given));
    BOOST_TEST(is_genuine({organisation, text}, *parsed, secret_of(1)));
    BOOST_TEST(!is_genuine({organisation, text}, *parsed, secret_of(2)));
    BOOST_TEST(
        !is_genuine({organisation_id{"kigali"}, text}, *parsed, secret_of(1)));
}

BOOST_AUTO_TEST_CASE(no_changed_ticket_is_genuine)
{
    auto const text = format_ticket({self, ticket_serial{12}, wall},
                                    organisation, secret_of(1));
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        auto changed = text;
        changed[i] = changed[i] == '1' ? '2' : '1';
        auto const parsed = parse_ticket(changed);
        BOOST_TEST((!parsed || !is_genuine({organisation, changed}, *parsed,
                                           secret_of(1))));
    }
}

BOOST_AUTO_TEST_CASE(a_malformed_or_made_up_ticket_is_never_dispatched)
{
    auto it = desk{};
    check_told(it.ask(chosen("t1~x")), verdict::not_run,
               reason::malformed_request);
    auto const made_up = format_ticket({self, ticket_serial{1}, wall},
                                       organisation, secret_of(9));
    it.ticket();
    check_told(it.ask(chosen(made_up)), verdict::not_run,
               reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(a_ticket_is_dispatched_once)
{
    auto it = desk{};
    auto const key = it.ticket();
    only<dispatch>(it.ask(key));
    BOOST_TEST(it.ask(key).empty()); // waits for the same outcome
    BOOST_TEST(it.permit(key));
    BOOST_TEST(!it.permit(key));
    auto const told = it.outcome(key, target_answer{201, "carved"});
    BOOST_REQUIRE_EQUAL(told.size(), 2U);
    for (auto const& each : told)
    {
        BOOST_TEST(std::get<answer>(each).what.body == "carved");
    }
    check_told(it.ask(key), verdict::ran, std::nullopt);
}

BOOST_AUTO_TEST_CASE(a_forgotten_ticket_is_never_dispatched)
{
    auto limits = book_limits{};
    limits.outcomes.max_outcomes = 1;
    auto it = desk{limits};
    auto const first = it.ticket();
    auto const second = it.ticket();
    for (auto const& key : {first, second})
    {
        it.ask(key);
        BOOST_TEST(it.permit(key));
        it.outcome(key, target_answer{200, ""});
    }
    check_told(it.ask(first), verdict::may_have_run, reason::outcome_unknown);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket_is_never_dispatched)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.now += it.limits.tickets.lifetime;
    check_told(it.ask(key), verdict::may_have_run, reason::ticket_expired);
}

BOOST_AUTO_TEST_CASE(a_ticket_goes_to_its_owner_and_no_further)
{
    auto const key = desk{{}, other}.ticket();
    auto it = desk{};
    auto const sent = only<forward>(it.ask(key));
    BOOST_TEST((sent.owner == other));
    check_told(it.tell(forward_lost{sent.ask}), verdict::may_have_run,
               reason::ticket_unknown);
    check_told(it.ask(key, false, true), verdict::may_have_run,
               reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(a_ticket_of_an_earlier_start_may_have_run)
{
    auto earlier = self;
    earlier.start = incarnation{6};
    auto const key = desk{{}, earlier}.ticket();
    check_told(desk{}.ask(key), verdict::may_have_run, reason::ticket_unknown);
}

BOOST_AUTO_TEST_CASE(too_many_unused_tickets_give_no_more)
{
    auto limits = book_limits{};
    limits.tickets.max_unused = 2;
    auto it = desk{limits};
    it.ticket();
    it.ticket();
    BOOST_TEST(!it.book.give_ticket(organisation, it.now, wall).has_value());
    it.now += limits.tickets.lifetime;
    BOOST_TEST(it.book.give_ticket(organisation, it.now, wall).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(claims)

BOOST_AUTO_TEST_CASE(dispatch_follows_the_own_record)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen()));
    BOOST_TEST((write.record.owner == self));
    only<dispatch>(
        it.tell(claim_answered{chosen(), write.record.nonce, write.record}));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_read_back_by_its_nonce)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen()));
    only<read_claim>(it.tell(claim_lost{chosen(), write.record.nonce}));
    only<dispatch>(
        it.tell(claim_read_back{chosen(), write.record.nonce, write.record}));
}

BOOST_AUTO_TEST_CASE(an_absent_record_is_written_again_with_the_same_nonce)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen()));
    it.tell(claim_lost{chosen(), write.record.nonce});
    auto const again = only<write_claim>(
        it.tell(claim_read_back{chosen(), write.record.nonce, std::nullopt}));
    BOOST_TEST((again.record == write.record));
}

BOOST_AUTO_TEST_SUITE(that_cannot_be_read_back)

struct given_up : desk
{
    claim_nonce nonce;

    given_up() : desk(one_call())
    {
        nonce = only<write_claim>(ask(chosen())).record.nonce;
        tell(platform_down{});
        check_told(tell(claim_lost{chosen(), nonce}), verdict::not_run,
                   reason::claim_unresolved);
    }

    static auto one_call() -> book_limits
    {
        auto limits = book_limits{};
        limits.max_claim_calls = 1;
        return limits;
    }
};

BOOST_FIXTURE_TEST_CASE(are_not_run_and_never_dispatched_here, given_up)
{
    auto const record = claim_record{self, nonce, false};
    BOOST_TEST(tell(claim_answered{chosen(), nonce, record}).empty());
    BOOST_TEST(tell(claim_read_back{chosen(), nonce, record}).empty());
    check_told(ask(chosen()), verdict::not_run, reason::claim_unresolved);
    check_told(ask(chosen(), true), verdict::may_have_run,
               reason::claim_unresolved);
}

BOOST_FIXTURE_TEST_CASE(are_marked_when_the_service_answers_again, given_up)
{
    BOOST_TEST(!book.next_timer().has_value());
    auto const mark = only<mark_abandoned>(tell(platform_up{}));
    BOOST_TEST((mark.record == claim_record{self, nonce, true}));
    BOOST_TEST(tell(abandon_lost{chosen(), nonce}).empty());
    now += limits.mark_retry;
    only<mark_abandoned>(tell(timer_due{}));
    tell(abandon_answered{chosen(), nonce});
    BOOST_TEST(book.unresolved() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(a_claim_of_another_process_is_asked_there)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen()));
    auto const theirs = claim_record{other, claim_nonce{5}, false};
    auto const sent = only<forward>(
        it.tell(claim_answered{chosen(), write.record.nonce, theirs}));
    BOOST_TEST((sent.owner == other));
    check_told(it.tell(forward_lost{sent.ask}), verdict::may_have_run,
               reason::claim_taken);
}

BOOST_AUTO_TEST_CASE(an_abandoned_claim_did_not_run)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen(), true));
    auto const theirs = claim_record{other, claim_nonce{5}, true};
    check_told(it.tell(claim_answered{chosen(), write.record.nonce, theirs}),
               verdict::not_run, reason::claim_unresolved);
}

BOOST_AUTO_TEST_CASE(without_the_service_or_budget_nothing_is_claimed)
{
    auto limits = book_limits{};
    limits.platform_calls = {1, 1};
    auto it = desk{limits};
    only<write_claim>(it.ask(chosen("a")));
    check_told(it.ask(chosen("b")), verdict::not_run, reason::overloaded);
    it.now += 1s;
    only<write_claim>(it.ask(chosen("b")));
    it.tell(platform_down{});
    check_told(it.ask(chosen("c")), verdict::not_run,
               reason::platform_unavailable);
    check_told(it.ask(chosen("c"), true), verdict::may_have_run,
               reason::platform_unavailable);
}

BOOST_AUTO_TEST_CASE(a_claim_that_outlasts_its_deadline_is_not_run)
{
    auto it = desk{};
    auto const write = only<write_claim>(it.ask(chosen()));
    it.now += 3s;
    auto const then = it.tell(timer_due{});
    BOOST_REQUIRE_EQUAL(then.size(), 2U);
    BOOST_TEST((std::get<answer>(then[0]).what.ran == verdict::not_run));
    BOOST_TEST(std::holds_alternative<mark_abandoned>(then[1]));
    BOOST_TEST(
        it.tell(claim_answered{chosen(), write.record.nonce, write.record})
            .empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(dispatching)

BOOST_AUTO_TEST_CASE(another_target_is_tried_while_not_a_byte_has_left)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.ask(key);
    BOOST_TEST(it.permit(key));
    auto const again =
        only<dispatch>(it.outcome(key, not_connected{target_id{"t1"}}));
    BOOST_TEST(again.attempt.value() == 2U);
    BOOST_TEST((again.tried == std::vector{target_id{"t1"}}));
    BOOST_TEST(!it.permit(key, 1));
    BOOST_TEST(it.permit(key, 2));
    it.outcome(key, broken{}, 2);
    check_told(it.ask(key), verdict::may_have_run, reason::target_failed);
}

BOOST_AUTO_TEST_CASE(targets_run_out)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.ask(key);
    check_told(it.outcome(key, no_target{}), verdict::not_run,
               reason::no_target);
}

BOOST_AUTO_TEST_CASE(the_deadline_is_checked_again_before_the_send)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.ask(key);
    it.now += 3s; // the process was paused here
    auto then = actions{};
    BOOST_TEST(!it.book.permit_send(key, attempt_id{1}, it.now, then));
    check_told(then, verdict::not_run, reason::deadline_expired);
}

BOOST_AUTO_TEST_CASE(a_sent_order_outlasts_its_deadline_as_may_have_run)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.ask(key);
    BOOST_TEST(it.permit(key));
    it.now += 3s;
    check_told(it.tell(timer_due{}), verdict::may_have_run,
               reason::deadline_expired);
    BOOST_TEST(it.outcome(key, target_answer{200, "done"}).empty());
    check_told(it.ask(key), verdict::ran, std::nullopt);
}

BOOST_AUTO_TEST_CASE(one_key_is_one_call)
{
    auto it = desk{};
    auto const key = it.ticket();
    it.ask(key);
    check_told(it.tell(asked{ask_id{99}, key, some_call("another"), it.now + 3s,
                             false, false}),
               verdict::may_have_run, reason::malformed_request);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(outcomes)

BOOST_AUTO_TEST_CASE(a_key_once_claimed_here_is_known_as_a_repeat)
{
    auto limits = book_limits{};
    limits.outcomes.max_outcomes = 0;
    auto it = desk{limits};
    auto const write = only<write_claim>(it.ask(chosen()));
    it.tell(claim_answered{chosen(), write.record.nonce, write.record});
    BOOST_TEST(it.permit(chosen()));
    it.outcome(chosen(), target_answer{200, "carved"});
    it.tell(platform_down{});
    check_told(it.ask(chosen()), verdict::may_have_run,
               reason::platform_unavailable);
}

BOOST_AUTO_TEST_CASE(a_copy_that_joins_such_a_claim_is_no_first_ask)
{
    auto limits = book_limits{};
    limits.outcomes.max_outcomes = 0;
    limits.max_claim_calls = 1;
    auto it = desk{limits};
    auto const write = only<write_claim>(it.ask(chosen()));
    it.tell(claim_answered{chosen(), write.record.nonce, write.record});
    BOOST_TEST(it.permit(chosen()));
    it.outcome(chosen(), target_answer{200, "carved"});
    auto const again = only<write_claim>(it.ask(chosen()));
    BOOST_TEST(it.ask(chosen()).empty());
    auto const then = it.tell(claim_lost{chosen(), again.record.nonce});
    auto answers = 0;
    for (auto const& each : then)
    {
        if (auto const* const told = std::get_if<answer>(&each))
        {
            ++answers;
            BOOST_TEST((told->what.ran == verdict::may_have_run));
        }
    }
    BOOST_TEST(answers == 2);
}

BOOST_AUTO_TEST_CASE(the_filter_forgets_nothing_and_seldom_errs)
{
    auto filter = key_filter{10'000};
    for (auto i = 0; i < 1'000; ++i)
    {
        filter.add(chosen(std::to_string(i)));
    }
    auto wrong = 0;
    for (auto i = 0; i < 1'000; ++i)
    {
        BOOST_TEST(filter.may_contain(chosen(std::to_string(i))));
        wrong += filter.may_contain(chosen(std::to_string(i + 1'000))) ? 1 : 0;
    }
    BOOST_TEST(wrong < 30);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_in_number_and_bytes)
{
    auto limits = outcome_limits{10, 4'000, 1'000};
    auto memory = outcome_memory{limits};
    for (auto i = 0; i < 100; ++i)
    {
        auto what = reply{};
        what.body = std::string(static_cast<std::size_t>(i) * 13, 'x');
        memory.keep(chosen(std::to_string(i)), {1, what});
        BOOST_TEST(memory.size() <= limits.max_outcomes);
        BOOST_TEST(memory.bytes() <= limits.max_bytes);
    }
    BOOST_REQUIRE(memory.find(chosen("99")) != nullptr);
    BOOST_TEST(memory.find(chosen("99"))->what.body_dropped);
    BOOST_TEST(memory.find(chosen("0")) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::order
