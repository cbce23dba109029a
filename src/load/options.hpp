#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// What a load run sends. Counts of 0 send none of that kind.
namespace primrosedeal::load
{

/// Tokens from `least` to `most`, both included.
struct token_range
{
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

struct load_options
{
    std::uint64_t seed = 1;
    /// Entry hosts; each call goes to one picked at random.
    std::vector<net::endpoint> hosts;
    /// Bearer keys, one of an organisation each, picked at random.
    std::vector<std::string> keys;

    std::uint64_t generations = 50;
    double generations_per_second = 10;
    model_id model{"fitting"};
    model_version version{"1"};
    adapter_id adapter;
    /// Prompts begin with one of so many shared prefixes.
    std::uint64_t prefixes = 4;
    std::uint64_t prefix_tokens = 256;
    token_range prompt_tokens{16, 128};
    token_range short_output{40, 160};
    token_range long_output{600, 1200};
    double long_share = 0.07;
    duration deadline = 10min;

    std::uint64_t orders = 0;
    double orders_per_second = 10;
    std::string order_service = "order";
    std::string order_path = "orders";
    std::uint64_t lookups = 0;
    double lookups_per_second = 10;
    std::string lookup_service = "stock";
    /// Plain-service stand-ins whose executions are compared with the orders.
    std::vector<net::endpoint> execution_counters;

    /// How often one call may come back through another host.
    std::uint32_t max_reconnects = 30;
    duration reconnect_delay = 50ms;
    /// Silence after which a caller comes back through another host.
    duration caller_patience = 6s;
    /// A gap between tokens of at least this counts as a resume.
    duration resume_gap_floor = 300ms;
    /// Calls not over so long after the last arrival count as failed.
    duration give_up_after = 120s;
};

} // namespace primrosedeal::load
