#include "external/etcd_json.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

// The gateway leaves out members that hold their zero value, so each reader
// takes an absent member for zero. Numbers may come as text or as numbers.
namespace primrosedeal::external::etcd
{
namespace
{

using nlohmann::json;

auto parse(std::string_view text) -> std::optional<json>
{
    auto it = json::parse(text, nullptr, false);
    if (!it.is_object() || it.contains("error"))
    {
        return std::nullopt;
    }
    return it;
}

auto member(json const& it, char const* name) -> json const&
{
    static auto const absent = json::object();
    auto const found = it.find(name);
    return found == it.end() ? absent : *found;
}

auto number(json const& it, char const* name) -> std::int64_t
{
    auto const& value = member(it, name);
    if (value.is_number_integer())
    {
        return value.get<std::int64_t>();
    }
    auto result = std::int64_t{0};
    if (value.is_string())
    {
        auto const& text = value.get_ref<std::string const&>();
        std::from_chars(text.data(), text.data() + text.size(), result);
    }
    return result;
}

auto bytes(json const& it, char const* name) -> std::string
{
    auto const& value = member(it, name);
    return value.is_string()
               ? decode_base64(value.get_ref<std::string const&>()).value_or("")
               : std::string{};
}

auto flag(json const& it, char const* name) -> bool
{
    auto const& value = member(it, name);
    return value.is_boolean() && value.get<bool>();
}

auto revision_of(json const& answer) -> store_revision
{
    return store_revision{number(member(answer, "header"), "revision")};
}

auto read_value(json const& it) -> stored_value
{
    return {bytes(it, "key"), bytes(it, "value"),
            store_revision{number(it, "mod_revision")},
            store_revision{number(it, "create_revision")},
            lease_id{number(it, "lease")}};
}

auto read_values(json const& it) -> std::vector<stored_value>
{
    auto values = std::vector<stored_value>{};
    for (auto const& each : member(it, "kvs"))
    {
        values.push_back(read_value(each));
    }
    return values;
}

auto range_json(range_request const& it) -> json
{
    auto result = json{{"key", encode_base64(it.key)}};
    if (!it.range_end.empty())
    {
        result["range_end"] = encode_base64(it.range_end);
    }
    if (it.keys_only)
    {
        result["keys_only"] = true;
    }
    return result;
}

auto to_json(unchanged_since const& it) -> json
{
    return {{"key", encode_base64(it.key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(it.modified.value())}};
}

auto to_json(exists const& it) -> json
{
    return {{"key", encode_base64(it.key)},
            {"target", "CREATE"},
            {"result", "GREATER"},
            {"create_revision", "0"}};
}

auto to_json(put const& it) -> json
{
    auto body = json{{"key", encode_base64(it.key)},
                     {"value", encode_base64(it.value)}};
    if (it.lease != lease_id{})
    {
        body["lease"] = std::to_string(it.lease.value());
    }
    return {{"request_put", std::move(body)}};
}

auto to_json(erase const& it) -> json
{
    return {{"request_delete_range", {{"key", encode_base64(it.key)}}}};
}

template <class Variants>
auto list_json(Variants const& items) -> json
{
    auto list = json::array();
    for (auto const& it : items)
    {
        list.push_back(
            std::visit([](auto const& each) { return to_json(each); }, it));
    }
    return list;
}

} // namespace

auto encode_base64(std::string_view bytes) -> std::string
{
    auto text = std::string(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    reinterpret_cast<unsigned char const*>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

auto decode_base64(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 4 != 0)
    {
        return std::nullopt;
    }
    auto bytes = std::string(text.size() / 4 * 3, '\0');
    auto const n =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()),
                        static_cast<int>(text.size()));
    if (n < 0)
    {
        return std::nullopt;
    }
    auto const padding = text.ends_with("==") ? 2U : text.ends_with('=');
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

auto write_range(range_request const& it) -> std::string
{
    return range_json(it).dump();
}

auto write_transaction(transaction const& it) -> std::string
{
    auto otherwise = json::array();
    for (auto const& key : it.read_otherwise)
    {
        otherwise.push_back({{"request_range", {{"key", encode_base64(key)}}}});
    }
    return json{{"compare", list_json(it.conditions)},
                {"success", list_json(it.then)},
                {"failure", std::move(otherwise)}}
        .dump();
}

auto write_lease_grant(lease_id id, std::chrono::seconds ttl) -> std::string
{
    return json{{"ID", std::to_string(id.value())},
                {"TTL", std::to_string(ttl.count())}}
        .dump();
}

auto write_lease(lease_id id) -> std::string
{
    return json{{"ID", std::to_string(id.value())}}.dump();
}

auto write_watch(range_request const& it, store_revision from) -> std::string
{
    auto request = range_json(it);
    request["start_revision"] = std::to_string(from.value());
    return json{{"create_request", std::move(request)}}.dump();
}

auto read_range(std::string_view text) -> std::optional<range_result>
{
    auto const it = parse(text);
    if (!it || !it->contains("header"))
    {
        return std::nullopt;
    }
    return range_result{revision_of(*it), read_values(*it)};
}

auto read_transaction(std::string_view text)
    -> std::optional<transaction_result>
{
    auto const it = parse(text);
    if (!it || !it->contains("header"))
    {
        return std::nullopt;
    }
    auto result =
        transaction_result{flag(*it, "succeeded"), revision_of(*it), {}};
    for (auto const& response : member(*it, "responses"))
    {
        for (auto& value : read_values(member(response, "response_range")))
        {
            result.values.push_back(std::move(value));
        }
    }
    return result;
}

auto read_lease(std::string_view text) -> std::optional<lease_grant>
{
    auto const it = parse(text);
    if (!it)
    {
        return std::nullopt;
    }
    auto const& body = it->contains("result") ? member(*it, "result") : *it;
    return lease_grant{lease_id{number(body, "ID")},
                       std::chrono::seconds{number(body, "TTL")}};
}

auto read_watch_line(std::string_view line) -> std::optional<watch_line>
{
    auto const it = json::parse(line, nullptr, false);
    if (!it.is_object())
    {
        return std::nullopt;
    }
    auto result = watch_line{};
    if (it.contains("error"))
    {
        result.ended = it["error"].dump();
        return result;
    }
    auto const& body = member(it, "result");
    result.opened = flag(body, "created");
    if (flag(body, "canceled"))
    {
        result.ended = "canceled " + member(body, "cancel_reason").dump();
    }
    for (auto const& event : member(body, "events"))
    {
        auto value = read_value(member(event, "kv"));
        auto const& type = member(event, "type");
        auto const removed = type == "DELETE";
        auto key = value.key;
        result.events.push_back(
            {std::move(key),
             removed ? std::nullopt : std::optional{std::move(value)}});
    }
    return result;
}

} // namespace primrosedeal::external::etcd
