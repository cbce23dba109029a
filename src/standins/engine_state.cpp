#include "standins/engine_state.hpp"

#include <algorithm>
#include <utility>

// One step clock for the whole batch: at each step every running stream whose
// prefill is over gives its tokens. `advance` replays the steps that became
// due, each at its own time, so a late call gives the same output as many
// timely ones.
namespace primrosedeal::standins
{

auto to_string(engine_refusal it) -> std::string_view
{
    switch (it)
    {
    case engine_refusal::leaving:
        return "leaving";
    case engine_refusal::overloaded:
        return "overloaded";
    case engine_refusal::loading:
        return "loading";
    case engine_refusal::unknown_model:
        return "unknown_model";
    }
    return "unknown_model";
}

auto parse_order_kind(std::string_view text) -> std::optional<order_kind>
{
    constexpr std::pair<std::string_view, order_kind> names[] = {
        {"load_model", order_kind::load_model},
        {"unload_model", order_kind::unload_model},
        {"load_adapter", order_kind::load_adapter},
        {"set_version", order_kind::set_version},
        {"set_role", order_kind::set_role},
    };
    for (auto const& [name, kind] : names)
    {
        if (name == text)
        {
            return kind;
        }
    }
    return std::nullopt;
}

engine_state::engine_state(engine_settings settings)
    : settings_(std::move(settings)), cache_(settings_.cache_blocks)
{
}

auto engine_state::find_model(model_id const& model) -> loaded_model*
{
    auto const it =
        std::find_if(settings_.models.begin(), settings_.models.end(),
                     [&](auto const& loaded) { return loaded.model == model; });
    return it == settings_.models.end() ? nullptr : &*it;
}

auto engine_state::refusal(generation_request const& it, time_point now)
    -> std::optional<engine_refusal>
{
    if (leaving_)
    {
        return engine_refusal::leaving;
    }
    auto const* const loaded = find_model(it.model);
    if (loaded == nullptr || loaded->version != it.version ||
        (!it.adapter.value().empty() && !loaded->adapters.contains(it.adapter)))
    {
        return engine_refusal::unknown_model;
    }
    if (loaded->ready_at > now)
    {
        return engine_refusal::loading;
    }
    if (running_.size() >= settings_.slots &&
        waiting_.size() >= settings_.max_waiting)
    {
        return engine_refusal::overloaded;
    }
    return std::nullopt;
}

auto engine_state::submit(engine_request const& request, time_point now)
    -> std::variant<stream_key, engine_refusal>
{
    if (auto const why = refusal(request.generation, now))
    {
        return *why;
    }
    auto const key = stream_key{next_key_++};
    ++totals_.requests;
    waiting_.emplace(key, request);
    start_waiting(now);
    return key;
}

void engine_state::cancel(stream_key key, time_point now)
{
    waiting_.erase(key);
    running_.erase(key);
    start_waiting(now);
}

void engine_state::start_waiting(time_point now)
{
    while (!waiting_.empty() && running_.size() < settings_.slots)
    {
        auto const first =
            std::max_element(waiting_.begin(), waiting_.end(),
                             [](auto const& a, auto const& b)
                             { return a.second.priority < b.second.priority; });
        auto const key = first->first;
        auto& request = first->second;
        auto tokens = token_stream{request.generation, request.prefix};
        auto it =
            stream{std::move(request), std::move(tokens), now, token_list{}, 0};
        waiting_.erase(first);
        prefill(it, now);
        running_.emplace(key, std::move(it));
    }
    if (!running_.empty() && !next_step_)
    {
        next_step_ = now + settings_.token_gap * slowness_;
    }
}

void engine_state::prefill(stream& it, time_point now)
{
    auto all = it.request.generation.prompt;
    auto const prompt_size = all.size();
    all.insert(all.end(), it.request.prefix.begin(), it.request.prefix.end());
    auto const chain = block_hashes(all);
    auto const cached = cache_.match(chain) * block_tokens;
    auto const computed = all.size() - cached;
    totals_.prefilled_tokens += computed;
    totals_.recomputed_tokens += all.size() - std::max(cached, prompt_size);
    constexpr auto per = 1000;
    it.ready_at =
        now + settings_.prefill_per_1000 * static_cast<int>(computed) / per;
    for (auto const& block : chain)
    {
        cache_.touch(block, now);
    }
    it.last_block = chain.empty() ? 0 : chain.back();
    auto const rest = std::span{all}.subspan(chain.size() * block_tokens);
    it.open_block.assign(rest.begin(), rest.end());
}

void engine_state::note_token(stream& it, token_id token, time_point now)
{
    ++totals_.tokens;
    it.open_block.push_back(token);
    if (it.open_block.size() == block_tokens)
    {
        it.last_block = block_hash(it.last_block, it.open_block);
        it.open_block.clear();
        cache_.touch(it.last_block, now);
    }
}

auto engine_state::step_stream(stream_key key, stream& it, time_point now)
    -> engine_output
{
    auto output = engine_output{key, it.tokens.count(), {}, std::nullopt};
    while (!it.tokens.finished() &&
           output.tokens.size() < settings_.tokens_per_step)
    {
        output.tokens.push_back(it.tokens.next());
        note_token(it, output.tokens.back().id, now);
    }
    output.finish = it.tokens.finished();
    return output;
}

void engine_state::step(time_point now, std::vector<engine_output>& outputs)
{
    for (auto it = running_.begin(); it != running_.end();)
    {
        if (it->second.ready_at > now)
        {
            ++it;
            continue;
        }
        outputs.push_back(step_stream(it->first, it->second, now));
        it = outputs.back().finish ? running_.erase(it) : std::next(it);
    }
    next_step_ = running_.empty()
                     ? std::nullopt
                     : std::optional{now + settings_.token_gap * slowness_};
    start_waiting(now);
}

auto engine_state::advance(time_point now) -> std::vector<engine_output>
{
    auto outputs = std::vector<engine_output>{};
    while (next_step_ && *next_step_ <= now)
    {
        step(*next_step_, outputs);
    }
    return outputs;
}

auto engine_state::next_due() const -> std::optional<time_point>
{
    return next_step_;
}

void engine_state::postpone(duration by)
{
    if (next_step_)
    {
        *next_step_ += by;
    }
    for (auto& [key, it] : running_)
    {
        it.ready_at += by;
    }
}

void engine_state::restart(time_point now)
{
    running_.clear();
    waiting_.clear();
    next_step_.reset();
    cache_.clear(now);
    settings_.started = incarnation{settings_.started.value() + 1};
    leaving_ = false;
}

auto engine_state::order(engine_order const& it, time_point now) -> order_result
{
    if (settings_.checks_fencing && it.fencing < highest_fencing_)
    {
        return order_result::old_fencing_number;
    }
    highest_fencing_ = std::max(highest_fencing_, it.fencing);
    switch (it.kind)
    {
    case order_kind::set_role:
        role_ = it.role;
        return order_result::done;
    case order_kind::unload_model:
        std::erase_if(settings_.models, [&](auto const& loaded)
                      { return loaded.model == it.model; });
        return order_result::done;
    case order_kind::load_model:
    case order_kind::load_adapter:
    case order_kind::set_version:
        return start_loading(it, now);
    }
    return order_result::done;
}

auto engine_state::start_loading(engine_order const& it, time_point now)
    -> order_result
{
    auto* loaded = find_model(it.model);
    auto const adapter_done =
        it.adapter.value().empty() ||
        (loaded != nullptr && loaded->adapters.contains(it.adapter));
    auto const version_done =
        loaded != nullptr &&
        (it.version.value().empty() || loaded->version == it.version);
    if (adapter_done && version_done)
    {
        return loaded->ready_at > now ? order_result::loading
                                      : order_result::done;
    }
    if (loaded == nullptr)
    {
        loaded = &settings_.models.emplace_back();
        loaded->model = it.model;
    }
    if (!version_done)
    {
        loaded->version = it.version;
    }
    if (!it.adapter.value().empty())
    {
        loaded->adapters.insert(it.adapter);
    }
    loaded->ready_at = now + settings_.load_time;
    return order_result::loading;
}

auto engine_state::load() const -> engine_load
{
    return {running_.size(), waiting_.size(), leaving_, role_,
            settings_.models};
}

} // namespace primrosedeal::standins
