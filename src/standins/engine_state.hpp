#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "standins/prefix_cache.hpp"
#include "standins/token_model.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The deciding part of a stand-in engine: continuous batching as a token
/// clock, a prefix cache, orders with fencing numbers. No socket, no clock.
namespace primrosedeal::standins
{

struct loaded_model
{
    model_id model;
    model_version version;
    std::set<adapter_id> adapters;
    /// Serves from this time on.
    time_point ready_at;
};

struct engine_settings
{
    /// Time between two steps; each step gives every running stream
    /// `tokens_per_step` tokens.
    duration token_gap = 20ms;
    std::uint32_t tokens_per_step = 1;
    /// Time to compute 1000 tokens of prompt and prefix that are not cached.
    duration prefill_per_1000 = 100ms;
    /// Streams computed at once; others wait.
    std::size_t slots = 16;
    std::size_t max_waiting = 64;
    std::size_t cache_blocks = 4096;
    /// Age of what `/load` tells.
    duration load_lag = 500ms;
    /// Age of what `/cache_events` tells.
    duration cache_event_lag = 500ms;
    /// One cache event of so many is never told; 0 tells all.
    std::uint64_t cache_event_gap_one_in = 0;
    /// Whether orders with an old fencing number are refused.
    bool checks_fencing = true;
    /// Time to load a model, adapter or version.
    duration load_time = 2s;
    incarnation started{1};
    std::vector<loaded_model> models;
};

/// A stream within one engine.
using stream_key = strong<struct stream_key_tag, std::uint64_t>;

struct engine_request
{
    generation_request generation;
    token_list prefix;
    /// Larger goes first among those that wait.
    int priority = 0;
};

enum class engine_refusal
{
    leaving,
    overloaded,
    loading,
    unknown_model,
};

auto to_string(engine_refusal it) -> std::string_view;

/// Tokens for one stream; the end of it if `finish` is set.
struct engine_output
{
    stream_key stream;
    std::uint64_t offset = 0;
    std::vector<token_stream::token> tokens;
    std::optional<finish_reason> finish;
};

enum class order_kind
{
    load_model,
    unload_model,
    load_adapter,
    set_version,
    set_role,
};

auto parse_order_kind(std::string_view text) -> std::optional<order_kind>;

struct engine_order
{
    order_kind kind = order_kind::load_model;
    model_id model;
    model_version version;
    adapter_id adapter;
    std::string role;
    std::uint64_t fencing = 0;
};

enum class order_result
{
    done,
    loading,
    old_fencing_number,
};

struct engine_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    bool leaving = false;
    std::string role;
    std::vector<loaded_model> models;
};

/// Counts since the start.
struct engine_totals
{
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prefilled_tokens = 0;
    /// Prefix tokens, generated before elsewhere, that were computed again.
    std::uint64_t recomputed_tokens = 0;
};

class engine_state
{
public:
    explicit engine_state(engine_settings settings);

    auto submit(engine_request const& request, time_point now)
        -> std::variant<stream_key, engine_refusal>;
    void cancel(stream_key key, time_point now);

    /// All output due up to `now`, in order.
    auto advance(time_point now) -> std::vector<engine_output>;

    /// When `advance` next has work; nothing while idle.
    [[nodiscard]] auto next_due() const -> std::optional<time_point>;

    /// Moves all that is due later, as after a pause of the process.
    void postpone(duration by);

    /// Loses all streams and the cache, as a new start does.
    void restart(time_point now);

    void set_leaving(bool leaving)
    {
        leaving_ = leaving;
    }

    /// Makes each step take `factor` times as long.
    void set_slowness(int factor)
    {
        slowness_ = factor;
    }

    auto order(engine_order const& it, time_point now) -> order_result;

    [[nodiscard]] auto load() const -> engine_load;
    [[nodiscard]] auto totals() const -> engine_totals
    {
        return totals_;
    }
    [[nodiscard]] auto highest_fencing() const -> std::uint64_t
    {
        return highest_fencing_;
    }
    [[nodiscard]] auto started() const -> incarnation
    {
        return settings_.started;
    }
    [[nodiscard]] auto cache() const -> prefix_cache const&
    {
        return cache_;
    }

private:
    struct stream
    {
        engine_request request;
        token_stream tokens;
        time_point ready_at;
        /// Tokens after the last whole block, and that block's hash.
        token_list open_block;
        std::uint64_t last_block = 0;
    };

    auto find_model(model_id const& model) -> loaded_model*;
    auto refusal(generation_request const& it, time_point now)
        -> std::optional<engine_refusal>;
    void start_waiting(time_point now);
    void prefill(stream& it, time_point now);
    void note_token(stream& it, token_id token, time_point now);
    void step(time_point now, std::vector<engine_output>& outputs);
    auto step_stream(stream_key key, stream& it, time_point now)
        -> engine_output;
    auto start_loading(engine_order const& it, time_point now) -> order_result;

    engine_settings settings_;
    prefix_cache cache_;
    std::map<stream_key, stream> running_;
    std::map<stream_key, engine_request> waiting_;
    std::optional<time_point> next_step_;
    std::uint64_t next_key_ = 1;
    std::uint64_t highest_fencing_ = 0;
    std::string role_ = "serving";
    bool leaving_ = false;
    int slowness_ = 1;
    engine_totals totals_;
};

} // namespace primrosedeal::standins
