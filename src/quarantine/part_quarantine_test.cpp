#include "quarantine/part_quarantine.hpp"

#include "core/random.hpp"
#include "quarantine/part_quarantine_reference.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <string>
#include <utility>

namespace primrosedeal::quarantine
{

namespace
{

using part_list = std::vector<suspect_id>;

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto part(std::uint64_t n) -> suspect_id
{
    return suspect_id{2 * n};
}

auto request(std::uint64_t n) -> suspect_id
{
    return suspect_id{2 * n + 1};
}

/// Parts that sound requests share, and the one that crashes targets.
auto const shared = part(1);
auto const poison = part(2);

/// Crashes `n` to `n + count - 1`, each under a request of its own, a second
/// apart from `n` seconds.
void crash(part_quarantine& it, std::uint64_t n, std::uint64_t count,
           part_list const& parts)
{
    for (auto i = n; i < n + count; ++i)
    {
        it.record_crash(crash_id{i}, run_id{i}, parts,
                        at(static_cast<std::int64_t>(i) * 1000));
    }
}

auto refuses(part_quarantine& it, part_list const& parts, std::int64_t ms)
    -> bool
{
    return it.check(parts, false, at(ms)).has_value();
}

auto admits_trial(part_quarantine& it, part_list const& parts, std::int64_t ms)
    -> bool
{
    return !it.check(parts, true, at(ms)).has_value();
}

void tell(part_quarantine const& from, part_quarantine& to, std::int64_t ms)
{
    to.merge(from.make_report(at(ms)), at(ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_part)

BOOST_AUTO_TEST_CASE(is_named_alike_on_all_hosts)
{
    constexpr auto xxh3_of_a = 0xe6c632b61e964e1fULL;
    BOOST_TEST(to_part_id("a").value() == (xxh3_of_a & ~1ULL));
    BOOST_TEST(to_crash_id(target_id{"a"}, {}).value() == xxh3_of_a);
    BOOST_TEST((to_crash_id(target_id{"a"}, incarnation{1}) !=
                to_crash_id(target_id{"a"}, incarnation{2})));
    BOOST_TEST(to_run_id(request_id{"a"}).value() == xxh3_of_a);
    BOOST_TEST(to_part_id("b") != to_part_id("a"));
}

BOOST_AUTO_TEST_SUITE(that_crashes_targets)

BOOST_AUTO_TEST_CASE(is_quarantined_after_three_crashes)
{
    auto it = part_quarantine{};
    BOOST_TEST(!refuses(it, {poison}, 0));
    crash(it, 1, 2, {poison});
    BOOST_TEST(!refuses(it, {poison}, 2000));
    crash(it, 3, 1, {poison});
    auto const why = it.check(part_list{part(9), poison}, false, at(3000));
    BOOST_REQUIRE(why);
    BOOST_TEST(why->part == poison);
    BOOST_TEST(why->crashes == 3U);
    BOOST_TEST(why->requests == 3U);
    BOOST_TEST((why->until == at(23000)));
    BOOST_TEST(!refuses(it, {part(9)}, 3000));
}

BOOST_AUTO_TEST_CASE(is_not_quarantined_for_the_retries_of_one_request)
{
    auto it = part_quarantine{};
    for (auto n = 1U; n <= 5; ++n)
    {
        it.record_crash(crash_id{n}, run_id{1}, part_list{poison}, at(n));
    }
    BOOST_TEST(!refuses(it, {poison}, 5));
    it.record_crash(crash_id{6}, run_id{2}, part_list{poison}, at(6));
    BOOST_TEST(refuses(it, {poison}, 6));
}

BOOST_AUTO_TEST_CASE(is_accused_once_by_each_crash)
{
    auto it = part_quarantine{};
    for (auto n = 1U; n <= 5; ++n)
    {
        it.record_crash(crash_id{1}, run_id{n}, part_list{poison, poison},
                        at(n));
    }
    auto const accusations = it.make_report(at(5)).accusations;
    BOOST_REQUIRE(accusations.size() == 1U);
    BOOST_TEST(accusations[0].run == run_id{1});
    BOOST_TEST((accusations[0].at == at(1)));
    BOOST_TEST(it.change_count() == 1U);
}

BOOST_AUTO_TEST_CASE(explains_its_crashes_once_it_is_quarantined)
{
    auto it = part_quarantine{};
    crash(it, 1, 2, {poison});
    BOOST_TEST(!it.explains(crash_id{1}, at(2000)));
    crash(it, 3, 1, {poison});
    BOOST_TEST(it.explains(crash_id{1}, at(3000)));
    BOOST_TEST(it.explains(crash_id{3}, at(3000)));
    BOOST_TEST(!it.explains(crash_id{4}, at(3000)));
    BOOST_TEST(!it.explains(crash_id{3}, at(900000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_was_answered)

BOOST_AUTO_TEST_CASE(is_cleared)
{
    auto it = part_quarantine{};
    crash(it, 1, 5, {shared, poison});
    it.record_progress(part_list{shared}, at(5500));
    BOOST_TEST(!refuses(it, {shared}, 5500));
    BOOST_TEST(refuses(it, {shared, poison}, 5500));
}

BOOST_AUTO_TEST_CASE(has_to_be_accused_anew)
{
    auto it = part_quarantine{};
    crash(it, 1, 2, {shared});
    it.record_progress(part_list{shared}, at(2500));
    crash(it, 8, 2, {shared});
    BOOST_TEST(!refuses(it, {shared}, 9000));
    crash(it, 10, 1, {shared});
    BOOST_TEST(refuses(it, {shared}, 10000));
}

BOOST_AUTO_TEST_CASE(is_not_accused_by_crashes_soon_after_an_answer)
{
    auto it = part_quarantine{};
    it.record_progress(part_list{shared}, at(2500));
    crash(it, 3, 5, {shared, poison});
    BOOST_TEST(!refuses(it, {shared}, 7000));
    BOOST_TEST(refuses(it, {poison}, 7000));
    auto other = part_quarantine{};
    crash(other, 3, 5, {shared});
    BOOST_TEST(refuses(other, {shared}, 7000));
    tell(it, other, 7100);
    BOOST_TEST(!refuses(other, {shared}, 7100));
}

BOOST_AUTO_TEST_CASE(costs_nothing_while_it_is_not_accused)
{
    auto it = part_quarantine{};
    it.record_progress(part_list{shared, poison}, at(0));
    BOOST_TEST(it.change_count() == 0U);
    BOOST_TEST((it.make_report(at(0)) == report{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_occurs_with_a_poisonous_one)

// A request with only one of two parts that occurred together tells them apart.
BOOST_AUTO_TEST_CASE(is_no_reason_without_it)
{
    auto it = part_quarantine{};
    crash(it, 1, 4, {shared, poison});
    BOOST_TEST(refuses(it, {shared, poison}, 4000));
    BOOST_TEST(!refuses(it, {shared}, 4000));
    BOOST_TEST(!refuses(it, {poison}, 4000));
    it.record_crash(crash_id{5}, run_id{5}, part_list{poison}, at(5000));
    BOOST_TEST(refuses(it, {poison}, 5000));
    BOOST_TEST(!refuses(it, {shared}, 5000));
}

BOOST_AUTO_TEST_CASE(is_a_reason_if_a_crash_is_its_own)
{
    auto it = part_quarantine{};
    crash(it, 1, 4, {shared, poison});
    it.record_crash(crash_id{5}, run_id{5}, part_list{shared}, at(5000));
    BOOST_TEST(refuses(it, {shared}, 5000));
    BOOST_TEST(!refuses(it, {poison}, 5000));
}

BOOST_AUTO_TEST_CASE(is_a_reason_if_the_other_is_not_quarantined)
{
    auto it = part_quarantine{};
    crash(it, 1, 4, {shared, poison});
    it.record_progress(part_list{poison}, at(4500));
    BOOST_TEST(refuses(it, {shared}, 4500));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_request)

namespace
{

/// Crashes every target that runs it.
auto const culprit = request(1);
/// Runs beside it.
auto const sound = request(2);

auto identity(request_content const& it) -> suspect_id
{
    return to_identity(it);
}

} // namespace

BOOST_AUTO_TEST_CASE(is_named_by_what_a_target_sees_of_it)
{
    auto const it = request_content{"GET", "/a/b", "caller", "body"};
    constexpr auto expected = 0xa1da95b5c15b38fULL;
    BOOST_TEST(identity(it).value() == expected);
    BOOST_TEST((kind_of(identity(it)) == suspect_kind::request));
    BOOST_TEST((kind_of(to_part_id("a")) == suspect_kind::part));
    BOOST_TEST(identity({"POST", "/a/b", "caller", "body"}) != identity(it));
    BOOST_TEST(identity({"GET", "/a/c", "caller", "body"}) != identity(it));
    BOOST_TEST(identity({"GET", "/a/b", "other", "body"}) != identity(it));
    BOOST_TEST(identity({"GET", "/a/b", "caller", ""}) != identity(it));
    BOOST_TEST(identity({"GET", "/a/b", "", "callerbody"}) != identity(it));
    BOOST_TEST(identity({"GET", "/a/", "bcaller", "body"}) != identity(it));
}

BOOST_AUTO_TEST_CASE(is_quarantined_for_the_retries_of_one_sending)
{
    auto it = part_quarantine{};
    for (auto n = 1U; n <= 2; ++n)
    {
        it.record_crash(crash_id{n}, run_id{1}, part_list{culprit}, at(n));
    }
    BOOST_TEST(!refuses(it, {culprit}, 2));
    it.record_crash(crash_id{3}, run_id{1}, part_list{culprit}, at(3));
    auto const why = it.check(part_list{culprit}, false, at(3));
    BOOST_REQUIRE(why);
    BOOST_TEST(why->part == culprit);
    BOOST_TEST(why->crashes == 3U);
    BOOST_TEST(why->requests == 1U);
    BOOST_TEST(!refuses(it, {sound}, 3));
}

BOOST_AUTO_TEST_CASE(is_quarantined_for_crashes_that_three_hosts_saw)
{
    auto hosts = std::array<part_quarantine, 3>{};
    for (auto n = 0U; n < 3; ++n)
    {
        hosts.at(n).record_crash(crash_id{n}, run_id{n}, part_list{culprit},
                                 at(n));
    }
    tell(hosts[0], hosts[2], 10);
    BOOST_TEST(!refuses(hosts[2], {culprit}, 10));
    tell(hosts[1], hosts[2], 11);
    BOOST_TEST(refuses(hosts[2], {culprit}, 11));
}

BOOST_AUTO_TEST_CASE(is_not_retried_if_that_would_quarantine_it)
{
    auto it = part_quarantine{};
    BOOST_TEST(it.may_retry(culprit, at(0)));
    crash(it, 1, 1, {culprit});
    BOOST_TEST(it.may_retry(culprit, at(1000)));
    crash(it, 2, 1, {culprit});
    BOOST_TEST(!it.may_retry(culprit, at(2000)));
    BOOST_TEST(it.may_retry(sound, at(2000)));
    it.record_progress(part_list{culprit}, at(2100));
    BOOST_TEST(it.may_retry(culprit, at(2100)));
}

BOOST_AUTO_TEST_CASE(is_the_cause_of_a_crash_from_its_second_one_on)
{
    auto it = part_quarantine{};
    crash(it, 1, 1, {culprit});
    BOOST_TEST(!it.cause_of(crash_id{1}, at(1000)));
    crash(it, 2, 1, {culprit, sound, shared, poison});
    auto const second = it.cause_of(crash_id{2}, at(2000));
    BOOST_REQUIRE(second);
    BOOST_TEST(*second == culprit);
    BOOST_TEST(!it.explains(crash_id{2}, at(2000)));
    crash(it, 3, 1, {culprit});
    BOOST_TEST(it.explains(crash_id{2}, at(3000)));
    BOOST_TEST(!it.cause_of(crash_id{4}, at(3000)));
}

BOOST_AUTO_TEST_SUITE(that_dies_beside_a_culprit)

// A common call is answered between the crashes.
BOOST_AUTO_TEST_CASE(is_clear_at_the_first_crash_and_at_the_fifth)
{
    auto it = part_quarantine{};
    for (auto n = std::uint64_t{1}; n <= 5; ++n)
    {
        it.record_progress(part_list{sound},
                           at(static_cast<std::int64_t>(n) * 1000 - 500));
        crash(it, n, 1, {culprit, sound});
        BOOST_TEST(!refuses(it, {sound}, static_cast<std::int64_t>(n) * 1000));
    }
    BOOST_TEST(refuses(it, {culprit}, 5000));
}

// Another host has answered it a moment ago.
BOOST_AUTO_TEST_CASE(is_clear_where_it_was_not_answered)
{
    auto here = part_quarantine{};
    auto there = part_quarantine{};
    there.record_progress(part_list{sound}, at(900));
    crash(here, 1, 3, {culprit, sound});
    tell(here, there, 3020);
    BOOST_TEST(!refuses(there, {sound}, 3020));
    tell(there, here, 3040);
    BOOST_TEST(!refuses(here, {sound}, 3040));
    BOOST_TEST(refuses(here, {culprit}, 3040));
}

BOOST_AUTO_TEST_CASE(is_clear_if_the_culprit_has_more_crashes)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {culprit, sound});
    BOOST_TEST(refuses(it, {sound}, 3000));
    BOOST_TEST(refuses(it, {culprit}, 3000));
    crash(it, 4, 1, {culprit});
    BOOST_TEST(!refuses(it, {sound}, 4000));
    BOOST_TEST(refuses(it, {culprit}, 4000));
}

BOOST_AUTO_TEST_CASE(is_clear_after_its_trial)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {culprit, sound});
    BOOST_TEST(admits_trial(it, {sound}, 23000));
    it.record_progress(part_list{sound}, at(23010));
    BOOST_TEST(!refuses(it, {sound}, 23010));
    BOOST_TEST(refuses(it, {culprit}, 23010));
}

// Requests with a part that crashes targets are no two alike.
BOOST_AUTO_TEST_CASE(is_told_apart_from_a_part)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {poison, sound});
    crash(it, 4, 1, {poison, request(4)});
    BOOST_TEST(!refuses(it, {sound}, 4000));
    BOOST_TEST(refuses(it, {poison, request(5)}, 4000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(in_quarantine)

BOOST_AUTO_TEST_CASE(is_tried_once)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {culprit});
    BOOST_TEST(!admits_trial(it, {culprit}, 22999));
    BOOST_TEST(admits_trial(it, {culprit}, 23000));
    for (auto ms = std::int64_t{23000}; ms < 301000; ms += 1000)
    {
        BOOST_REQUIRE(!admits_trial(it, {culprit}, ms));
    }
}

BOOST_AUTO_TEST_CASE(is_not_tried_after_a_fourth_crash)
{
    auto it = part_quarantine{};
    crash(it, 1, 4, {culprit});
    for (auto ms = std::int64_t{4000}; ms < 302000; ms += 1000)
    {
        BOOST_REQUIRE(!admits_trial(it, {culprit}, ms));
    }
}

// A trial that fails elsewhere holds for a host that was not there.
BOOST_AUTO_TEST_CASE(is_not_tried_by_a_host_that_learns_of_the_trial)
{
    auto tried = part_quarantine{};
    auto late = part_quarantine{};
    crash(tried, 1, 3, {culprit});
    BOOST_TEST(admits_trial(tried, {culprit}, 23000));
    crash(tried, 23, 1, {culprit});
    tell(tried, late, 24000);
    BOOST_TEST(!admits_trial(late, {culprit}, 200000));
}

BOOST_AUTO_TEST_CASE(names_the_trial_or_the_end_of_the_evidence)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {culprit});
    auto why = it.check(part_list{culprit}, false, at(4000));
    BOOST_REQUIRE(why);
    BOOST_TEST((why->until == at(23000)));
    crash(it, 5, 1, {culprit});
    why = it.check(part_list{culprit}, false, at(5000));
    BOOST_REQUIRE(why);
    BOOST_TEST((why->until == at(302000)));
    BOOST_TEST(refuses(it, {culprit}, 301999));
    BOOST_TEST(!refuses(it, {culprit}, 302000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_quarantine)

BOOST_AUTO_TEST_CASE(admits_one_request_on_one_host_after_its_backoff)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {poison});
    BOOST_TEST(!admits_trial(it, {poison}, 22999));
    BOOST_TEST(refuses(it, {poison}, 23000));
    BOOST_TEST(admits_trial(it, {poison}, 23000));
    BOOST_TEST(!admits_trial(it, {poison}, 23000));
    BOOST_TEST(!admits_trial(it, {poison}, 42999));
    BOOST_TEST(admits_trial(it, {poison}, 43000));
}

BOOST_AUTO_TEST_CASE(names_a_time_to_come)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {poison});
    for (auto ms = std::int64_t{3000}; ms < 200000; ms += 500)
    {
        auto const why = it.check(part_list{poison}, false, at(ms));
        BOOST_REQUIRE(why);
        BOOST_TEST((why->until > at(ms)));
        BOOST_TEST((why->until <= at(ms) + 20s));
    }
}

BOOST_AUTO_TEST_CASE(lasts_longer_with_each_crash)
{
    auto it = part_quarantine{};
    auto const backoffs = std::array{20s, 40s, 80s, 160s, 160s, 160s, 160s};
    crash(it, 1, 2, {poison});
    for (auto n = std::uint64_t{3}; n < 3 + backoffs.size(); ++n)
    {
        crash(it, n, 1, {poison});
        auto const now = at(static_cast<std::int64_t>(n) * 1000);
        auto const why = it.check(part_list{poison}, false, now);
        BOOST_REQUIRE(why);
        BOOST_TEST((why->until == now + backoffs.at(n - 3)));
    }
}

BOOST_AUTO_TEST_CASE(that_was_mistaken_ends_with_its_first_trial)
{
    auto tried = part_quarantine{};
    auto other = part_quarantine{};
    crash(tried, 1, 4, {shared});
    tell(tried, other, 4000);
    BOOST_TEST(refuses(other, {shared}, 43999));
    BOOST_TEST(admits_trial(tried, {shared}, 44000));
    tried.record_progress(part_list{shared}, at(46000));
    BOOST_TEST(!refuses(tried, {shared}, 46000));
    tell(tried, other, 46020);
    BOOST_TEST(!refuses(other, {shared}, 46020));
}

BOOST_AUTO_TEST_CASE(of_two_parts_lasts_as_long_as_the_longer_one)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {part(3)});
    crash(it, 4, 3, {poison});
    auto const why = it.check(part_list{part(3), poison}, true, at(24000));
    BOOST_REQUIRE(why);
    BOOST_TEST(why->part == poison);
    BOOST_TEST(!admits_trial(it, {part(3), poison}, 25999));
    BOOST_TEST(admits_trial(it, {part(3), poison}, 26000));
    BOOST_TEST(!admits_trial(it, {part(3)}, 26000));
}

BOOST_AUTO_TEST_CASE(ends_with_its_evidence)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {poison});
    BOOST_TEST(refuses(it, {poison}, 300999));
    BOOST_TEST(!refuses(it, {poison}, 301000));
    it.expire(at(301000));
    BOOST_TEST(it.make_report(at(301000)).accusations.size() == 2U);
    it.expire(at(400000));
    BOOST_TEST((it.make_report(at(400000)) == report{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_mass_loss)

// The runs of a lost domain contain parts that all requests share and parts of
// single requests.
BOOST_AUTO_TEST_CASE(of_targets_refuses_no_request_for_long)
{
    auto it = part_quarantine{};
    for (auto n = 1U; n <= 9; ++n)
    {
        it.record_crash(crash_id{n}, run_id{n},
                        part_list{shared, part(100 + n % 3), part(200 + n)},
                        at(1000 + n));
    }
    for (auto n = 1U; n <= 9; ++n)
    {
        BOOST_TEST(!refuses(it, {part(200 + n)}, 1010));
    }
    it.record_progress(part_list{shared, part(100)}, at(1500));
    BOOST_TEST(!refuses(it, {shared, part(100), part(300)}, 1500));
    it.record_progress(part_list{shared, part(101)}, at(1600));
    BOOST_TEST(!refuses(it, {shared, part(101), part(300)}, 1600));
}

BOOST_AUTO_TEST_CASE(does_not_accuse_parts_that_were_answered_elsewhere_since)
{
    auto here = part_quarantine{};
    auto there = part_quarantine{};
    crash(here, 1, 3, {shared});
    there.record_progress(part_list{shared}, at(3500));
    BOOST_TEST(refuses(here, {shared}, 4000));
    tell(here, there, 4000);
    BOOST_TEST(!refuses(there, {shared}, 4000));
    tell(there, here, 4020);
    BOOST_TEST(!refuses(here, {shared}, 4020));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_host)

BOOST_AUTO_TEST_CASE(that_starts_late_learns_from_any_other)
{
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    crash(first, 1, 4, {poison});
    tell(first, second, 4020);
    // The first host is lost.
    auto late = part_quarantine{};
    tell(second, late, 9000);
    BOOST_TEST(refuses(late, {poison}, 9000));
    BOOST_TEST(!admits_trial(late, {poison}, 43999));
    BOOST_TEST(admits_trial(late, {poison}, 44000));
}

BOOST_AUTO_TEST_CASE(that_was_cut_off_returns_with_evidence_that_was_refuted)
{
    auto cut_off = part_quarantine{};
    auto other = part_quarantine{};
    crash(cut_off, 1, 3, {shared});
    tell(cut_off, other, 3000);
    other.record_progress(part_list{shared}, at(4000));
    BOOST_TEST(refuses(cut_off, {shared}, 20000));
    tell(cut_off, other, 20000);
    BOOST_TEST(!refuses(other, {shared}, 20000));
    tell(other, cut_off, 20000);
    BOOST_TEST(!refuses(cut_off, {shared}, 20000));
}

BOOST_AUTO_TEST_CASE(does_not_pass_on_the_clearances_of_others)
{
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    crash(first, 1, 1, {shared});
    first.record_progress(part_list{shared}, at(1500));
    BOOST_TEST(first.make_report(at(1500)).clearances.size() == 1U);
    tell(first, second, 1600);
    BOOST_TEST((second.make_report(at(1600)) == report{}));
}

// Heard times are later than the true ones.
BOOST_AUTO_TEST_CASE(recognises_a_cleared_crash_whose_time_was_delayed)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {shared});
    auto late = it.make_report(at(3000));
    it.record_progress(part_list{shared}, at(3010));
    for (auto& each : late.accusations)
    {
        each.at = at(3030);
    }
    it.merge(late, at(3040));
    BOOST_TEST(!refuses(it, {shared}, 3040));
    BOOST_TEST(it.make_report(at(3040)).accusations.empty());
}

BOOST_AUTO_TEST_CASE(takes_the_earliest_time_of_a_crash)
{
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    crash(first, 1, 3, {poison});
    auto late = first.make_report(at(3000));
    for (auto& each : late.accusations)
    {
        each.at += 50ms;
    }
    second.merge(late, at(3100));
    auto const changes = second.change_count();
    tell(first, second, 3200);
    BOOST_TEST(second.change_count() == changes);
    BOOST_TEST((second.make_report(at(3200)).accusations ==
                first.make_report(at(3200)).accusations));
    second.merge(late, at(3300));
    BOOST_TEST((second.make_report(at(3300)).accusations ==
                first.make_report(at(3300)).accusations));
}

// Each message delays the evidence, so without a limit on the age of what is
// heard two hosts would keep it alive.
BOOST_AUTO_TEST_CASE(forgets_a_crash_although_others_still_tell_of_it)
{
    auto hosts = std::array<part_quarantine, 2>{};
    crash(hosts[0], 1, 3, {poison});
    for (auto ms = std::int64_t{3000}; ms < 310000; ms += 20)
    {
        for (auto i = std::size_t{0}; i < hosts.size(); ++i)
        {
            auto it = hosts.at(i).make_report(at(ms));
            for (auto& each : it.accusations)
            {
                each.at += 20ms;
            }
            hosts.at(1 - i).merge(it, at(ms + 20));
            hosts.at(i).expire(at(ms + 20));
        }
    }
    for (auto& it : hosts)
    {
        BOOST_TEST((it.make_report(at(310000)) == report{}));
    }
}

BOOST_AUTO_TEST_CASE(ignores_times_to_come)
{
    auto it = part_quarantine{};
    it.merge({{}, {{poison, at(900000)}}}, at(500));
    crash(it, 6, 3, {poison});
    BOOST_TEST(refuses(it, {poison}, 8000));
    auto ahead = report{};
    for (auto n = 1U; n <= 3; ++n)
    {
        ahead.accusations.push_back(
            {shared, crash_id{n}, run_id{n}, at(900000)});
    }
    it.merge(ahead, at(3000));
    BOOST_TEST(refuses(it, {shared, poison}, 3000));
    it.record_progress(part_list{shared}, at(3001));
    BOOST_TEST(!refuses(it, {shared}, 3001));
}

BOOST_AUTO_TEST_SUITE(that_tells_its_news)

BOOST_AUTO_TEST_CASE(tells_of_its_own_crashes_once)
{
    auto it = part_quarantine{};
    crash(it, 1, 2, {poison});
    auto const expected = it.make_report(at(2000)).accusations;
    BOOST_TEST((it.take_new_accusations(at(2000)) == expected));
    BOOST_TEST(it.take_new_accusations(at(2000)).empty());
    crash(it, 1, 2, {poison});
    BOOST_TEST(it.take_new_accusations(at(2000)).empty());
}

BOOST_AUTO_TEST_CASE(tells_nothing_that_it_has_heard)
{
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    crash(first, 1, 3, {poison});
    tell(first, second, 3000);
    crash(second, 1, 3, {poison});
    BOOST_TEST(second.take_new_accusations(at(3000)).empty());
    first.record_progress(part_list{poison}, at(4000));
    tell(first, second, 4000);
    BOOST_TEST(!second.has_new_clearances());
}

BOOST_AUTO_TEST_CASE(does_not_accuse_what_has_been_cleared_since)
{
    auto it = part_quarantine{};
    crash(it, 1, 1, {shared, poison});
    it.record_progress(part_list{shared}, at(1100));
    auto const told = it.take_new_accusations(at(1200));
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST((told.front().part == poison));
    BOOST_TEST((it.take_new_clearances(at(1200)) ==
                std::vector{clearance{shared, at(1100)}}));
    BOOST_TEST(!it.has_new_clearances());
}

// All hosts have answers with a part that most requests share, so a crash makes
// all of them clear it.
BOOST_AUTO_TEST_CASE(clears_no_part_that_another_host_has_cleared_meanwhile)
{
    auto accuser = part_quarantine{};
    crash(accuser, 10, 1, {shared});
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    for (auto* const it : {&first, &second})
    {
        it->record_progress(part_list{shared}, at(9000));
        tell(accuser, *it, 10000);
        BOOST_TEST(it->has_new_clearances());
    }
    auto const told = first.take_new_clearances(at(10010));
    BOOST_TEST((told == std::vector{clearance{shared, at(9000)}}));
    second.merge({{}, told}, at(10020));
    BOOST_TEST(second.take_new_clearances(at(10020)).empty());
}

BOOST_AUTO_TEST_CASE(clears_what_was_accused_after_the_clearance_of_another)
{
    auto first = part_quarantine{};
    auto second = part_quarantine{};
    first.record_progress(part_list{shared}, at(1000));
    crash(first, 1, 1, {shared});
    second.merge({{}, first.take_new_clearances(at(1000))}, at(1000));
    crash(second, 20, 1, {shared});
    second.record_progress(part_list{shared}, at(20100));
    BOOST_TEST((second.take_new_clearances(at(20200)) ==
                std::vector{clearance{shared, at(20100)}}));
}

BOOST_AUTO_TEST_CASE(bounds_the_news_that_nobody_takes)
{
    auto it = part_quarantine{};
    auto const limits = quarantine_limits{};
    for (auto n = std::uint64_t{0}; n < limits.parts.max_suspects; ++n)
    {
        crash(it, 1, limits.parts.max_crashes, {part(n)});
    }
    BOOST_TEST(it.take_new_accusations(at(9000)).size() == limits.max_reported);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_bounds)

BOOST_AUTO_TEST_CASE(hold_whatever_is_recorded_and_heard)
{
    auto const limits = quarantine_limits{};
    auto it = part_quarantine{};
    auto random = random_source{1};
    for (auto n = 0; n < 20000; ++n)
    {
        auto const now = at(n);
        auto const parts = part_list{part(random.below(1000)), part(random())};
        switch (random.below(3))
        {
        case 0:
            it.record_crash(crash_id{random()}, run_id{random()}, parts, now);
            break;
        case 1:
            it.record_progress(parts, now);
            break;
        default:
            it.merge({{{parts[0], crash_id{random()}, run_id{random()}, now}},
                      {{part(random.below(1000)), now}}},
                     now);
        }
        auto const out = it.make_report(now);
        BOOST_REQUIRE(out.accusations.size() <= limits.max_reported);
        BOOST_REQUIRE(out.clearances.size() <= limits.max_reported_clearances);
    }
}

BOOST_AUTO_TEST_CASE(keep_the_first_crashes_and_the_last_one)
{
    auto it = part_quarantine{};
    crash(it, 1, 20, {poison});
    auto const out = it.make_report(at(20000)).accusations;
    auto crashes = std::set<crash_id>{};
    for (auto const& each : out)
    {
        crashes.insert(each.crash);
    }
    BOOST_TEST(out.size() == 8U);
    BOOST_TEST(crashes.contains(crash_id{1}));
    BOOST_TEST(crashes.contains(crash_id{7}));
    BOOST_TEST(crashes.contains(crash_id{20}));
    auto const why = it.check(part_list{poison}, false, at(20000));
    BOOST_REQUIRE(why);
    BOOST_TEST((why->until == at(180000)));
}

BOOST_AUTO_TEST_CASE(keep_a_quarantine_when_many_other_parts_are_accused)
{
    auto it = part_quarantine{};
    crash(it, 1, 3, {poison});
    for (auto n = 0U; n < 1000; ++n)
    {
        it.record_crash(crash_id{100 + n}, run_id{100 + n},
                        part_list{part(100 + n)}, at(4000 + n));
    }
    BOOST_TEST(refuses(it, {poison}, 6000));
    auto const out = it.make_report(at(6000)).accusations;
    BOOST_TEST(out.size() == 66U);
    BOOST_TEST(out.front().part == poison);
    BOOST_TEST(out.back().part == part(1037));
}

// A domain is lost with hundreds of calls in flight.
BOOST_AUTO_TEST_SUITE(in_a_flood_of_accused_requests)

namespace
{

constexpr auto flood = 1000U;

void accuse_many(part_quarantine& it, std::int64_t from_ms, std::uint64_t times)
{
    for (auto n = std::uint64_t{0}; n < flood; ++n)
    {
        for (auto i = std::uint64_t{0}; i < times; ++i)
        {
            it.record_crash(crash_id{10000 + i * flood + n}, run_id{10000 + n},
                            part_list{request(10000 + n)},
                            at(from_ms + static_cast<std::int64_t>(n / 10)));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(keep_the_one_that_crashed_two_targets)
{
    auto it = part_quarantine{};
    crash(it, 1, 2, {request(1)});
    accuse_many(it, 2500, 1);
    crash(it, 3, 1, {request(1)});
    BOOST_TEST(refuses(it, {request(1)}, 3000));
    auto const out = it.make_report(at(3000)).accusations;
    BOOST_TEST(out.size() == quarantine_limits{}.max_reported);
    for (auto n = std::size_t{0}; n < 3; ++n)
    {
        BOOST_TEST(out.at(n).part == request(1));
    }
}

BOOST_AUTO_TEST_CASE(admit_one_that_crashes_targets_afterwards)
{
    auto it = part_quarantine{};
    accuse_many(it, 0, 2);
    crash(it, 1, 3, {request(1)});
    BOOST_TEST(refuses(it, {request(1)}, 3000));
}

BOOST_AUTO_TEST_CASE(admit_an_older_verdict_that_another_host_tells_of)
{
    auto it = part_quarantine{};
    auto other = part_quarantine{};
    crash(other, 1, 3, {request(1)});
    accuse_many(it, 5000, 2);
    tell(other, it, 6000);
    BOOST_TEST(refuses(it, {request(1)}, 6000));
}

BOOST_AUTO_TEST_CASE(do_not_drop_parts)
{
    auto it = part_quarantine{};
    crash(it, 1, 1, {poison});
    accuse_many(it, 1500, 1);
    crash(it, 2, 2, {poison});
    BOOST_TEST(refuses(it, {poison}, 3000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(do_not_make_hosts_replace_each_others_evidence_in_turn)
{
    auto hosts = std::array<part_quarantine, 2>{};
    for (auto n = 0U; n < 100; ++n)
    {
        hosts.at(n % 2).record_crash(crash_id{n}, run_id{n}, part_list{part(n)},
                                     at(1000 + n));
    }
    auto const exchange = [&](std::int64_t ms)
    {
        auto sent = std::array{hosts[0].make_report(at(ms)),
                               hosts[1].make_report(at(ms))};
        for (auto i = std::size_t{0}; i < hosts.size(); ++i)
        {
            for (auto& each : sent.at(i).accusations)
            {
                each.at += 20ms;
            }
            hosts.at(1 - i).merge(sent.at(i), at(ms + 20));
        }
    };
    exchange(2000);
    auto const changes =
        std::pair{hosts[0].change_count(), hosts[1].change_count()};
    exchange(3000);
    BOOST_TEST((changes ==
                std::pair{hosts[0].change_count(), hosts[1].change_count()}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(three_hosts)

namespace
{

constexpr auto host_count = std::size_t{3};
/// Of both kinds.
constexpr auto suspect_count = std::uint64_t{4};

/// The reference keeps all crashes.
auto unbounded_limits() -> quarantine_limits
{
    auto out = quarantine_limits{};
    out.requests.max_crashes = out.parts.max_crashes;
    return out;
}

/// A step of a random history. The numbers select hosts, parts and so on.
struct step
{
    std::uint64_t kind;
    std::uint64_t host;
    std::uint64_t to;
    std::uint64_t parts;
    std::uint64_t crash;
};

/// Longer than RapidCheck's lists, so that most histories contain a quarantine.
template <std::size_t N>
auto long_history()
{
    constexpr auto max_steps = 200;
    return rc::gen::resize(
        max_steps,
        rc::gen::arbitrary<std::vector<std::array<std::uint8_t, N>>>());
}

auto to_parts(std::uint64_t bits) -> part_list
{
    auto out = part_list{};
    for (auto n = std::uint64_t{0}; n < suspect_count; ++n)
    {
        if ((bits >> n & 1U) != 0)
        {
            out.push_back(suspect_id{n});
        }
    }
    return out;
}

struct pair_of_hosts
{
    part_quarantine real{unbounded_limits()};
    reference_quarantine slow;
};

struct message
{
    std::uint64_t to;
    report real;
    report slow;
};

auto sorted(report it) -> report
{
    std::sort(it.accusations.begin(), it.accusations.end(),
              [](auto const& a, auto const& b) {
                  return std::tie(a.part, a.crash) < std::tie(b.part, b.crash);
              });
    std::sort(it.clearances.begin(), it.clearances.end(),
              [](auto const& a, auto const& b) { return a.part < b.part; });
    return it;
}

void compare(pair_of_hosts& it, time_point now)
{
    auto const limits = quarantine_limits{};
    RC_ASSERT(sorted(it.real.make_report(now)) ==
              sorted(it.slow.make_report()));
    for (auto bits = 0U; bits < 1U << suspect_count; ++bits)
    {
        auto const parts = to_parts(bits);
        RC_ASSERT(it.real.check(parts, false, now).has_value() ==
                  it.slow.refuses(parts, limits));
    }
    for (auto n = 0U; n < 8; ++n)
    {
        RC_ASSERT(it.real.explains(crash_id{n}, now) ==
                  it.slow.explains(crash_id{n}, limits));
    }
}

} // namespace

// Messages are delayed, repeated, reordered and lost.
BOOST_AUTO_TEST_CASE(decide_as_the_reference_does)
{
    auto const holds = rc::check(
        []
        {
            auto const history = *long_history<5>();
            auto hosts = std::array<pair_of_hosts, host_count>{};
            auto under_way = std::vector<message>{};
            auto now = at(0);
            for (auto const& raw : history)
            {
                auto const it = step{raw[0] % 6U, raw[1] % host_count,
                                     raw[2] % host_count, raw[3], raw[4] % 8U};
                now += 10ms;
                auto& host = hosts.at(it.host);
                auto const parts = to_parts(it.parts);
                auto const run = run_id{it.parts / 16 % 4};
                switch (it.kind)
                {
                case 0:
                case 1:
                    host.real.record_crash(crash_id{it.crash}, run, parts, now);
                    host.slow.record_crash(crash_id{it.crash}, run, parts, now);
                    break;
                case 2:
                    if (it.crash < 3)
                    {
                        host.real.record_progress(parts, now);
                        host.slow.record_progress(parts, now);
                    }
                    break;
                case 3:
                    under_way.push_back({it.to, host.real.make_report(now),
                                         host.slow.make_report()});
                    break;
                default:
                    if (!under_way.empty())
                    {
                        auto const n =
                            (it.parts + 256 * it.crash) % under_way.size();
                        auto const& msg = under_way.at(n);
                        hosts.at(msg.to).real.merge(msg.real, now);
                        hosts.at(msg.to).slow.merge(msg.slow);
                        if (it.crash % 2 == 0)
                        {
                            under_way.erase(under_way.begin() +
                                            static_cast<std::ptrdiff_t>(n));
                        }
                    }
                }
                compare(host, now);
            }
            for (auto& host : hosts)
            {
                compare(host, now);
            }
        });
    BOOST_TEST(holds);
}

// A crash breaks the connections of several hosts at one moment. After enough
// exchanges all hosts hold the same accusations.
BOOST_AUTO_TEST_CASE(agree_once_all_messages_arrive)
{
    auto const holds = rc::check(
        []
        {
            auto const history = *long_history<3>();
            constexpr auto max_crashes = 8U;
            auto hosts = std::array<part_quarantine, host_count>{};
            hosts.fill(part_quarantine{unbounded_limits()});
            auto now = at(0);
            auto crashes = 0U;
            for (auto const& raw : history)
            {
                now += 10ms;
                auto const parts = to_parts(raw[2]);
                if (raw[0] % 3 == 0 || crashes == max_crashes)
                {
                    hosts.at(raw[1] % host_count).record_progress(parts, now);
                    continue;
                }
                ++crashes;
                for (auto i = std::size_t{0}; i < host_count; ++i)
                {
                    if ((raw[1] >> i & 1U) != 0)
                    {
                        hosts.at(i).record_crash(crash_id{crashes},
                                                 run_id{raw[2] / 16U + i},
                                                 parts, now);
                    }
                }
            }
            for (auto round = std::size_t{0}; round < host_count; ++round)
            {
                for (auto const& from : hosts)
                {
                    for (auto& to : hosts)
                    {
                        to.merge(from.make_report(now), now);
                    }
                }
            }
            auto const expected = sorted(hosts[0].make_report(now)).accusations;
            for (auto const& it : hosts)
            {
                RC_ASSERT(sorted(it.make_report(now)).accusations == expected);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::quarantine
