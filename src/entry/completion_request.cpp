#include "entry/completion_request.hpp"

#include "core/verdict.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

// Unknown keys are refused: a setting that is silently ignored would give the
// caller another generation than the one asked for.
namespace primrosedeal::entry
{

namespace
{

using nlohmann::json;

[[noreturn]] void expected(std::string_view key, std::string_view what)
{
    refuse(reason::malformed_request,
           std::string{key} + ": " + std::string{what} + " was expected");
}

constexpr auto known_keys = std::array<std::string_view, 14>{
    "model",       "version",       "adapter", "prompt", "max_tokens",
    "seed",        "temperature",   "stop",    "stream", "priority",
    "deadline_ms", "resume_tokens", "n",       "user"};

/// Depth and size are bounded before the parser builds anything deep.
auto parse_object(std::string_view body) -> json
{
    constexpr auto max_depth = 8;
    auto const shallow = [](int depth, json::parse_event_t, json&)
    {
        if (depth > max_depth)
        {
            refuse(reason::malformed_request,
                   "body: nested deeper than any known key needs");
        }
        return true;
    };
    // The parser would stop at a NUL and ignore what follows.
    if (body.find('\0') != std::string_view::npos)
    {
        refuse(reason::malformed_request,
               "body: text without NUL was expected");
    }
    try
    {
        auto it = json::parse(body, shallow);
        if (!it.is_object())
        {
            expected("body", "a JSON object");
        }
        return it;
    }
    catch (json::exception const& e)
    {
        refuse(reason::malformed_request, std::string{"body: "} + e.what());
    }
}

void check_keys(json const& body)
{
    for (auto const& it : body.items())
    {
        auto const known = std::find(known_keys.begin(), known_keys.end(),
                                     it.key()) != known_keys.end();
        if (!known)
        {
            refuse(reason::unsupported_field, it.key() + ": unknown key");
        }
    }
}

auto read_name(json const& body, char const* key, std::size_t max_bytes)
    -> std::string
{
    auto const it = body.find(key);
    if (it == body.end())
    {
        return {};
    }
    if (!it->is_string())
    {
        expected(key, "a string");
    }
    auto name = it->get<std::string>();
    auto const control = [](char c)
    {
        return static_cast<unsigned char>(c) < 0x20U;
    };
    if (name.size() > max_bytes ||
        std::any_of(name.begin(), name.end(), control))
    {
        expected(key, "at most " + std::to_string(max_bytes) +
                          " bytes without control characters");
    }
    return name;
}

auto read_unsigned(json const& it, std::string_view key, std::uint64_t max)
    -> std::uint64_t
{
    if (!it.is_number_unsigned() || it.get<std::uint64_t>() > max)
    {
        expected(key, "a whole number from 0 to " + std::to_string(max));
    }
    return it.get<std::uint64_t>();
}

auto read_tokens(json const& body, char const* key, std::size_t max)
    -> std::vector<token_id>
{
    auto const it = body.find(key);
    if (it == body.end())
    {
        return {};
    }
    if (!it->is_array())
    {
        expected(key, "an array of token ids");
    }
    if (it->size() > max)
    {
        refuse(reason::prompt_too_long, std::string{key} + ": at most " +
                                            std::to_string(max) +
                                            " tokens were expected");
    }
    constexpr auto max_id = std::numeric_limits<std::uint32_t>::max();
    auto tokens = std::vector<token_id>{};
    tokens.reserve(it->size());
    for (auto const& value : *it)
    {
        tokens.emplace_back(
            static_cast<std::uint32_t>(read_unsigned(value, key, max_id)));
    }
    return tokens;
}

auto read_stop(json const& body, request_bounds const& bounds)
    -> std::vector<std::string>
{
    auto const it = body.find("stop");
    if (it == body.end())
    {
        return {};
    }
    auto const list = it->is_string() ? json::array({*it}) : *it;
    if (!list.is_array() || list.size() > bounds.max_stop_sequences)
    {
        expected("stop", "a string or at most " +
                             std::to_string(bounds.max_stop_sequences) +
                             " strings");
    }
    auto stop = std::vector<std::string>{};
    for (auto const& value : list)
    {
        if (!value.is_string() || value.get_ref<std::string const&>().empty() ||
            value.get_ref<std::string const&>().size() > bounds.max_stop_bytes)
        {
            expected("stop", "strings of 1 to " +
                                 std::to_string(bounds.max_stop_bytes) +
                                 " bytes");
        }
        stop.push_back(value.get<std::string>());
    }
    return stop;
}

auto read_priority(json const& body) -> std::optional<priority>
{
    auto const text = read_name(body, "priority", 16);
    if (text.empty())
    {
        return std::nullopt;
    }
    for (auto const it : {priority::low, priority::normal, priority::high})
    {
        if (text == to_string(it))
        {
            return it;
        }
    }
    expected("priority", "low, normal or high");
}

auto read_temperature(json const& body) -> double
{
    auto const it = body.find("temperature");
    if (it == body.end())
    {
        return 0.0;
    }
    constexpr auto hottest = 10.0;
    if (!it->is_number() || it->get<double>() < 0.0 ||
        it->get<double>() > hottest)
    {
        expected("temperature", "a number from 0 to 10");
    }
    return it->get<double>();
}

auto read_stream(json const& body) -> bool
{
    auto const it = body.find("stream");
    if (it == body.end())
    {
        return false;
    }
    if (!it->is_boolean())
    {
        expected("stream", "true or false");
    }
    return it->get<bool>();
}

void check_resume(completion_request const& it)
{
    if (it.resume_tokens.empty())
    {
        return;
    }
    if (it.version.value().empty() || !it.seed)
    {
        expected("resume_tokens",
                 "the version and seed of the start event beside them");
    }
    if (it.resume_tokens.size() > it.max_tokens.value())
    {
        expected("resume_tokens", "at most max_tokens tokens");
    }
}

void read_numbers(completion_request& to, json const& body,
                  request_bounds const& bounds)
{
    constexpr auto longest_ms = std::uint64_t{3'600'000};
    constexpr auto any = std::numeric_limits<std::uint64_t>::max();
    if (auto const it = body.find("max_tokens"); it != body.end())
    {
        to.max_tokens = token_count{
            read_unsigned(*it, "max_tokens", bounds.max_output_tokens)};
    }
    if (auto const it = body.find("seed"); it != body.end())
    {
        to.seed = read_unsigned(*it, "seed", any);
    }
    if (auto const it = body.find("deadline_ms"); it != body.end())
    {
        to.deadline = std::chrono::milliseconds{
            read_unsigned(*it, "deadline_ms", longest_ms)};
    }
    if (auto const it = body.find("n");
        it != body.end() && read_unsigned(*it, "n", 1) != 1)
    {
        expected("n", "1");
    }
}

} // namespace

auto to_string(priority it) -> std::string_view
{
    switch (it)
    {
    case priority::low:
        return "low";
    case priority::normal:
        return "normal";
    case priority::high:
        return "high";
    }
    return "normal";
}

auto parse_completion(std::string_view body, request_bounds const& bounds)
    -> completion_request
{
    constexpr auto default_max_tokens = std::uint64_t{16};
    auto const object = parse_object(body);
    check_keys(object);
    auto it = completion_request{};
    auto const name = [&](char const* key)
    {
        return read_name(object, key, bounds.max_name_bytes);
    };
    it.model = model_id{name("model")};
    it.version = model_version{name("version")};
    it.adapter = adapter_id{name("adapter")};
    if (it.model.value().empty())
    {
        expected("model", "the name of a model");
    }
    it.prompt = read_tokens(object, "prompt", bounds.max_prompt_tokens);
    if (it.prompt.empty())
    {
        expected("prompt", "an array of at least one token id");
    }
    it.max_tokens = token_count{default_max_tokens};
    read_numbers(it, object, bounds);
    it.temperature = read_temperature(object);
    it.stop = read_stop(object, bounds);
    it.stream = read_stream(object);
    it.urgency = read_priority(object);
    it.resume_tokens =
        read_tokens(object, "resume_tokens", bounds.max_output_tokens);
    check_resume(it);
    return it;
}

} // namespace primrosedeal::entry
