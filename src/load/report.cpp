#include "load/report.hpp"

#include "report/svg.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

// Every figure comes from the rows, so the text and the CSV cannot disagree.
namespace primrosedeal::load
{

namespace
{

auto milliseconds(duration it) -> double
{
    constexpr auto us_per_ms = 1000.0;
    return static_cast<double>(it.count()) / us_per_ms;
}

auto rank(std::vector<duration> const& sorted, double share) -> duration
{
    auto const n = std::ceil(share * static_cast<double>(sorted.size()));
    return sorted[std::max<std::size_t>(static_cast<std::size_t>(n), 1) - 1];
}

auto to_string(call_outcome it) -> char const*
{
    switch (it)
    {
    case call_outcome::ran:
        return "ran";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

void add_problem(load_totals& to, std::string const& problem)
{
    if (!problem.empty())
    {
        ++to.problems[problem];
    }
}

void add_orders(load_totals& to, std::vector<call_result> const& orders)
{
    for (auto const& it : orders)
    {
        to.orders_ran += it.outcome == call_outcome::ran ? 1 : 0;
        to.orders_not_run += it.outcome == call_outcome::not_run ? 1 : 0;
        to.orders_unknown += it.outcome == call_outcome::may_have_run ? 1 : 0;
        to.reconnects += it.reconnects;
        add_problem(to, it.problem);
    }
}

auto line(char const* name, percentiles const& it) -> std::string
{
    return absl::StrFormat("%-26s p50 %.0f ms, p95 %.0f ms, max %.0f ms (%d)\n",
                           name, milliseconds(it.p50), milliseconds(it.p95),
                           milliseconds(it.most), it.count);
}

void add_calls(std::string& to, char const* kind,
               std::vector<call_result> const& calls)
{
    for (auto const& it : calls)
    {
        to +=
            absl::StrFormat("%s,%d,%.3f,%s,%.1f,,,%d,,,,\"%s\"\n", kind,
                            it.index, to_seconds(it.at), to_string(it.outcome),
                            milliseconds(it.took), it.reconnects, it.problem);
    }
}

} // namespace

auto summarise(std::vector<duration> samples) -> percentiles
{
    if (samples.empty())
    {
        return {};
    }
    std::sort(samples.begin(), samples.end());
    constexpr auto half = 0.5;
    constexpr auto most_of_them = 0.95;
    return {samples.size(), rank(samples, half), rank(samples, most_of_them),
            samples.back()};
}

auto totals_of(load_report const& it) -> load_totals
{
    auto totals = load_totals{};
    auto first = std::vector<duration>{};
    auto gaps = std::vector<duration>{};
    for (auto const& each : it.generations)
    {
        totals.complete += each.complete ? 1 : 0;
        totals.tokens += each.tokens;
        totals.faults.missing += each.faults.missing;
        totals.faults.repeated += each.faults.repeated;
        totals.faults.mixed += each.faults.mixed;
        totals.reconnects += each.reconnects;
        add_problem(totals, each.problem);
        if (each.tokens > 0)
        {
            first.push_back(each.first_token);
        }
        if (each.longest_gap >= it.resume_gap_floor)
        {
            gaps.push_back(each.longest_gap);
        }
    }
    totals.first_token = summarise(std::move(first));
    totals.resume_gap = summarise(std::move(gaps));
    add_orders(totals, it.orders);
    for (auto const& each : it.lookups)
    {
        totals.lookups_ran += each.outcome == call_outcome::ran ? 1 : 0;
        add_problem(totals, each.problem);
    }
    return totals;
}

auto promises_kept(load_report const& it) -> bool
{
    auto const totals = totals_of(it);
    auto const answers = totals.complete == it.generations.size() &&
                         totals.faults == token_faults{};
    auto const ran = it.executions.total;
    auto const orders = it.orders.empty() ||
                        (it.executions.known && it.executions.repeated == 0 &&
                         ran >= totals.orders_ran &&
                         ran <= totals.orders_ran + totals.orders_unknown);
    return answers && orders && totals.lookups_ran == it.lookups.size();
}

auto to_text(load_report const& it) -> std::string
{
    auto const totals = totals_of(it);
    auto text = absl::StrFormat("%-26s %d of %d\n", "answers complete",
                                totals.complete, it.generations.size());
    text += absl::StrFormat("%-26s %d\n", "tokens received", totals.tokens);
    text +=
        absl::StrFormat("%-26s %d\n", "tokens missing", totals.faults.missing);
    text += absl::StrFormat("%-26s %d\n", "tokens repeated",
                            totals.faults.repeated);
    text += absl::StrFormat("%-26s %d\n", "tokens mixed", totals.faults.mixed);
    text += line("first token", totals.first_token);
    text += line("resume latency", totals.resume_gap);
    text += absl::StrFormat("%-26s %d\n", "reconnects", totals.reconnects);
    text += absl::StrFormat("%-26s %d (ran %d, not_run %d, may_have_run %d)\n",
                            "orders sent", it.orders.size(), totals.orders_ran,
                            totals.orders_not_run, totals.orders_unknown);
    text += it.executions.known
                ? absl::StrFormat("%-26s %d, twice %d\n", "orders run",
                                  it.executions.total, it.executions.repeated)
                : absl::StrFormat("%-26s not counted\n", "orders run");
    text += absl::StrFormat("%-26s %d of %d\n", "look-ups answered",
                            totals.lookups_ran, it.lookups.size());
    for (auto const& [problem, n] : totals.problems)
    {
        text += absl::StrFormat("%-26s %d x %s\n", "problem", n, problem);
    }
    return text;
}

auto to_csv(load_report const& it) -> std::string
{
    auto text =
        std::string{"kind,index,at_s,outcome,first_or_took_ms,longest_gap_ms,"
                    "tokens,reconnects,missing,repeated,mixed,problem\n"};
    for (auto const& each : it.generations)
    {
        text += absl::StrFormat(
            "%s,%d,%.3f,%s,%.1f,%.1f,%d,%d,%d,%d,%d,\"%s\"\n",
            each.is_long ? "long_generation" : "generation", each.index,
            to_seconds(each.at), each.complete ? "complete" : "failed",
            milliseconds(each.first_token), milliseconds(each.longest_gap),
            each.tokens, each.reconnects, each.faults.missing,
            each.faults.repeated, each.faults.mixed, each.problem);
    }
    add_calls(text, "order", it.orders);
    add_calls(text, "lookup", it.lookups);
    return text;
}

auto to_svg(load_report const& it) -> std::string
{
    auto first = report::series{"first token", "#1f77b4", {}};
    auto gaps = report::series{"longest gap", "#d62728", {}};
    for (auto const& each : it.generations)
    {
        auto const x = to_seconds(each.at);
        first.points.push_back({x, to_seconds(each.first_token)});
        gaps.points.push_back({x, to_seconds(each.longest_gap)});
    }
    return report::scatter_plot({"Generations by time of sending",
                                 "time of sending, s",
                                 "latency, s",
                                 {first, gaps}});
}

} // namespace primrosedeal::load
