#pragma once

#include "event_queue.hpp"
#include "prefix_cache.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

/// A model engine in virtual time: continuous batching as a token clock,
/// prefill in chunks, a limited prefix cache, cancel, and faults.
namespace primrosedeal::bench
{

constexpr auto tokens_per_block = std::uint32_t{16};

struct engine_settings
{
    std::uint32_t slots = 96;
    duration step_base = 20ms;
    /// Added to a step by each sequence in the batch.
    duration step_per_sequence = 400us;
    double prefill_tokens_per_second = 20'000;
    std::uint32_t prefill_chunk = 512;
    std::size_t cache_blocks = 6'000;
};

/// A generation as sent to an engine.
struct engine_work
{
    /// Names the generated tokens; equal for all attempts of one request.
    std::uint64_t key = 0;
    std::shared_ptr<std::vector<std::uint64_t> const> prompt;
    std::uint32_t already_generated = 0;
    /// Tokens of the whole answer.
    std::uint32_t length = 1;
    int priority = 0;
    /// Continues or repeats what another attempt began.
    bool again = false;
    /// The engine dies when it prefills this.
    bool poison = false;
};

enum class engine_event
{
    token,
    finished,
    /// The connection was reset.
    reset,
};

/// Called with the offset of the token, or the length at the end.
using engine_listener = std::function<void(engine_event, std::uint32_t)>;

class engine_model
{
public:
    engine_model(event_queue& queue, engine_settings settings);

    /// Returns a handle for `cancel`; 0: refused, the engine is dead.
    auto submit(engine_work work, engine_listener listener) -> std::uint64_t;
    void cancel(std::uint64_t handle);

    /// Ends every sequence; `reset`: their listeners hear of it.
    void die(bool reset);
    void pause(duration length);
    /// Makes each step `factor` times as long.
    void slow_down(double factor)
    {
        slowness_ = factor;
    }

    /// True if a new connection would be answered.
    [[nodiscard]] auto answers() const -> bool
    {
        return !dead_ && queue_.now() >= paused_until_;
    }
    [[nodiscard]] auto dead() const -> bool
    {
        return dead_;
    }
    /// Dead, and nothing says so to those who connect.
    [[nodiscard]] auto unreachable() const -> bool
    {
        return dead_ && silent_;
    }
    [[nodiscard]] auto running() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(running_.size());
    }
    [[nodiscard]] auto waiting() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(waiting_.size());
    }
    [[nodiscard]] auto cache() -> prefix_cache&
    {
        return cache_;
    }
    /// Prompt and prefix tokens that were computed, and asked for.
    [[nodiscard]] auto computed_tokens() const -> std::uint64_t
    {
        return computed_;
    }
    [[nodiscard]] auto asked_tokens() const -> std::uint64_t
    {
        return asked_;
    }
    /// Of the computed tokens, those for a further attempt.
    [[nodiscard]] auto recomputed_tokens() const -> std::uint64_t
    {
        return recomputed_;
    }
    /// Tokens generated, also those that nobody read.
    [[nodiscard]] auto generated_tokens() const -> std::uint64_t
    {
        return generated_;
    }
    /// Prefill still to be done for the sequences here.
    [[nodiscard]] auto prefill_backlog() const -> std::uint64_t;

private:
    struct sequence
    {
        std::uint64_t handle;
        engine_work work;
        engine_listener listener;
        std::vector<std::uint64_t> blocks;
        std::uint32_t prefill = 0;
        std::uint32_t offset = 0;
        bool decoding = false;
    };

    void start_step();
    void end_step(std::uint64_t step);
    void fill_batch();
    void begin(sequence& it);
    auto plan_prefill() -> std::uint32_t;
    void emit(std::uint64_t handle);
    void retire(sequence& it);

    event_queue& queue_;
    engine_settings settings_;
    prefix_cache cache_;
    std::list<sequence> running_;
    std::list<sequence> waiting_;
    std::uint64_t next_handle_ = 1;
    std::uint64_t step_ = 0;
    bool stepping_ = false;
    bool dead_ = false;
    bool silent_ = false;
    double slowness_ = 1;
    time_point paused_until_{};
    std::uint64_t computed_ = 0;
    std::uint64_t recomputed_ = 0;
    std::uint64_t asked_ = 0;
    std::uint64_t generated_ = 0;
};

} // namespace primrosedeal::bench
