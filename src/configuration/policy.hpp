#pragma once

#include "core/strong.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>

/// What the operators' configuration decides for one piece of work: the
/// plain, typed values that the other slices read.
///
/// A policy is the defaults with the exceptions that apply to one service,
/// organisation and failure domain; `effective` in document.hpp makes it.
/// The members' initial values are the built-in defaults of a field that a
/// document leaves out. docs/operations/configuration.md lists the bounds.
namespace primrosedeal::configuration
{

/// Tokens a second.
using token_rate = strong<struct token_rate_tag, std::uint64_t>;

/// What recovery favours when it can't have both.
enum class resume_side
{
    /// Go on as soon as possible, at the price of work done twice.
    latency,
    /// Spend as little extra compute as possible.
    resources,
};

struct generation_policy
{
    resume_side side = resume_side::resources;
    /// Shortest and longest silence of an engine that counts as its loss.
    duration silence_floor = 300ms;
    duration silence_ceiling = 2s;
    /// Age without a token at which a second attempt starts beside the
    /// first; nothing: never.
    std::optional<duration> early_second_attempt_after;
    /// Engines that may fail during one request before it is given up.
    std::uint64_t max_engine_failures = 3;
    /// Deadline of a request that names none.
    duration default_deadline = 5min;
    token_count max_prompt_tokens{32768};
    token_count max_output_tokens{8192};
    /// Age at which a generation is journalled at a second host; nothing:
    /// never.
    std::optional<duration> journal_after;

    friend auto operator==(generation_policy const&, generation_policy const&)
        -> bool = default;
};

struct admission_policy
{
    /// Requests of one organisation that may run at once, over all hosts.
    std::uint64_t organisation_concurrency = 64;
    /// Output tokens a second of one organisation, over all hosts.
    token_rate organisation_tokens_per_second{20000};
    /// Share against other organisations of the same priority.
    double weight = 1.0;
    /// 0 is the lowest; higher goes first and is refused last.
    std::uint64_t priority = 4;

    friend auto operator==(admission_policy const&, admission_policy const&)
        -> bool = default;
};

struct routing_policy
{
    /// Load that a target of another failure domain is taken to have in
    /// addition, in requests.
    double cross_domain_cost = 4.0;
    /// A target is kept for its cached prefix up to this multiple of the
    /// mean load.
    double affinity_load_bound = 1.5;

    friend auto operator==(routing_policy const&, routing_policy const&)
        -> bool = default;
};

struct retry_policy
{
    /// Further attempts allowed per request, on average.
    double attempt_ratio = 0.2;
    /// Further attempts allowed at once beyond the average.
    std::uint64_t burst = 20;

    friend auto operator==(retry_policy const&, retry_policy const&)
        -> bool = default;
};

struct policy
{
    generation_policy generation;
    admission_policy admission;
    routing_policy routing;
    retry_policy retry;

    friend auto operator==(policy const&, policy const&) -> bool = default;
};

} // namespace primrosedeal::configuration
