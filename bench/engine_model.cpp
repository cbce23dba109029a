#include "engine_model.hpp"

#include "core/random.hpp"

#include <algorithm>

// A step takes a fixed time, a little for each sequence that decodes, and the
// time of the prefill chunk that shares it. Each decoding sequence gets one
// token a step; a sequence whose prefill ends in a step gets its first there.
// Listeners may submit and cancel from inside, so a step collects the handles
// first and looks each up again.

namespace primrosedeal::bench
{

namespace
{

/// Blocks of prompt and generated tokens, named by the request's key.
auto blocks_of(engine_work const& work, std::uint32_t generated)
    -> std::vector<std::uint64_t>
{
    auto all = *work.prompt;
    for (auto n = 0U; n < generated / tokens_per_block; ++n)
    {
        all.push_back(mix64(work.key ^ mix64(n + 1)));
    }
    return all;
}

} // namespace

engine_model::engine_model(event_queue& queue, engine_settings settings)
    : queue_(queue), settings_(settings), cache_(settings.cache_blocks)
{
}

auto engine_model::submit(engine_work work, engine_listener listener)
    -> std::uint64_t
{
    if (dead_)
    {
        return 0;
    }
    auto const handle = next_handle_++;
    auto it = sequence{};
    it.handle = handle;
    it.work = std::move(work);
    it.listener = std::move(listener);
    it.offset = it.work.already_generated;
    auto const where =
        std::ranges::find_if(waiting_, [&](sequence const& each)
                             { return each.work.priority < it.work.priority; });
    waiting_.insert(where, std::move(it));
    if (!stepping_)
    {
        start_step();
    }
    return handle;
}

void engine_model::cancel(std::uint64_t handle)
{
    std::erase_if(waiting_,
                  [&](sequence const& it) { return it.handle == handle; });
    auto const it = std::ranges::find(running_, handle, &sequence::handle);
    if (it != running_.end())
    {
        retire(*it);
        running_.erase(it);
    }
}

void engine_model::retire(sequence& it)
{
    if (it.decoding)
    {
        cache_.store(blocks_of(it.work, it.offset));
    }
}

void engine_model::die(bool reset)
{
    dead_ = true;
    silent_ = !reset;
    ++step_;
    stepping_ = false;
    cache_.clear();
    auto lost = std::move(running_);
    lost.splice(lost.end(), waiting_);
    running_.clear();
    waiting_.clear();
    for (auto const& it : lost)
    {
        if (reset)
        {
            it.listener(engine_event::reset, it.offset);
        }
    }
}

void engine_model::pause(duration length)
{
    paused_until_ = queue_.now() + length;
}

auto engine_model::prefill_backlog() const -> std::uint64_t
{
    auto sum = std::uint64_t{0};
    for (auto const& it : running_)
    {
        sum += it.prefill;
    }
    for (auto const& it : waiting_)
    {
        sum += it.work.prompt->size() * tokens_per_block;
    }
    return sum;
}

void engine_model::begin(sequence& it)
{
    it.blocks = blocks_of(it.work, it.work.already_generated);
    auto const all =
        static_cast<std::uint32_t>(it.blocks.size()) * tokens_per_block;
    auto const held =
        static_cast<std::uint32_t>(cache_.match(it.blocks)) * tokens_per_block;
    it.prefill = std::max(all - held, 1U);
    asked_ += all;
    computed_ += all - held;
    recomputed_ += it.work.again ? all - held : 0;
}

void engine_model::fill_batch()
{
    while (!waiting_.empty() && running_.size() < settings_.slots)
    {
        running_.splice(running_.end(), waiting_, waiting_.begin());
        begin(running_.back());
    }
}

auto engine_model::plan_prefill() -> std::uint32_t
{
    auto cold = std::vector<sequence*>{};
    for (auto& it : running_)
    {
        if (!it.decoding)
        {
            cold.push_back(&it);
        }
    }
    std::ranges::stable_sort(cold, std::greater<>{},
                             [](sequence const* it)
                             { return it->work.priority; });
    auto left = settings_.prefill_chunk;
    for (auto* it : cold)
    {
        auto const part = std::min(it->prefill, left);
        it->prefill -= part;
        left -= part;
    }
    return settings_.prefill_chunk - left;
}

void engine_model::start_step()
{
    fill_batch();
    stepping_ = !running_.empty();
    if (!stepping_)
    {
        return;
    }
    auto const decoding = std::ranges::count_if(running_, [](sequence const& it)
                                                { return it.decoding; });
    auto const prefilled = plan_prefill();
    auto const prefill_time =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            prefilled / settings_.prefill_tokens_per_second));
    auto const plain = settings_.step_base +
                       settings_.step_per_sequence * decoding + prefill_time;
    auto const length = std::chrono::duration_cast<duration>(plain * slowness_);
    auto const step = ++step_;
    queue_.after(length, [this, step] { end_step(step); });
}

void engine_model::end_step(std::uint64_t step)
{
    if (step != step_)
    {
        return;
    }
    if (queue_.now() < paused_until_)
    {
        queue_.at(paused_until_, [this, step] { end_step(step); });
        return;
    }
    auto ready = std::vector<std::uint64_t>{};
    for (auto const& it : running_)
    {
        if (it.prefill == 0)
        {
            ready.push_back(it.handle);
        }
    }
    for (auto const handle : ready)
    {
        emit(handle);
        if (dead_)
        {
            return;
        }
    }
    start_step();
}

void engine_model::emit(std::uint64_t handle)
{
    auto const it = std::ranges::find(running_, handle, &sequence::handle);
    if (it == running_.end())
    {
        return;
    }
    if (it->work.poison)
    {
        die(true);
        return;
    }
    if (!it->decoding)
    {
        it->decoding = true;
        cache_.store(it->blocks);
    }
    ++generated_;
    auto const offset = it->offset++;
    auto const ended = it->offset >= it->work.length;
    auto const listener = it->listener;
    if (ended)
    {
        retire(*it);
        running_.erase(it);
    }
    listener(engine_event::token, offset);
    if (ended)
    {
        listener(engine_event::finished, offset + 1);
    }
}

} // namespace primrosedeal::bench
