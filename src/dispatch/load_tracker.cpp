#include "dispatch/load_tracker.hpp"

namespace primrosedeal::dispatch
{

namespace
{

auto total_tokens(work_size const& it) -> std::uint64_t
{
    return it.prompt.value() + it.output.value();
}

} // namespace

void load_tracker::sent(target_id const& id, work_size const& it)
{
    ++change_count_;
    auto& load = loads_[id];
    ++load.requests;
    load.pending_prefill_tokens += it.prompt.value();
    load.memory_tokens += total_tokens(it);
}

void load_tracker::prefilled(target_id const& id, work_size const& it)
{
    ++change_count_;
    loads_[id].pending_prefill_tokens -= it.prompt.value();
}

void load_tracker::ended(target_id const& id, work_size const& it,
                         bool was_prefilled)
{
    ++change_count_;
    auto& load = loads_[id];
    --load.requests;
    load.pending_prefill_tokens -= was_prefilled ? 0 : it.prompt.value();
    load.memory_tokens -= total_tokens(it);
    if (load.requests == 0 && load.memory_tokens == 0)
    {
        loads_.erase(id);
    }
}

void load_tracker::copy_added(target_id const& id, work_size const& it)
{
    ++change_count_;
    loads_[id].memory_tokens += total_tokens(it);
}

void load_tracker::copy_dropped(target_id const& id, work_size const& it)
{
    ++change_count_;
    auto& load = loads_[id];
    load.memory_tokens -= total_tokens(it);
    if (load.requests == 0 && load.memory_tokens == 0)
    {
        loads_.erase(id);
    }
}

auto load_tracker::at_target(target_id const& id) const -> target_load
{
    auto const it = loads_.find(id);
    return it == loads_.end() ? target_load{} : it->second;
}

} // namespace primrosedeal::dispatch
