#pragma once

#include "core/units.hpp"
#include "load/answer_check.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What a load run saw.
namespace primrosedeal::load
{

struct generation_result
{
    std::uint64_t index = 0;
    /// Intended time of sending, from the start of the run.
    duration at{};
    bool is_long = false;
    bool complete = false;
    std::uint64_t tokens = 0;
    token_faults faults;
    std::uint32_t reconnects = 0;
    /// From the intended time of sending; 0 if no token came.
    duration first_token{};
    /// Longest time between two tokens.
    duration longest_gap{};
    /// Why it is not complete.
    std::string problem;
};

enum class call_outcome
{
    ran,
    not_run,
    may_have_run,
};

struct call_result
{
    std::uint64_t index = 0;
    duration at{};
    call_outcome outcome = call_outcome::may_have_run;
    /// From the intended time of sending to the last answer.
    duration took{};
    std::uint32_t reconnects = 0;
    std::string problem;
};

/// Executions as the plain services counted them.
struct execution_counts
{
    /// Whether every counter answered.
    bool known = false;
    std::uint64_t total = 0;
    /// Calls that ran more than once.
    std::uint64_t repeated = 0;
};

struct percentiles
{
    std::size_t count = 0;
    duration p50{};
    duration p95{};
    duration most{};
};

/// Nearest-rank percentiles.
auto summarise(std::vector<duration> samples) -> percentiles;

struct load_report
{
    std::vector<generation_result> generations;
    std::vector<call_result> orders;
    std::vector<call_result> lookups;
    execution_counts executions;
    /// A gap of at least this counts as a resume.
    duration resume_gap_floor{};
};

/// The figures of a report.
struct load_totals
{
    std::uint64_t complete = 0;
    std::uint64_t tokens = 0;
    token_faults faults;
    std::uint64_t reconnects = 0;
    percentiles first_token;
    percentiles resume_gap;
    std::uint64_t orders_ran = 0;
    std::uint64_t orders_not_run = 0;
    std::uint64_t orders_unknown = 0;
    std::uint64_t lookups_ran = 0;
    std::map<std::string, std::uint64_t> problems;
};

auto totals_of(load_report const& it) -> load_totals;

/// Whether every promise held: each answer complete, no order run twice, as
/// many executions as the verdicts allow, each look-up answered.
auto promises_kept(load_report const& it) -> bool;

auto to_text(load_report const& it) -> std::string;
/// One line a call, with a heading line.
auto to_csv(load_report const& it) -> std::string;
/// Latency to the first token and longest gap over the run's time.
auto to_svg(load_report const& it) -> std::string;

} // namespace primrosedeal::load
