#include "serve/order_forward.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

// Bodies are carried as base64: a target's answer need not be UTF-8.
namespace primrosedeal::serve
{

namespace
{

using nlohmann::json;

auto decode(json const& from, char const* key) -> std::string
{
    auto text = std::string{};
    if (!absl::Base64Unescape(from.at(key).get<std::string>(), &text))
    {
        throw std::invalid_argument{"base64 was expected"};
    }
    return text;
}

auto reason_of(std::string const& text) -> std::optional<reason>
{
    for (auto i = 0; i <= static_cast<int>(reason::internal_error); ++i)
    {
        if (text == to_string(static_cast<reason>(i)))
        {
            return static_cast<reason>(i);
        }
    }
    return std::nullopt;
}

auto verdict_of(std::string const& text) -> verdict
{
    for (auto const it : {verdict::not_run, verdict::ran})
    {
        if (text == to_string(it))
        {
            return it;
        }
    }
    return verdict::may_have_run;
}

/// Runs `read` on the parsed text; nothing if it is not what was expected.
template <class Read>
auto guarded(std::string_view text, Read read)
    -> std::optional<decltype(read(json{}))>
{
    try
    {
        return read(json::parse(text));
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace

auto write_handed_order(handed_order const& it) -> std::string
{
    return json{{"host", it.owner.host.value()},
                {"incarnation", it.owner.start.value()},
                {"organisation", it.key.organisation.value()},
                {"key", it.key.text},
                {"service", it.call.service.value()},
                {"path", it.call.path},
                {"content_type", it.call.content_type},
                {"body", absl::Base64Escape(it.call.body)},
                {"remaining_us", it.remaining.count()},
                {"repeat", it.repeat}}
        .dump();
}

auto read_handed_order(std::string_view text) -> std::optional<handed_order>
{
    return guarded(
        text,
        [](json const& from)
        {
            auto it = handed_order{};
            it.owner.host = host_id{from.at("host").get<std::string>()};
            it.owner.start =
                incarnation{from.at("incarnation").get<std::uint64_t>()};
            it.key.organisation =
                organisation_id{from.at("organisation").get<std::string>()};
            it.key.text = from.at("key").get<std::string>();
            it.call.service = service_id{from.at("service").get<std::string>()};
            it.call.path = from.at("path").get<std::string>();
            it.call.content_type = from.at("content_type").get<std::string>();
            it.call.body = decode(from, "body");
            it.remaining =
                duration{from.at("remaining_us").get<std::int64_t>()};
            it.repeat = from.at("repeat").get<bool>();
            return it;
        });
}

auto write_reply(order::reply const& it) -> std::string
{
    auto body = json{{"verdict", std::string{to_string(it.ran)}},
                     {"status", it.status},
                     {"body", absl::Base64Escape(it.body)},
                     {"body_dropped", it.body_dropped}};
    if (it.code)
    {
        body["reason"] = std::string{to_string(*it.code)};
    }
    if (it.retry_after)
    {
        body["retry_after_us"] = it.retry_after->count();
    }
    return body.dump();
}

auto read_reply(std::string_view text) -> std::optional<order::reply>
{
    return guarded(
        text,
        [](json const& from)
        {
            auto it = order::reply{};
            it.ran = verdict_of(from.at("verdict").get<std::string>());
            it.status = from.at("status").get<int>();
            it.body = decode(from, "body");
            it.body_dropped = from.at("body_dropped").get<bool>();
            if (from.contains("reason"))
            {
                it.code = reason_of(from.at("reason").get<std::string>())
                              .value_or(reason::internal_error);
            }
            if (from.contains("retry_after_us"))
            {
                it.retry_after =
                    duration{from.at("retry_after_us").get<std::int64_t>()};
            }
            return it;
        });
}

} // namespace primrosedeal::serve
