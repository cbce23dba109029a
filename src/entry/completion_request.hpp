#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The body of `POST /v1/completions`.
namespace primrosedeal::entry
{

/// How urgent a request is among those of all organisations.
enum class priority
{
    low,
    normal,
    high,
};

auto to_string(priority it) -> std::string_view;

struct completion_request
{
    model_id model;
    model_version version;
    adapter_id adapter;
    std::vector<token_id> prompt;
    token_count max_tokens{0};
    std::optional<std::uint64_t> seed;
    double temperature = 0.0;
    std::vector<std::string> stop;
    bool stream = true;
    std::optional<priority> urgency;
    std::optional<duration> deadline;
    /// What the caller already has of this generation.
    std::vector<token_id> resume_tokens;
};

/// Bounds on one request; a request outside is refused.
struct request_bounds
{
    std::size_t max_prompt_tokens = 131072;
    std::uint64_t max_output_tokens = 65536;
    std::size_t max_stop_sequences = 8;
    std::size_t max_stop_bytes = 256;
    std::size_t max_name_bytes = 128;
};

/// Parses and checks `body`. Throws request_error with verdict `not_run`, the
/// key at fault and what was expected.
auto parse_completion(std::string_view body, request_bounds const& bounds)
    -> completion_request;

} // namespace primrosedeal::entry
