#pragma once

#include "core/units.hpp"

#include <optional>
#include <string_view>

/// Faults of the stand-ins, switched by `POST /fault` with
/// `{"fault":"NAME","for_ms":N}`; without `for_ms` a fault stays until the
/// next one is set.
namespace primrosedeal::standins
{

enum class fault
{
    none,
    /// All connections break and new ones are refused; with `for_ms` the
    /// stand-in then starts again, its memory lost.
    die,
    /// Nothing is answered and the clock stands; then everything goes on.
    pause,
    /// Connections now open never deliver again; new ones work.
    silence_open,
    /// Everything takes ten times as long.
    slow,
    /// New work is refused; work in progress goes on.
    leaving,
    /// The next chunk of each stream carries a wrong offset.
    corrupt_offset,
    /// Each chunk is sent twice.
    duplicate_chunk,
    /// New work is refused with 503.
    error_503,
    /// The work is done and the connection then breaks without an answer.
    lose_answer,
};

auto to_string(fault it) -> std::string_view;
auto parse_fault(std::string_view text) -> std::optional<fault>;

struct fault_order
{
    fault what = fault::none;
    std::optional<duration> lasting;
};

/// Reads the body of `POST /fault`; nothing if it is not one.
auto parse_fault_order(std::string_view body) -> std::optional<fault_order>;

} // namespace primrosedeal::standins
