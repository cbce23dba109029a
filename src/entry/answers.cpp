#include "entry/answers.hpp"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace primrosedeal::entry
{

namespace
{

using nlohmann::json;

auto append_tokens(std::string& out, std::vector<token_id> const& tokens)
{
    auto first = true;
    for (auto const& it : tokens)
    {
        out += first ? "" : ",";
        out += std::to_string(it.value());
        first = false;
    }
}

auto hex_digest(std::uint64_t it) -> std::string
{
    return absl::StrFormat("%016x", it);
}

auto whole_seconds(duration it) -> std::int64_t
{
    auto const n = std::chrono::ceil<std::chrono::seconds>(it).count();
    return std::max<std::int64_t>(n, 1);
}

auto failure_json(failure const& it) -> json
{
    return {{"reason", std::string{to_string(it.code)}},
            {"verdict", std::string{to_string(it.ran)}},
            {"message", it.text}};
}

void add_failure(json& to, failure const& it)
{
    to["reason"] = std::string{to_string(it.code)};
    to["verdict"] = std::string{to_string(it.ran)};
    if (it.retry_after)
    {
        to["retry_after_s"] = whole_seconds(*it.retry_after);
    }
}

} // namespace

auto start_event(generation::spec const& what, model_version const& version)
    -> std::string
{
    auto const data = json{{"request", what.request.value()},
                           {"model", what.selection.model.value()},
                           {"version", version.value()},
                           {"seed", what.seed}};
    return "event: start\ndata: " + data.dump() + "\n\n";
}

auto token_event(generation::action::relay const& it) -> std::string
{
    auto out = std::string{"id: "};
    out += std::to_string(it.offset);
    out += "\ndata: {\"tokens\":[";
    append_tokens(out, it.tokens);
    out += "],\"text\":";
    out += json(it.text).dump();
    out += "}\n\n";
    return out;
}

auto end_event(generation::action::finish const& it) -> std::string
{
    auto data = json{{"token_count", it.count.value()},
                     {"digest", hex_digest(it.digest)},
                     {"finish_reason", it.finish_reason}};
    if (it.failed)
    {
        add_failure(data, *it.failed);
    }
    return "event: end\nid: " + std::to_string(it.count.value()) +
           "\ndata: " + data.dump() + "\n\n";
}

auto whole_answer(generation::spec const& what, model_version const& version,
                  std::vector<token_id> const& tokens, std::string const& text,
                  generation::action::finish const& end) -> net::http_response
{
    auto ids = json::array();
    for (auto const& it : tokens)
    {
        ids.push_back(it.value());
    }
    auto body =
        json{{"id", what.request.value()},
             {"object", "text_completion"},
             {"model", what.selection.model.value()},
             {"version", version.value()},
             {"seed", what.seed},
             {"choices", json::array({{{"index", 0},
                                       {"text", text},
                                       {"token_ids", ids},
                                       {"finish_reason", end.finish_reason}}})},
             {"usage",
              {{"prompt_tokens", what.prompt.size()},
               {"completion_tokens", end.count.value()}}},
             {"digest", hex_digest(end.digest)}};
    if (end.failed)
    {
        add_failure(body, *end.failed);
    }
    auto const status = end.failed ? http_status(end.failed->code) : 200;
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

auto error_response(failure const& it) -> net::http_response
{
    auto response = net::http_response{};
    response.status = http_status(it.code);
    response.headers = {{"Content-Type", "application/json"}};
    if (it.retry_after)
    {
        response.headers.push_back(
            {"Retry-After", std::to_string(whole_seconds(*it.retry_after))});
    }
    auto const body = json{{"error", failure_json(it)}};
    response.body =
        body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

} // namespace primrosedeal::entry
