#include "load/api.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

// Error bodies are read leniently: a broken one must not end the run.
namespace primrosedeal::load
{

namespace
{

using nlohmann::json;

auto error_field(std::string_view body, char const* name) -> std::string
{
    auto const it = json::parse(body, nullptr, false);
    if (!it.is_object() || !it.contains("error") || !it["error"].is_object())
    {
        return {};
    }
    auto const found = it["error"].find(name);
    return found != it["error"].end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

} // namespace

auto post(std::string path, std::string const& key, std::string body)
    -> net::http_request
{
    return {net::http_method::post,
            std::move(path),
            {{"Authorization", "Bearer " + key},
             {"Content-Type", "application/json"}},
            std::move(body)};
}

auto get(std::string path, std::string const& key) -> net::http_request
{
    return {net::http_method::get,
            std::move(path),
            {{"Authorization", "Bearer " + key}},
            ""};
}

auto refusal_reason(std::string_view body, int status) -> std::string
{
    auto const reason = error_field(body, "reason");
    return reason.empty() ? "status " + std::to_string(status) : reason;
}

auto refusal_verdict(std::string_view body) -> std::string
{
    auto const verdict = error_field(body, "verdict");
    return verdict.empty() ? "may_have_run" : verdict;
}

auto retry_delay(load_options const& options, std::uint32_t n) -> duration
{
    constexpr std::uint32_t most_factor = 10;
    return options.reconnect_delay * std::min(n, most_factor);
}

} // namespace primrosedeal::load
