#include "generation/engine_codec.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace primrosedeal::generation
{

namespace
{

using nlohmann::json;

auto ids_of(std::vector<token_id> const& tokens) -> json
{
    auto list = json::array();
    for (auto const& it : tokens)
    {
        list.push_back(it.value());
    }
    return list;
}

auto decode_chunk(json const& it, attempt_id attempt) -> engine_event
{
    auto chunk = event::chunk{};
    chunk.attempt = attempt;
    chunk.offset = it.at("offset").get<std::uint64_t>();
    for (auto const& token : it.at("tokens"))
    {
        chunk.tokens.emplace_back(token.get<std::uint32_t>());
    }
    for (auto const& encoded : it.at("bytes"))
    {
        auto text = std::string{};
        if (!absl::Base64Unescape(encoded.get_ref<std::string const&>(), &text))
        {
            return malformed_event{"bytes: invalid base64"};
        }
        chunk.bytes.push_back(std::move(text));
    }
    if (chunk.bytes.size() != chunk.tokens.size())
    {
        return malformed_event{"bytes: expected one entry for each token"};
    }
    return chunk;
}

auto decode_object(json const& it, request_id const& request,
                   attempt_id attempt) -> engine_event
{
    auto const same_attempt =
        it.at("request").get_ref<std::string const&>() == request.value() &&
        it.at("attempt").get<std::uint32_t>() == attempt.value();
    if (!same_attempt)
    {
        return malformed_event{
            "the event belongs to another request or attempt"};
    }
    if (it.contains("finish"))
    {
        return event::attempt_finished{attempt,
                                       it.at("offset").get<std::uint64_t>(),
                                       it.at("finish").get<std::string>()};
    }
    return decode_chunk(it, attempt);
}

} // namespace

auto encode_generate(spec const& what, action::start_attempt const& attempt)
    -> std::string
{
    auto const body = json{
        {"request", what.request.value()},
        {"attempt", attempt.attempt.value()},
        {"model", what.selection.model.value()},
        {"version", attempt.version.value()},
        {"adapter", what.selection.adapter.value()},
        {"prompt", ids_of(what.prompt)},
        {"prefix", ids_of(attempt.prefix)},
        {"max_tokens", what.max_tokens.value()},
        {"seed", what.seed},
        {"temperature", what.temperature},
        {"stop", what.stop},
        {"priority", what.priority},
    };
    return body.dump();
}

auto decode_event(std::string_view data, request_id const& request,
                  attempt_id attempt) -> engine_event
{
    try
    {
        return decode_object(json::parse(data), request, attempt);
    }
    catch (json::exception const& e)
    {
        return malformed_event{e.what()};
    }
}

} // namespace primrosedeal::generation
