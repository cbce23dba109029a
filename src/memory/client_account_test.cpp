#include "memory/client_account.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace primrosedeal::memory
{

namespace
{

constexpr auto kibibyte = std::size_t{1} << 10U;
constexpr auto mebibyte = std::size_t{1} << 20U;
constexpr auto body = mebibyte;
constexpr auto head = kibibyte;
/// Bodies that fit.
constexpr auto room = std::uint64_t{4};

auto at(std::int64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto number(std::uint64_t n) -> connection_number
{
    return connection_number{n};
}

auto none_unread(connection_number /*id*/) -> bool
{
    return false;
}

template <class Action>
auto count(std::vector<decision> const& all) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](decision const& it)
                      { return std::holds_alternative<Action>(it.what); }));
}

template <class Action>
auto first(std::vector<decision> const& all) -> std::uint64_t
{
    auto const it =
        std::find_if(all.begin(), all.end(),
                     [](decision const& each)
                     { return std::holds_alternative<Action>(each.what); });
    return it == all.end() ? 0 : it->connection.value();
}

struct small_host
{
    small_host()
    {
        auto limits = account_limits{};
        limits.bytes.bodies = room * body;
        limits.bytes.small_requests = 4 * small_request;
        limits.bytes.unsent = mebibyte;
        limits.largest_body = body;
        account.set_limits(limits);
    }

    void open(std::uint64_t n, std::uint32_t address = 1)
    {
        account.opened(number(n), client_address{address});
    }

    /// The head of a body of `announced` bytes has come.
    auto begin(std::uint64_t n, std::int64_t ms, std::size_t announced = body)
        -> bool
    {
        return account.received(number(n), {head, announced, false}, at(ms));
    }

    auto receive(std::uint64_t n, std::size_t held, std::int64_t ms) -> bool
    {
        return account.received(number(n), {held, body, false}, at(ms));
    }

    auto step(std::int64_t ms) -> std::vector<decision>
    {
        return account.step(at(ms), none_unread);
    }

    /// Fills the budget of bodies with those of connections 1 to `room`.
    void fill()
    {
        for (auto n = std::uint64_t{1}; n <= room; ++n)
        {
            open(n);
            BOOST_REQUIRE(begin(n, 0));
        }
    }

    client_account account;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(the_account_of_clients, small_host)

// Bodies that were read as they came took several times a host's memory.
BOOST_AUTO_TEST_CASE(reads_no_body_further_than_the_budget)
{
    fill();
    open(9);
    BOOST_TEST(!begin(9, 0));
    BOOST_TEST(account.usage().bodies == room * body);
    BOOST_TEST(account.busy());
    BOOST_TEST(step(100).empty());
    account.ended(number(1));
    auto const due = step(200);
    BOOST_TEST(first<resume_reading>(due) == 9U);
    BOOST_TEST(!account.busy());
    BOOST_TEST(receive(9, body, 300));
}

// A limit for many bodies rejected a single one that is allowed.
BOOST_AUTO_TEST_CASE(admits_one_body_of_any_size)
{
    auto limits = account_limits{};
    limits.bytes.bodies = body;
    limits.largest_body = 4 * body;
    account.set_limits(limits);
    open(1);
    BOOST_TEST(begin(1, 0, 4 * body));
    open(2);
    BOOST_TEST(!begin(2, 0));
}

// Bodies without a length that were all read in part could none be finished.
BOOST_AUTO_TEST_CASE(reserves_the_largest_size_for_a_body_without_a_length)
{
    for (auto n = std::uint64_t{1}; n <= room + 1; ++n)
    {
        open(n);
        BOOST_TEST(
            account.received(number(n), {head, std::nullopt, true}, at(0)));
        auto const on = account.received(
            number(n), {small_request + 1, std::nullopt, true}, at(1));
        BOOST_TEST(on == (n <= room));
    }
    account.complete(number(1), body / 4);
    BOOST_TEST(account.usage().bodies == (room - 1) * body + body / 4);
}

// Bodies that stop short of their end kept their room until the idle timeout.
BOOST_AUTO_TEST_CASE(closes_a_stalled_body_while_another_waits)
{
    fill();
    for (auto ms = 0; ms <= 1200; ms += 100)
    {
        for (auto n = std::uint64_t{2}; n <= room; ++n)
        {
            BOOST_TEST(receive(
                n, head + static_cast<std::size_t>(ms) * kibibyte / 2, ms));
        }
    }
    BOOST_TEST(step(1200).empty());
    open(9);
    BOOST_TEST(!begin(9, 1200));
    auto const due = step(1200);
    BOOST_TEST(first<close_stalled>(due) == 1U);
    BOOST_TEST(count<close_stalled>(due) == 1U);
    BOOST_TEST(first<resume_reading>(due) == 9U);
}

// A client that sends a byte now and then counted as making progress.
BOOST_AUTO_TEST_CASE(closes_a_body_that_drips)
{
    fill();
    open(9);
    BOOST_TEST(!begin(9, 0));
    auto closed = std::vector<std::uint64_t>{};
    for (auto ms = 100; ms <= 1500 && closed.empty(); ms += 100)
    {
        BOOST_TEST(receive(1, head + static_cast<std::size_t>(ms), ms));
        for (auto n = std::uint64_t{2}; n <= room; ++n)
        {
            BOOST_TEST(
                receive(n, head + static_cast<std::size_t>(ms) * 100, ms));
        }
        if (auto const it = first<close_stalled>(step(ms)))
        {
            closed.push_back(it);
        }
    }
    BOOST_TEST(closed == std::vector<std::uint64_t>{1});
}

// After a pause of the process all clients seem to be silent.
BOOST_AUTO_TEST_CASE(closes_no_body_of_which_bytes_wait_to_be_read)
{
    fill();
    open(9);
    BOOST_TEST(!begin(9, 0));
    auto const due =
        account.step(at(2000), [](connection_number) { return true; });
    BOOST_TEST(due.empty());
}

BOOST_AUTO_TEST_CASE(closes_first_at_the_address_that_holds_most)
{
    open(1, 1);
    open(2, 2);
    open(3, 2);
    open(4, 3);
    for (auto n = std::uint64_t{1}; n <= room; ++n)
    {
        BOOST_TEST(begin(n, static_cast<std::int64_t>(n)));
    }
    open(9, 4);
    BOOST_TEST(!begin(9, 2000));
    // The older one of address 2.
    BOOST_TEST(first<close_stalled>(step(2000)) == 2U);
}

// A request that waited for room was kept until its caller's deadline.
BOOST_AUTO_TEST_CASE(rejects_what_has_waited_too_long)
{
    fill();
    for (auto n = std::uint64_t{1}; n <= room; ++n)
    {
        account.complete(number(n), body);
    }
    open(9);
    BOOST_TEST(!begin(9, 0));
    BOOST_TEST(step(2400).empty());
    auto const due = step(2500);
    BOOST_TEST(first<reject_request>(due) == 9U);
    BOOST_TEST(!account.busy());
}

// Bodies in small pieces left no room for ordinary requests.
BOOST_AUTO_TEST_CASE(makes_room_for_a_small_request)
{
    fill();
    for (auto n = std::uint64_t{10}; n < 14; ++n)
    {
        open(n);
        BOOST_TEST(!receive(n, small_request, 0));
    }
    open(20, 2);
    auto const ordinary = 20 * kibibyte;
    BOOST_TEST(!account.received(number(20), {head, ordinary, false}, at(10)));
    auto const due = step(100);
    BOOST_TEST(first<resume_reading>(due) == 20U);
    // Room for the rest of a small request, no more.
    BOOST_TEST(count<reject_request>(due) == 1U);
    BOOST_TEST(
        account.received(number(20), {ordinary, ordinary, false}, at(11)));
}

BOOST_AUTO_TEST_CASE(drops_the_reader_that_has_taken_nothing_for_longest)
{
    for (auto n = std::uint64_t{1}; n <= 3; ++n)
    {
        open(n);
        account.unsent(number(n), mebibyte / 3, false,
                       at(static_cast<std::int64_t>(n)));
    }
    BOOST_TEST(!account.slowest_reader().has_value());
    account.unsent(number(1), mebibyte / 4, true, at(10));
    account.unsent(number(3), mebibyte / 2, false, at(11));
    BOOST_REQUIRE(account.slowest_reader().has_value());
    BOOST_TEST(account.slowest_reader()->value() == 2U);
    account.closed(number(2));
    BOOST_TEST(account.usage().unsent == mebibyte / 4 + mebibyte / 2);
}

// A few floods are stopped by each rule alone; these are drawn at random.
BOOST_AUTO_TEST_CASE(keeps_its_promises_under_any_flood)
{
    BOOST_TEST(rc::check(
        "budget, waits and progress",
        []
        {
            auto host = small_host{};
            constexpr auto clients = 12;
            constexpr auto steps = 120;
            constexpr auto period = 100;
            struct client
            {
                std::size_t size = 0;
                std::size_t rate = 0;
                std::size_t held = 0;
                bool open = false;
                bool paused = false;
                std::int64_t paused_at = 0;
            };
            auto all = std::vector<client>(clients);
            auto const admitted_bodies = [&]
            {
                return std::count_if(all.begin(), all.end(),
                                     [](client const& it) {
                                         return it.open && !it.paused &&
                                                it.size > small_request;
                                     });
            };
            for (auto i = 0; i < steps; ++i)
            {
                auto const ms = std::int64_t{i} * period;
                for (auto c = std::size_t{0}; c < all.size(); ++c)
                {
                    auto& it = all[c];
                    auto const id = number(c + 1);
                    if (!it.open)
                    {
                        it = {};
                        it.open = true;
                        it.size = *rc::gen::element<std::size_t>(
                            10 * kibibyte, small_request, body / 2, body);
                        it.rate = *rc::gen::element<std::size_t>(
                            0, 100, 16 * kibibyte, body / 4);
                        host.open(c + 1, static_cast<std::uint32_t>(c % 3));
                    }
                    if (it.paused)
                    {
                        continue;
                    }
                    it.held = std::min(it.size, it.held + it.rate + 1);
                    if (it.held == it.size)
                    {
                        host.account.complete(id, it.size);
                        host.account.ended(id);
                        host.account.closed(id);
                        it.open = false;
                        continue;
                    }
                    it.paused = !host.account.received(
                        id, {it.held, it.size, false}, at(ms));
                    it.paused_at = ms;
                }
                for (auto const& it : host.step(ms))
                {
                    auto& to = all[it.connection.value() - 1];
                    RC_ASSERT(to.open);
                    if (std::holds_alternative<resume_reading>(it.what))
                    {
                        RC_ASSERT(to.paused);
                        to.paused = false;
                        continue;
                    }
                    // A body that makes progress is never closed.
                    RC_ASSERT(!std::holds_alternative<close_stalled>(it.what) ||
                              to.rate < 16 * kibibyte);
                    host.account.closed(it.connection);
                    to.open = false;
                }
                auto const& usage = host.account.usage();
                RC_ASSERT(usage.bodies <= room * body);
                RC_ASSERT(admitted_bodies() <=
                          static_cast<std::ptrdiff_t>(2 * room));
                for (auto const& it : all)
                {
                    RC_ASSERT(!it.open || !it.paused ||
                              ms - it.paused_at <= 2500);
                }
            }
            for (auto c = std::size_t{0}; c < all.size(); ++c)
            {
                host.account.closed(number(c + 1));
            }
            RC_ASSERT(host.account.usage().held() == 0U);
            RC_ASSERT(host.account.usage().waiting == 0U);
        }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::memory
