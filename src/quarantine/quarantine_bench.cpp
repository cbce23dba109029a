#include "quarantine/part_quarantine.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <span>
#include <string>
#include <string_view>

// What naming a request costs by the size of its body, and what the quarantine
// costs in time and memory when nothing is suspected and at its bounds.
namespace primrosedeal::quarantine
{
namespace
{

template <class Action>
void measure(char const* name, unsigned times, Action const& action)
{
    auto const start = std::chrono::steady_clock::now();
    for (auto n = 0U; n < times; ++n)
    {
        action(n);
    }
    auto const took = std::chrono::duration<double, std::micro>(
        std::chrono::steady_clock::now() - start);
    std::printf("%-40s %10.3f us\n", name, took.count() / times);
}

void measure_identity(char const* name, std::size_t size, unsigned times)
{
    auto body = std::string(size, 'x');
    auto sum = std::uint64_t{0};
    measure(
        name, times,
        [&](unsigned n)
        {
            body[n % size] = static_cast<char>(n);
            sum +=
                to_identity({"POST", "/path/2f", "organisation", body}).value();
        });
    if (sum == 0)
    {
        std::printf("no hash\n");
    }
}

auto request(std::uint64_t n) -> suspect_id
{
    return suspect_id{2 * n + 1};
}

auto at(std::uint64_t ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

void accuse(part_quarantine& it, std::uint64_t n, std::uint64_t crash,
            time_point now)
{
    auto const id = request(n);
    it.record_crash(crash_id{crash}, run_id{n}, std::span{&id, 1}, now);
}

void answer(part_quarantine& it, std::uint64_t n, time_point now)
{
    auto const id = request(n);
    it.record_progress(std::span{&id, 1}, now);
}

void measure_empty()
{
    auto it = part_quarantine{};
    auto refused = 0U;
    constexpr auto times = 1'000'000U;
    measure("check, nothing suspected", times,
            [&](unsigned n)
            {
                auto const id = request(n);
                refused += it.check(std::span{&id, 1}, false, at(n)) ? 1U : 0U;
            });
    measure("record_progress, nothing suspected", times,
            [&](unsigned n) { answer(it, n, at(n)); });
    std::printf("%-40s %10u\n", "refused", refused);
}

void fill(part_quarantine& it)
{
    auto const limits = quarantine_limits{};
    for (auto n = std::uint64_t{0}; n < limits.requests.max_suspects; ++n)
    {
        for (auto i = std::uint64_t{0}; i < limits.requests.max_crashes; ++i)
        {
            accuse(it, n, n * limits.requests.max_crashes + i, at(n + i));
        }
    }
    constexpr auto first_answered = 1'000'000U;
    for (auto n = 0U; n < limits.requests.max_proven; ++n)
    {
        answer(it, first_answered + n, at(n));
    }
}

void measure_full()
{
    auto const before = mallinfo2().uordblks;
    auto it = part_quarantine{};
    fill(it);
    std::printf("%-40s %10zu bytes\n", "memory at the bounds for requests",
                mallinfo2().uordblks - before);
    auto const now = at(10'000);
    constexpr auto times = 10'000U;
    auto const told = it.make_report(now);
    measure("check, all suspected", times,
            [&](unsigned n)
            {
                auto const id = request(n % 512);
                it.check(std::span{&id, 1}, false, now);
            });
    measure("explains", times,
            [&](unsigned n) { (void)it.explains(crash_id{n}, now); });
    measure("make_report", times / 10,
            [&](unsigned) { (void)it.make_report(now); });
    measure("merge of 128 known rows", times / 10,
            [&](unsigned) { it.merge(told, now); });
    measure("record_crash, full of verdicts", times,
            [&](unsigned n)
            { accuse(it, 10'000 + n, 10'000 + n, at(10'000 + n)); });
    auto singles = part_quarantine{};
    measure("record_crash, a flood of single ones", times,
            [&](unsigned n) { accuse(singles, n, n, at(n)); });
}

} // namespace
} // namespace primrosedeal::quarantine

auto main() -> int
{
    using namespace primrosedeal::quarantine;
    measure_identity("identity, body of 1 byte", 1, 1'000'000);
    measure_identity("identity, body of 4 KiB", std::size_t{4} << 10U, 100'000);
    measure_identity("identity, body of 4 MiB", std::size_t{4} << 20U, 300);
    measure_empty();
    measure_full();
}
