#pragma once

#include "routes/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Finds what is wrong with an operators' configuration of the gateway before
/// it is sent: entries that can never match and limits that contradict each
/// other. No finding contains a key.
///
/// Load pattern: operators check documents of up to some thousand routes by
/// hand or in a script. A document is read once; the time is linear in its
/// size.
namespace primrosedeal::configuration_check
{

enum class section
{
    document,
    routes,
    services,
    organisations,
    limits,
};

enum class member
{
    all,
    version,
    path_prefix,
    timeout,
    objective,
    gap_objective,
    priority,
    max_attempts,
    split,
    keys,
    head_bytes,
    body_bytes,
    head_timeout,
    idle_timeout,
};

/// An entry of a list, a member of one or of the limits.
struct place
{
    section in = section::document;
    std::size_t index = 0;
    member of = member::all;

    friend auto operator==(place const&, place const&) -> bool = default;
};

struct finding
{
    place at;
    std::string text;
    /// The entry that it contradicts.
    std::optional<place> because = {};
};

/// What operators wrote. In force are the bounds that hosts apply to it.
struct document
{
    routes::configuration configuration;
    /// By route, as stated: hosts take 0 for 1. Absent: not stated.
    std::vector<std::optional<double>> stated_attempts = {};
};

/// Priorities that hosts tell apart.
constexpr auto max_priority = 8;

/// Above these one request could take the memory of a small host.
constexpr auto max_head_bytes = std::size_t{1} << 20U;
constexpr auto max_body_bytes = std::size_t{64} << 20U;

/// All findings, in the order of the document.
auto check(document const& it) -> std::vector<finding>;

} // namespace primrosedeal::configuration_check
