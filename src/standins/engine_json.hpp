#pragma once

#include "standins/engine_state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The stand-in engine's messages as JSON text.
namespace primrosedeal::standins
{

/// What `POST /generate` brings.
struct generate_call
{
    std::string request;
    std::uint32_t attempt = 0;
    engine_request body;
};

/// Nothing if `text` is not such a message.
auto parse_generate(std::string_view text) -> std::optional<generate_call>;
auto parse_order(std::string_view text) -> std::optional<engine_order>;

/// One event of the answer, `data: ...` and the blank line.
auto chunk_event(generate_call const& call, engine_output const& output,
                 std::uint64_t offset) -> std::string;
auto finish_event(generate_call const& call, std::uint64_t count,
                  finish_reason why) -> std::string;

/// Answer of `GET /load`; `slots` as the settings have it.
auto load_body(engine_load const& load, incarnation started, std::size_t slots)
    -> std::string;
auto state_body(engine_state const& state) -> std::string;
auto cache_events_body(std::vector<cache_event> const& events,
                       std::uint64_t since) -> std::string;

/// `{"error":"text"}`.
auto error_body(std::string_view text) -> std::string;

} // namespace primrosedeal::standins
