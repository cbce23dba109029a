#include "expected_cost/choice.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace primrosedeal::expected_cost
{

namespace
{

/// Fraction of the time for the output that counts. With 0.1, prompts wait for
/// targets whose streams are a little faster.
constexpr auto output_fraction = 0.02;

/// Occupancy of the own domain relative to the others' from which the price of
/// crossing falls, and at which it is zero.
constexpr auto busier = 1.0;
constexpr auto much_busier = 1.25;
/// Occupancy of a domain that is nearly idle, which makes no difference.
constexpr auto idle_occupancy = 0.05;
/// Occupancy of the own domain from which the price falls and at which it is
/// zero: the last free slots are worth more than locality.
constexpr auto busy_occupancy = 0.5;
constexpr auto full_occupancy = 0.8;
/// Fraction of the time to the objective that a local target may take.
constexpr auto safe_fraction = 0.5;

/// Tokens that count as unseen in any case, as a fraction of the prompt:
/// estimates are not exact, so nearly equal targets are drawn from.
constexpr auto least_unseen = 0.25;

/// 1 up to `from`, 0 from `to` on, linear between.
auto falling(double it, double from, double to) -> double
{
    return std::clamp((to - it) / (to - from), 0.0, 1.0);
}

/// The spread is wider by this factor, and the better one of two draws is
/// taken. One draw from the plain spread had longer tails than the baseline at
/// 72 hosts (cost_replay_test.cpp).
constexpr auto unseen_factor = 2.0;
constexpr auto draws = 2;

struct occupancy
{
    double running = 0;
    double slots = 0;

    void add(candidate const& it)
    {
        running += it.running;
        slots += it.slots;
    }

    [[nodiscard]] auto value() const -> double
    {
        return slots > 0 ? running / slots : 0;
    }
};

} // namespace

auto crossing_price(std::span<candidate const> candidates,
                    work_to_place const& it) -> duration
{
    auto own = occupancy{};
    auto others = occupancy{};
    auto best = std::numeric_limits<double>::max();
    for (auto const& at : candidates)
    {
        (at.crosses ? others : own).add(at);
        if (!at.crosses)
        {
            best = std::min(best, expected_time(at, it, {}));
        }
    }
    auto const ratio =
        (own.value() + idle_occupancy) / (others.value() + idle_occupancy);
    auto const left = static_cast<double>(it.objective_left.count());
    auto const fraction =
        falling(ratio, busier, much_busier) *
        falling(own.value(), busy_occupancy, full_occupancy) *
        falling(best, safe_fraction * left, std::max(left, 1.0));
    return duration{static_cast<duration::rep>(
        fraction * static_cast<double>(crossing_time.count()))};
}

auto expected_time(candidate const& at, work_to_place const& it,
                   duration crossing) -> double
{
    auto const fill = std::min(1.0, at.running / std::max<double>(at.slots, 1));
    auto const per_output =
        it.us_per_output + (it.us_per_output_full - it.us_per_output) * fill;
    auto const prefill = (at.tokens_ahead + it.prompt) * it.us_per_token;
    auto const output = output_fraction * it.output * per_output;
    return (prefill + output) / at.speed +
           (at.crosses ? static_cast<double>(crossing.count()) : 0.0);
}

auto choose(std::span<candidate const> candidates, work_to_place const& it,
            random_source& random) -> std::size_t
{
    auto const price = crossing_price(candidates, it);
    auto times = std::vector<double>{};
    times.reserve(candidates.size());
    for (auto const& at : candidates)
    {
        times.push_back(expected_time(at, it, price));
    }
    auto order = std::vector<std::size_t>(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b)
              { return times[a] < times[b]; });
    // Raises the level at which targets are equally late until the unseen
    // tokens are spread: `rate` tokens fit below it for each microsecond.
    auto left =
        std::max(unseen_factor * it.unseen_tokens, least_unseen * it.prompt);
    auto rate = 0.0;
    auto level = times[order.front()];
    auto count = std::size_t{0};
    for (; count < order.size(); ++count)
    {
        auto const at = order[count];
        auto const fits = (times[at] - level) * rate;
        if (fits >= left)
        {
            break;
        }
        left -= fits;
        level = times[at];
        rate += candidates[at].speed / it.us_per_token;
    }
    level += left / rate;
    auto const weight = [&](std::size_t at)
    {
        return (level - times[at]) * candidates[at].speed;
    };
    auto total = 0.0;
    for (auto i = std::size_t{0}; i < count; ++i)
    {
        total += weight(order[i]);
    }
    auto best = count - 1;
    for (auto n = 0; n < draws; ++n)
    {
        auto draw = random.unit() * total;
        auto drawn = std::size_t{0};
        for (; drawn + 1 < count; ++drawn)
        {
            draw -= weight(order[drawn]);
            if (draw < 0)
            {
                break;
            }
        }
        best = std::min(best, drawn);
    }
    return order[best];
}

} // namespace primrosedeal::expected_cost
