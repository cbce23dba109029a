#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// Input of a routing decision: the candidate targets and the request.
namespace primrosedeal::routing
{

enum class target_state
{
    live,
    /// No recent response; chosen only when no live target is eligible.
    suspect,
    leaving,
    failed,
};

/// A model that a target has loaded.
struct loaded_model
{
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
};

/// A target of the requested service.
struct candidate
{
    target_id id;
    domain_id domain;
    target_state state = target_state::live;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// Empty for a plain service.
    std::vector<loaded_model> models;
};

/// Hash of a prefix block, chained over the blocks before it.
using block_hash = std::uint64_t;

/// One attempt for which a target is to be chosen.
struct routing_request
{
    /// Empty for a plain service.
    model_id model;
    /// Empty: any version.
    model_version version;
    /// Empty: the base model.
    adapter_id adapter;
    /// Chained hashes of the prompt's complete prefix blocks, in order.
    std::span<block_hash const> blocks;
    /// Requests with a larger value take precedence.
    int priority = 0;
    domain_id own_domain;
    /// Targets that must not be chosen again for this request.
    std::span<target_id const> excluded;
    /// Known to have the prefix cached; chosen if eligible and not full.
    std::optional<target_id> preferred;
    /// Continues a generation: accepted even where new requests are refused.
    bool resume = false;
};

} // namespace primrosedeal::routing
