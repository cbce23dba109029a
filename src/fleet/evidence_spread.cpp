#include "fleet/evidence_spread.hpp"

#include "fleet/evidence_message.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace primrosedeal::fleet
{

namespace
{

constexpr auto room = max_evidence_bytes - evidence_overhead_bytes;
/// Clearances take a quarter of the room at most.
constexpr auto max_clearances = room / 4 / max_clearance_bytes;

template <class Row>
auto select(std::vector<Row> const& all, std::size_t most,
            random_source& random, time_point now) -> std::vector<Row>
{
    if (all.size() <= most)
    {
        return all;
    }
    auto order = std::vector<std::size_t>{};
    auto taken = std::vector<bool>(all.size());
    auto const take = [&](std::size_t i, std::size_t until)
    {
        if (!taken[i] && order.size() < until)
        {
            taken[i] = true;
            order.push_back(i);
        }
    };
    auto newest = std::vector<std::size_t>(all.size());
    std::iota(newest.begin(), newest.end(), std::size_t{0});
    std::stable_sort(newest.begin(), newest.end(),
                     [&](auto a, auto b) { return all[a].at > all[b].at; });
    for (auto const i : newest)
    {
        if (now - all[i].at < fresh_evidence_age)
        {
            take(i, most / 2);
        }
    }
    for (auto i = std::size_t{0}; i < all.size(); ++i)
    {
        take(i, most * 3 / 4);
    }
    auto const first = random.below(all.size());
    for (auto i = std::size_t{0}; i < all.size(); ++i)
    {
        take((first + i) % all.size(), most);
    }
    auto out = std::vector<Row>{};
    for (auto const i : order)
    {
        out.push_back(all[i]);
    }
    return out;
}

void append(quarantine::report& to, quarantine::report const& it)
{
    to.accusations.insert(to.accusations.end(), it.accusations.begin(),
                          it.accusations.end());
    to.clearances.insert(to.clearances.end(), it.clearances.begin(),
                         it.clearances.end());
}

} // namespace

auto select_evidence(quarantine::report const& all, random_source& random,
                     time_point now) -> quarantine::report
{
    auto out = quarantine::report{};
    out.clearances = select(all.clearances, max_clearances, random, now);
    auto const left = room - out.clearances.size() * max_clearance_bytes;
    out.accusations =
        select(all.accusations, left / max_accusation_bytes, random, now);
    return out;
}

auto evidence_spread::next(quarantine::part_quarantine& evidence,
                           std::size_t hosts, random_source& random,
                           time_point now) -> evidence_plan
{
    auto out = evidence_plan{};
    for (auto& each : repetitions_)
    {
        if (each.due_at <= now)
        {
            append(out.to_all, each.it);
            --each.left;
            each.due_at = now + 2 * evidence_repeat_delay;
        }
    }
    std::erase_if(repetitions_, [](auto const& it) { return it.left == 0; });
    auto news = take_news(evidence, hosts, random, now);
    if (!news.empty())
    {
        append(out.to_all, news);
        repetitions_.push_back({std::move(news), now + evidence_repeat_delay});
    }
    if (!round_due_at_)
    {
        auto const period =
            static_cast<std::uint64_t>(evidence_round_period.count());
        round_due_at_ =
            now + duration{static_cast<duration::rep>(random.below(period))};
    }
    if (*round_due_at_ <= now)
    {
        auto const all = evidence.make_report(now);
        auto const fresh = std::any_of(
            all.accusations.begin(), all.accusations.end(),
            [&](auto const& it) { return now - it.at < fresh_evidence_age; });
        round_due_at_ =
            now + (fresh ? fresh_evidence_round_period : evidence_round_period);
        out.to_few = select_evidence(all, random, now);
    }
    return out;
}

auto evidence_spread::take_news(quarantine::part_quarantine& evidence,
                                std::size_t hosts, random_source& random,
                                time_point now) -> quarantine::report
{
    auto out = quarantine::report{};
    out.accusations = evidence.take_new_accusations(now);
    if (evidence.has_new_clearances() && !clearances_due_at_)
    {
        auto const spread = clearance_spread_per_host.count() *
                            static_cast<duration::rep>(hosts);
        clearances_due_at_ =
            now + duration{static_cast<duration::rep>(
                      random.below(static_cast<std::uint64_t>(spread)))};
    }
    if (clearances_due_at_ && *clearances_due_at_ <= now)
    {
        clearances_due_at_.reset();
        out.clearances = evidence.take_new_clearances(now);
    }
    return out;
}

} // namespace primrosedeal::fleet
