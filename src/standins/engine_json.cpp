#include "standins/engine_json.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

// Chunks are written by hand, since they are the bulk of what an engine
// sends; everything else goes through the library.
namespace primrosedeal::standins
{

namespace
{

using nlohmann::json;

auto base64(std::string_view bytes) -> std::string
{
    constexpr auto in_group = 3;
    constexpr auto out_group = 4;
    auto text = std::string(
        (bytes.size() + in_group - 1) / in_group * out_group + 1, '\0');
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* const out = reinterpret_cast<unsigned char*>(text.data());
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* const in = reinterpret_cast<unsigned char const*>(bytes.data());
    auto const n = EVP_EncodeBlock(out, in, static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

auto to_tokens(json const& it) -> token_list
{
    auto tokens = token_list{};
    for (auto const& id : it)
    {
        tokens.emplace_back(id.get<std::uint32_t>());
    }
    return tokens;
}

auto event_head(generate_call const& call, std::uint64_t offset) -> std::string
{
    return "data: {\"request\":" + json(call.request).dump() +
           ",\"attempt\":" + std::to_string(call.attempt) +
           ",\"offset\":" + std::to_string(offset);
}

auto models_json(std::vector<loaded_model> const& models) -> json
{
    auto list = json::array();
    for (auto const& it : models)
    {
        auto adapters = json::array();
        for (auto const& adapter : it.adapters)
        {
            adapters.push_back(adapter.value());
        }
        list.push_back({{"model", it.model.value()},
                        {"version", it.version.value()},
                        {"adapters", adapters}});
    }
    return list;
}

} // namespace

auto parse_generate(std::string_view text) -> std::optional<generate_call>
try
{
    auto const body = json::parse(text);
    auto it = generate_call{};
    it.request = body.at("request").get<std::string>();
    it.attempt = body.at("attempt").get<std::uint32_t>();
    auto& generation = it.body.generation;
    generation.model = model_id{body.at("model").get<std::string>()};
    generation.version = model_version{body.at("version").get<std::string>()};
    generation.adapter = adapter_id{body.value("adapter", "")};
    generation.prompt = to_tokens(body.at("prompt"));
    generation.seed = body.value("seed", std::uint64_t{0});
    generation.max_tokens = body.at("max_tokens").get<std::uint64_t>();
    generation.stop = body.value("stop", std::vector<std::string>{});
    it.body.prefix = to_tokens(body.value("prefix", json::array()));
    it.body.priority = body.value("priority", 0);
    return it;
}
catch (json::exception const&)
{
    return std::nullopt;
}

auto parse_order(std::string_view text) -> std::optional<engine_order>
try
{
    auto const body = json::parse(text);
    auto const kind = parse_order_kind(body.at("order").get<std::string>());
    if (!kind)
    {
        return std::nullopt;
    }
    auto it = engine_order{};
    it.kind = *kind;
    it.model = model_id{body.value("model", "")};
    it.version = model_version{body.value("version", "")};
    it.adapter = adapter_id{body.value("adapter", "")};
    it.role = body.value("role", "");
    it.fencing = body.value("fencing", std::uint64_t{0});
    return it;
}
catch (json::exception const&)
{
    return std::nullopt;
}

auto chunk_event(generate_call const& call, engine_output const& output,
                 std::uint64_t offset) -> std::string
{
    auto text = event_head(call, offset) + ",\"tokens\":[";
    for (auto const& it : output.tokens)
    {
        text.append(std::to_string(it.id.value())).push_back(',');
    }
    text.back() = ']';
    text.append(",\"bytes\":[");
    for (auto const& it : output.tokens)
    {
        text.append("\"").append(base64(it.bytes)).append("\",");
    }
    text.back() = ']';
    return text + "}\n\n";
}

auto finish_event(generate_call const& call, std::uint64_t count,
                  finish_reason why) -> std::string
{
    return event_head(call, count) + ",\"finish\":\"" +
           std::string{to_string(why)} + "\"}\n\n";
}

auto load_body(engine_load const& load, incarnation started, std::size_t slots)
    -> std::string
{
    return json{{"incarnation", started.value()},    {"running", load.running},
                {"waiting", load.waiting},           {"slots", slots},
                {"leaving", load.leaving},           {"role", load.role},
                {"models", models_json(load.models)}}
        .dump();
}

auto state_body(engine_state const& state) -> std::string
{
    auto const load = state.load();
    auto const totals = state.totals();
    return json{{"incarnation", state.started().value()},
                {"role", load.role},
                {"leaving", load.leaving},
                {"models", models_json(load.models)},
                {"highest_fencing", state.highest_fencing()},
                {"cached_blocks", state.cache().size()},
                {"requests", totals.requests},
                {"tokens", totals.tokens},
                {"prefilled_tokens", totals.prefilled_tokens},
                {"recomputed_tokens", totals.recomputed_tokens}}
        .dump();
}

auto cache_events_body(std::vector<cache_event> const& events,
                       std::uint64_t since) -> std::string
{
    auto list = json::array();
    auto next = since;
    for (auto const& it : events)
    {
        auto const* const kind =
            it.what == cache_event::kind::stored ? "stored" : "evicted";
        list.push_back({{"seq", it.sequence},
                        {"kind", kind},
                        {"block", to_hex(it.block)}});
        next = it.sequence + 1;
    }
    return json{{"events", list}, {"next", next}}.dump();
}

auto error_body(std::string_view text) -> std::string
{
    return json{{"error", text}}.dump();
}

} // namespace primrosedeal::standins
