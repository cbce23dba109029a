#include "dispatch/load_book.hpp"

namespace primrosedeal::dispatch
{

namespace
{

auto total_tokens(work_size const& it) -> std::uint64_t
{
    return it.prompt.value() + it.output.value();
}

} // namespace

void load_book::sent(target_id const& id, work_size const& it)
{
    ++changes_;
    auto& load = loads_[id];
    ++load.requests;
    load.unread_tokens += it.prompt.value();
    load.memory_tokens += total_tokens(it);
}

void load_book::began(target_id const& id, work_size const& it)
{
    ++changes_;
    loads_[id].unread_tokens -= it.prompt.value();
}

void load_book::ended(target_id const& id, work_size const& it, bool began)
{
    ++changes_;
    auto& load = loads_[id];
    --load.requests;
    load.unread_tokens -= began ? 0 : it.prompt.value();
    load.memory_tokens -= total_tokens(it);
    if (load.requests == 0 && load.memory_tokens == 0)
    {
        loads_.erase(id);
    }
}

void load_book::copy_added(target_id const& id, work_size const& it)
{
    ++changes_;
    loads_[id].memory_tokens += total_tokens(it);
}

void load_book::copy_dropped(target_id const& id, work_size const& it)
{
    ++changes_;
    auto& load = loads_[id];
    load.memory_tokens -= total_tokens(it);
    if (load.requests == 0 && load.memory_tokens == 0)
    {
        loads_.erase(id);
    }
}

auto load_book::of(target_id const& id) const -> target_load
{
    auto const it = loads_.find(id);
    return it == loads_.end() ? target_load{} : it->second;
}

} // namespace primrosedeal::dispatch
