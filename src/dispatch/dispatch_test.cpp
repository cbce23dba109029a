#include "core/random.hpp"
#include "dispatch/attempt_policy.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/shutdown.hpp"
#include "dispatch/stream_watch.hpp"
#include "dispatch/time_estimates.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::dispatch
{

namespace
{

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto const domain = domain_id{"d"};

auto state_of(routes::request_kind kind) -> request_state
{
    auto out = request_state{};
    out.kind = kind;
    out.max_runs = 2;
    out.deadline_at = at(1000);
    return out;
}

auto end_status(request_state const& it, int ms) -> int
{
    auto const step = after_failure(it, at(ms));
    auto const* const end = std::get_if<end_request>(&step);
    return end == nullptr ? 0 : end->status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_failed_attempt)

BOOST_AUTO_TEST_SUITE(of_a_call_that_may_run_once)

BOOST_AUTO_TEST_CASE(is_retried_only_if_it_did_not_run)
{
    auto it = state_of(routes::request_kind::non_idempotent);
    it.refusals = 1;
    BOOST_TEST(end_status(it, 0) == 0);
    it.may_have_run = true;
    it.runs = 1;
    BOOST_TEST(end_status(it, 0) == 502);
    BOOST_TEST(end_status(it, 1000) == 504);
}

BOOST_AUTO_TEST_CASE(ends_with_503_only_if_it_did_not_run)
{
    for (auto const how :
         {attempt_failure::not_connected, attempt_failure::not_executed,
          attempt_failure::misdirected, attempt_failure::broken,
          attempt_failure::silent, attempt_failure::target_error,
          attempt_failure::damaged})
    {
        auto it = state_of(routes::request_kind::non_idempotent);
        it.may_have_run = may_have_run(how);
        constexpr auto not_run = 503;
        BOOST_TEST((final_status(it, at(0)) == not_run) == !it.may_have_run);
    }
    BOOST_TEST(may_have_run(attempt_failure::silent));
    BOOST_TEST(!may_have_run(attempt_failure::not_connected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_retried_within_the_routes_limits_and_deadline)
{
    auto it = state_of(routes::request_kind::idempotent);
    it.may_have_run = true;
    it.runs = 1;
    BOOST_TEST(end_status(it, 0) == 0);
    it.runs = 2;
    BOOST_TEST(end_status(it, 0) == 502);
    it.runs = 1;
    BOOST_TEST(end_status(it, 990) == 502);
    it.refusals = max_refusals;
    BOOST_TEST(end_status(it, 0) == 502);
}

BOOST_AUTO_TEST_SUITE(of_a_begun_stream)

BOOST_AUTO_TEST_CASE(is_retried_until_the_deadline_whatever_refuses_it)
{
    auto it = state_of(routes::request_kind::streaming);
    it.resumable = true;
    it.answer_started = true;
    it.may_have_run = true;
    it.runs = 1;
    it.refusals = 100 * max_refusals;
    it.fruitless_retries = it.refusals;
    BOOST_TEST(end_status(it, 0) == 0);
    BOOST_TEST(end_status(it, 980) == 0);
    BOOST_TEST(end_status(it, 990) == 502);
    it.runs = it.max_runs;
    BOOST_TEST(end_status(it, 0) == 502);
    it.runs = 1;
    it.crashes = max_crashes;
    BOOST_TEST(end_status(it, 0) == 502);
}

BOOST_AUTO_TEST_CASE(waits_longer_after_each_fruitless_retry)
{
    auto it = state_of(routes::request_kind::streaming);
    it.resumable = true;
    it.answer_started = true;
    it.deadline_at = at(10000);
    auto const delay = [&](std::uint32_t fruitless, int ms)
    {
        it.fruitless_retries = fruitless;
        return std::get<try_again>(after_failure(it, at(ms))).after;
    };
    BOOST_TEST((delay(0, 0) == 0s));
    BOOST_TEST((delay(immediate_retries, 0) == 0s));
    BOOST_TEST((delay(immediate_retries + 1, 0) == initial_retry_delay));
    BOOST_TEST((delay(immediate_retries + 2, 0) == 2 * initial_retry_delay));
    BOOST_TEST((delay(1000, 0) == max_retry_delay));
    BOOST_TEST((delay(1000, 9900) < 100ms));
    // Without a target or budget nothing else takes time.
    it.fruitless_retries = 1;
    BOOST_TEST((std::get<try_again>(after_denial(it, at(0))).after ==
                initial_retry_delay));
    it.answer_started = false;
    BOOST_TEST(std::holds_alternative<end_request>(after_denial(it, at(0))));
}

BOOST_AUTO_TEST_CASE(gives_each_further_connection_more_time)
{
    auto it = state_of(routes::request_kind::streaming);
    it.deadline_at = at(5000);
    auto const timeout = [&](std::uint32_t failures, int ms)
    {
        it.connect_failures = failures;
        return connect_timeout(it, 2s, at(ms));
    };
    BOOST_TEST((timeout(3, 0) == max_connect_timeout));
    it.answer_started = true;
    BOOST_TEST((timeout(0, 0) == max_connect_timeout));
    BOOST_TEST((timeout(1, 0) == 2 * max_connect_timeout));
    BOOST_TEST((timeout(1000, 0) == max_continuation_connect_timeout));
    BOOST_TEST((timeout(1000, 4900) == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(ends_at_once_on_a_host_that_reaches_no_target)
{
    auto it = state_of(routes::request_kind::idempotent);
    it.own_link_down = true;
    constexpr auto not_run = 503;
    BOOST_TEST(end_status(it, 0) == not_run);
    // It may have run, which no 503 may deny.
    it.may_have_run = true;
    it.runs = 1;
    it.fruitless_retries = immediate_retries + 1;
    BOOST_TEST((std::get<try_again>(after_failure(it, at(0))).after ==
                initial_retry_delay));
}

BOOST_AUTO_TEST_CASE(is_not_retried_after_two_targets_crashed)
{
    auto it = state_of(routes::request_kind::streaming);
    it.resumable = true;
    it.may_have_run = true;
    it.max_runs = 5;
    it.runs = 1;
    it.crashes = 1;
    BOOST_TEST(end_status(it, 0) == 0);
    it.runs = 2;
    BOOST_TEST(end_status(it, 0) == 0);
    it.crashes = max_crashes;
    BOOST_TEST(end_status(it, 0) == 502);
}

BOOST_AUTO_TEST_CASE(of_a_stream_is_retried_only_if_resumable)
{
    auto it = state_of(routes::request_kind::streaming);
    it.may_have_run = true;
    it.runs = 1;
    BOOST_TEST(end_status(it, 0) == 502);
    it.resumable = true;
    BOOST_TEST(end_status(it, 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_silent_stream)

BOOST_AUTO_TEST_CASE(is_probed_before_its_attempt_times_out)
{
    auto it = stream_facts{};
    it.gap_objective = 700ms;
    it.last_event = at(0);
    auto const limits = watch_limits{};
    BOOST_TEST(std::holds_alternative<keep_waiting>(
        check_stream(limits, it, at(100))));
    BOOST_TEST(std::holds_alternative<probe_target>(
        check_stream(limits, it, at(200))));
    it.probed_at = at(200);
    BOOST_TEST(std::holds_alternative<keep_waiting>(
        check_stream(limits, it, at(200))));
    BOOST_TEST(
        std::holds_alternative<end_attempt>(check_stream(limits, it, at(420))));
}

BOOST_AUTO_TEST_CASE(is_not_silent_while_its_connection_is_made)
{
    auto it = stream_facts{};
    it.gap_objective = 700ms;
    it.warm = true;
    it.connected_at = at(1000);
    auto const limits = watch_limits{};
    BOOST_TEST(std::holds_alternative<keep_waiting>(
        check_stream(limits, it, at(1100))));
    it.warm = false;
    it.first_event_due = at(10000);
    it.expected_first = 4s;
    BOOST_TEST(std::holds_alternative<keep_waiting>(
        check_stream(limits, it, at(1400))));
    BOOST_TEST(std::holds_alternative<probe_target>(
        check_stream(limits, it, at(1500))));
}

/// Whether an attempt has timed out `ms` after its request was sent.
auto times_out(stream_facts const& it, int ms) -> bool
{
    return std::holds_alternative<end_attempt>(
        check_stream(watch_limits{}, it, at(ms)));
}

BOOST_AUTO_TEST_CASE(waits_for_prefill_and_twice_as_long_each_time)
{
    auto it = stream_facts{};
    it.sent_at = at(0);
    it.first_event_due = at(4500);
    it.expected_first = 1000ms;
    it.probed_at = at(2100);
    BOOST_TEST(std::holds_alternative<keep_waiting>(
        check_stream(watch_limits{}, it, at(2190))));
    BOOST_TEST(times_out(it, 2210));
    it.prefill_timeouts = 1;
    BOOST_TEST(!times_out(it, 4390));
    BOOST_TEST(times_out(it, 4410));
    it.prefill_timeouts = 2;
    BOOST_TEST(!times_out(it, 8790));
    BOOST_TEST(times_out(it, 8810));
}

BOOST_AUTO_TEST_SUITE(whose_target_takes_connections_and_never_answers)

// Guards against a client that waits until it leaves, since only the first
// target of its stream was left for that reason.
BOOST_AUTO_TEST_CASE(was_left_there_for_good_at_its_second_target)
{
    auto it = stream_facts{};
    it.sent_at = at(2700);
    it.connected_at = at(2701);
    it.first_event_due = at(4500);
    it.expected_first = 1200ms;
    it.prefill_timeouts = 1;
    BOOST_TEST(times_out(it, 2701 + 5281));
}

BOOST_AUTO_TEST_CASE(was_left_there_for_good_after_its_first_event_was_due)
{
    auto it = stream_facts{};
    it.sent_at = at(5000);
    it.connected_at = at(5001);
    it.first_event_due = at(4500);
    it.expected_first = 1200ms;
    BOOST_TEST(times_out(it, 5001 + 5281));
}

BOOST_AUTO_TEST_CASE(is_kept_there_through_a_pause_of_a_sound_target)
{
    auto it = stream_facts{};
    it.sent_at = at(0);
    it.first_event_due = at(4500);
    it.expected_first = 50ms;
    it.prefill_timeouts = 1;
    BOOST_TEST(!times_out(it, 2990));
    BOOST_TEST(times_out(it, 3010));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a timeout during prefill that comes too late for another
// target to meet the objective: the prompt was prefilled twice and its first
// event was late anyway.
BOOST_AUTO_TEST_CASE(is_kept_if_its_first_event_was_due_before_it_connected)
{
    auto it = stream_facts{};
    it.sent_at = at(0);
    it.connected_at = at(600);
    it.first_event_due = at(500);
    it.expected_first = 400ms;
    BOOST_TEST(!std::holds_alternative<end_attempt>(
        check_stream(watch_limits{}, it, at(700))));
}

BOOST_AUTO_TEST_SUITE(after_a_silence_of_an_earlier_target)

BOOST_AUTO_TEST_CASE(may_be_silent_twice_as_long_each_time)
{
    auto const ends = [](std::uint32_t silent_attempts, int ms)
    {
        auto it = stream_facts{};
        it.gap_objective = 1000ms;
        it.last_event = at(0);
        it.probed_at = at(300);
        it.silent_attempts = silent_attempts;
        return std::holds_alternative<end_attempt>(
            check_stream(watch_limits{}, it, at(ms)));
    };
    BOOST_TEST(!ends(0, 579));
    BOOST_TEST(ends(0, 581));
    BOOST_TEST(!ends(1, 1159));
    BOOST_TEST(ends(1, 1161));
    BOOST_TEST(!ends(2, 2319));
    BOOST_TEST(ends(2, 2321));
}

BOOST_AUTO_TEST_CASE(keeps_the_last_run_through_a_pause_of_a_sound_target)
{
    auto it = stream_facts{};
    it.gap_objective = 500ms;
    it.last_event = at(0);
    it.last_run = true;
    auto const ends = [&](int ms)
    {
        return std::holds_alternative<end_attempt>(
            check_stream(watch_limits{}, it, at(ms)));
    };
    BOOST_TEST(!ends(2999));
    BOOST_TEST(ends(3001));
    // Not even probes that fail meanwhile end it.
    it.probed_at = at(200);
    it.unreachable_since = at(330);
    BOOST_TEST(!ends(2999));
    it.last_run = false;
    BOOST_TEST(ends(331));
}

BOOST_AUTO_TEST_CASE(keeps_the_last_run_while_its_first_event_is_late)
{
    auto it = stream_facts{};
    it.sent_at = at(0);
    it.connected_at = at(10);
    it.first_event_due = at(500);
    it.expected_first = 400ms;
    BOOST_TEST(std::holds_alternative<end_attempt>(
        check_stream(watch_limits{}, it, at(2000))));
    it.last_run = true;
    BOOST_TEST(!std::holds_alternative<end_attempt>(
        check_stream(watch_limits{}, it, at(2000))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_target_answers_queries)

struct queried_stream
{
    queried_stream()
    {
        it.gap_objective = 500ms;
        it.last_event = at(0);
        it.answers_queries = true;
        it.probed_at = at(130);
    }

    [[nodiscard]] auto ends(int ms) const -> bool
    {
        return std::holds_alternative<end_attempt>(
            check_stream(watch_limits{}, it, at(ms)));
    }

    /// Whether the target is asked at `ms`, for want of an answer.
    [[nodiscard]] auto asks(int ms) const -> bool
    {
        auto const step = check_stream(watch_limits{}, it, at(ms));
        auto const* const wait = std::get_if<await_answer>(&step);
        return wait != nullptr && wait->probe;
    }

    stream_facts it;
};

BOOST_FIXTURE_TEST_CASE(is_not_left_before_the_target_can_read_the_close,
                        queried_stream)
{
    BOOST_TEST(!ends(300));
    BOOST_TEST(!asks(300));
    BOOST_TEST(asks(431));
    it.probed_at = at(431);
    auto const waiting = check_stream(watch_limits{}, it, at(431));
    BOOST_REQUIRE(std::holds_alternative<await_answer>(waiting));
    BOOST_TEST((std::get<await_answer>(waiting).until == at(731)));
    BOOST_TEST(!ends(2999));
    BOOST_TEST(ends(3001));
}

BOOST_FIXTURE_TEST_CASE(is_left_at_once_after_a_recent_answer, queried_stream)
{
    it.answered_at = at(250);
    BOOST_TEST(!ends(280));
    BOOST_TEST(ends(300));
    // The target may have stopped since an earlier one.
    it.answered_at = at(131);
    BOOST_TEST(!ends(300));
    BOOST_TEST(asks(300));
    it.probed_at = at(300);
    it.answered_at = at(301);
    BOOST_TEST(ends(301));
}

BOOST_FIXTURE_TEST_CASE(is_left_at_once_if_it_cannot_be_reached, queried_stream)
{
    it.unreachable_since = at(260);
    BOOST_TEST(ends(260));
}

BOOST_FIXTURE_TEST_CASE(is_left_as_before_where_targets_answer_none,
                        queried_stream)
{
    it.answers_queries = false;
    BOOST_TEST(!ends(280));
    BOOST_TEST(ends(300));
}

BOOST_FIXTURE_TEST_CASE(is_not_left_in_its_prefill_either, queried_stream)
{
    it.last_event.reset();
    it.probed_at.reset();
    it.connected_at = at(0);
    it.first_event_due = at(4500);
    it.expected_first = 100ms;
    BOOST_TEST(asks(221));
    it.probed_at = at(221);
    BOOST_TEST(!ends(222));
    it.answered_at = at(222);
    BOOST_TEST(ends(222));
    it.answered_at.reset();
    BOOST_TEST(!ends(2999));
    BOOST_TEST(ends(3001));
    it.warm = true;
    BOOST_TEST(!ends(2999));
    it.answered_at = at(460);
    BOOST_TEST(ends(460));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_kept_if_a_prefill_elsewhere_would_be_late)
{
    auto it = stream_facts{};
    it.sent_at = at(0);
    it.first_event_due = at(4500);
    it.expected_first = 1500ms;
    it.probed_at = at(3300);
    auto const limits = watch_limits{};
    BOOST_TEST(!std::holds_alternative<end_attempt>(
        check_stream(limits, it, at(3400))));
    it.probed_at = at(4500);
    BOOST_TEST(std::holds_alternative<end_attempt>(
        check_stream(limits, it, at(4500))));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_suspected_target)

BOOST_AUTO_TEST_CASE(is_excluded_longer_each_time_until_it_answers)
{
    auto it = failure_detector{};
    auto const id = target_id{"a"};
    it.report(id, domain, observation::unreachable, at(0));
    BOOST_TEST((it.health_of(id, domain, at(399)) == health::excluded));
    BOOST_TEST((it.health_of(id, domain, at(401)) == health::healthy));
    it.report(id, domain, observation::unreachable, at(2000));
    BOOST_TEST((it.health_of(id, domain, at(2799)) == health::excluded));
    it.report(id, domain, observation::answered, at(2800));
    BOOST_TEST((it.health_of(id, domain, at(2801)) == health::healthy));
}

BOOST_AUTO_TEST_CASE(makes_its_domain_suspected_only_with_others)
{
    auto it = failure_detector{};
    auto const other = target_id{"c"};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"a"}, domain, observation::unreachable, at(10));
    BOOST_TEST((it.health_of(other, domain, at(20)) == health::healthy));
    it.report(target_id{"b"}, domain, observation::silent, at(30));
    BOOST_TEST((it.health_of(other, domain, at(40)) == health::suspected));
    BOOST_TEST((it.health_of(other, domain_id{"elsewhere"}, at(40)) ==
                health::healthy));
    BOOST_TEST((it.health_of(other, domain, at(1000)) == health::healthy));
}

// One service fails a constant seventh of its calls while healthy.
BOOST_AUTO_TEST_SUITE(whose_loss_is_put_down_to_a_request)

BOOST_AUTO_TEST_CASE(no_longer_counts_against_its_domain)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.discount_loss(target_id{"a"}, domain, at(10));
    it.report(target_id{"b"}, domain, observation::unreachable, at(20));
    BOOST_TEST(!it.domain_suspected(domain, at(20)));
    BOOST_TEST(
        (it.health_of(target_id{"a"}, domain, at(20)) == health::excluded));
}

BOOST_AUTO_TEST_CASE(ends_the_suspicion_that_rested_on_it)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"b"}, domain, observation::unreachable, at(100));
    BOOST_TEST(it.domain_suspected(domain, at(100)));
    it.discount_loss(target_id{"c"}, domain, at(110));
    it.discount_loss(target_id{"a"}, domain_id{"other"}, at(110));
    BOOST_TEST(it.domain_suspected(domain, at(110)));
    it.discount_loss(target_id{"a"}, domain, at(120));
    BOOST_TEST(!it.domain_suspected(domain, at(120)));
    BOOST_TEST(!it.domain_unverified(domain));
}

BOOST_AUTO_TEST_CASE(leaves_a_suspicion_that_rests_on_other_losses)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"b"}, domain, observation::unreachable, at(100));
    it.report(target_id{"c"}, domain, observation::unreachable, at(200));
    it.discount_loss(target_id{"c"}, domain, at(210));
    BOOST_TEST(it.domain_suspected(domain, at(210)));
    it.discount_loss(target_id{"b"}, domain, at(220));
    BOOST_TEST(!it.domain_suspected(domain, at(220)));
}

BOOST_AUTO_TEST_CASE(ends_the_suspicion_after_later_losses_too)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"b"}, domain, observation::unreachable, at(100));
    it.report(target_id{"c"}, domain, observation::unreachable, at(700));
    BOOST_TEST(it.domain_suspected(domain, at(700)));
    it.discount_loss(target_id{"a"}, domain, at(710));
    BOOST_TEST(!it.domain_suspected(domain, at(710)));
}

BOOST_AUTO_TEST_CASE(is_usable_at_once_if_this_host_was_the_cause)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"a"}, domain, observation::unreachable, at(10));
    it.report(target_id{"b"}, domain, observation::unreachable, at(20));
    it.withdraw_unreachable(target_id{"a"}, domain, at(30));
    it.withdraw_unreachable(target_id{"b"}, domain, at(30));
    for (auto const* const id : {"a", "b"})
    {
        BOOST_TEST(
            (it.health_of(target_id{id}, domain, at(30)) == health::healthy));
    }
    // Its next loss counts as the first one.
    it.report(target_id{"a"}, domain, observation::unreachable, at(30));
    auto const after = at(30) + detector_limits{}.initial_exclusion;
    BOOST_TEST(
        (it.health_of(target_id{"a"}, domain, after) == health::healthy));
}

BOOST_AUTO_TEST_CASE(does_not_disturb_a_probe_of_its_domain)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"b"}, domain, observation::unreachable, at(0));
    it.sent_to(domain, at(900));
    it.discount_loss(target_id{"a"}, domain, at(910));
    it.discount_loss(target_id{"b"}, domain, at(910));
    BOOST_TEST(it.domain_suspected(domain, at(910)));
    it.report(target_id{"c"}, domain, observation::unreachable, at(1000));
    BOOST_TEST(it.domain_suspected(domain, at(2799)));
    BOOST_TEST(!it.domain_suspected(domain, at(2800)));
}

BOOST_AUTO_TEST_CASE(as_that_of_a_probe_permits_the_next_probe)
{
    auto it = failure_detector{};
    it.report(target_id{"a"}, domain, observation::unreachable, at(0));
    it.report(target_id{"b"}, domain, observation::unreachable, at(0));
    it.sent_to(domain, at(900));
    it.report(target_id{"c"}, domain, observation::unreachable, at(1000));
    BOOST_TEST(it.domain_suspected(domain, at(1100)));
    it.discount_loss(target_id{"c"}, domain, at(1100));
    BOOST_TEST(!it.domain_suspected(domain, at(1100)));
    BOOST_TEST(it.domain_unverified(domain));
    it.sent_to(domain, at(1200));
    it.report(target_id{"d"}, domain, observation::unreachable, at(1300));
    BOOST_TEST(it.domain_suspected(domain, at(3099)));
    BOOST_TEST(!it.domain_suspected(domain, at(3100)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_not_excluded_for_a_constant_error_rate)
{
    auto it = failure_detector{};
    auto const id = target_id{"a"};
    constexpr auto calls = 700;
    for (auto i = 0; i < calls; ++i)
    {
        it.report(id, domain,
                  i % 7 == 0 ? observation::failed : observation::answered,
                  at(i));
        BOOST_TEST((it.health_of(id, domain, at(i)) == health::healthy));
    }
    for (auto i = 0; i < 12; ++i)
    {
        it.report(id, domain, observation::failed, at(calls + i));
    }
    BOOST_TEST((it.health_of(id, domain, at(calls + 12)) == health::excluded));
}

BOOST_AUTO_TEST_CASE(reported_by_another_host_is_not_excluded)
{
    auto it = failure_detector{};
    auto const id = target_id{"a"};
    it.hint(id, at(0));
    BOOST_TEST((it.health_of(id, domain, at(1)) == health::suspected));
    BOOST_TEST((it.health_of(id, domain, at(901)) == health::healthy));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host_that_shuts_down)

BOOST_AUTO_TEST_CASE(accepts_requests_that_complete_before_it_exits)
{
    BOOST_TEST(can_finish_before_exit(at(0), 8s, 6s, at(1300)));
    BOOST_TEST(!can_finish_before_exit(at(0), 8s, 6s, at(1301)));
    BOOST_TEST(can_finish_before_exit(at(0), 8s, 100ms, at(7200)));
    BOOST_TEST(!can_finish_before_exit(at(0), 8s, 100ms, at(7201)));
    BOOST_TEST(!can_finish_before_exit(at(0), 8s, 0s, at(7300)));
    // A grace that is shorter than the time for final answers.
    BOOST_TEST(!can_finish_before_exit(at(0), 500ms, 0s, at(0)));
}

// Streams of 5 to 9 s arrive at a host that shuts down with a grace of 8 s.
// Accepted streams that do not complete in time are cut off.
BOOST_AUTO_TEST_CASE(cuts_off_few_accepted_streams)
{
    auto random = random_source{20261204};
    auto const next = [&]
    {
        return duration{5s} + std::chrono::milliseconds{random.below(4000)};
    };
    auto estimate = completion_time_estimate{6s};
    auto cut_by_mean = 0;
    auto cut_by_bound = 0;
    constexpr auto streams = 2000;
    constexpr auto max_cut = streams / 100;
    for (auto i = 0; i < streams; ++i)
    {
        auto const shutdown_started = at(0);
        auto const arrival = at(static_cast<int>(random.below(3000)));
        auto const stream_length = next();
        auto const completes = can_finish_before_exit(shutdown_started, 8s,
                                                      stream_length, arrival);
        auto const by_mean = can_finish_before_exit(shutdown_started, 8s,
                                                    estimate.value(), arrival);
        auto const by_bound = can_finish_before_exit(shutdown_started, 8s,
                                                     estimate.upper(), arrival);
        cut_by_mean += by_mean && !completes ? 1 : 0;
        cut_by_bound += by_bound && !completes ? 1 : 0;
        estimate.observe(next());
    }
    BOOST_TEST_MESSAGE("cut: " << cut_by_bound << ", by the mean alone "
                               << cut_by_mean);
    BOOST_TEST(cut_by_bound <= max_cut);
    BOOST_TEST(cut_by_mean > max_cut);
}

BOOST_AUTO_TEST_CASE(learns_average_times_from_observations)
{
    auto stream = completion_time_estimate{6s};
    auto prefill = prefill_estimate{};
    for (auto i = 0; i < 200; ++i)
    {
        stream.observe(9s);
        prefill.observe(5000, 1s);
    }
    BOOST_TEST((stream.value() > 8900ms && stream.value() <= 9s));
    auto const expected = prefill.expect(2500);
    BOOST_TEST((expected > 490ms && expected < 510ms));
    BOOST_TEST((prefill.expect(1) == duration{200ms}));
}

// Fixed parts of the time of short prompts counted for each of their tokens.
BOOST_AUTO_TEST_CASE(expect_no_minutes_for_a_long_prompt_beside_short_ones)
{
    auto prefill = prefill_estimate{};
    for (auto i = 0; i < 200; ++i)
    {
        prefill.observe(6, 74ms);
    }
    constexpr auto long_prompt = std::uint64_t{5200};
    BOOST_TEST((prefill.expect(long_prompt) < 2500ms));
    prefill.observe(long_prompt, 1100ms);
    auto const learned = prefill.expect(long_prompt);
    BOOST_TEST((learned > 900ms && learned < 1300ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::dispatch
