#pragma once

#include "fleet.hpp"
#include "routing/router.hpp"
#include "workload.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// The ways to choose a target that routing_bench compares.
namespace primrosedeal::bench
{

/// One way, for all hosts of a run.
struct routing_policy
{
    std::string name;
    std::function<std::uint32_t(request const&)> choose;
    std::function<void(std::uint32_t host, std::uint32_t target,
                       request const&)>
        dispatched;
    std::function<void(std::uint32_t host, std::uint32_t target)> finished;
    fleet::on_report reported;
    fleet::on_cache_batch cached;
};

enum class policy_kind
{
    random,
    round_robin,
    least_reported,
    perfect,
    product,
};

/// All kinds in the order of the report.
auto policy_kinds() -> std::vector<policy_kind> const&;

/// `all` and `queue` must outlive the policy.
auto make_policy(policy_kind kind, fleet& all, event_queue& queue,
                 std::uint32_t hosts, std::uint32_t domains) -> routing_policy;

} // namespace primrosedeal::bench
