#include "standins/key_value_json.hpp"

#include "external/etcd_json.hpp"

#include <nlohmann/json.hpp>

// Numbers are printed as text and zero members left out, as the gateway does.
namespace primrosedeal::standins
{

namespace
{

using external::etcd::decode_base64;
using external::etcd::encode_base64;
using nlohmann::json;

auto number(json const& it, char const* name) -> std::int64_t
{
    auto const found = it.find(name);
    if (found == it.end())
    {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>())
                              : found->get<std::int64_t>();
}

auto bytes(json const& it, char const* name) -> std::string
{
    return decode_base64(it.value(name, "")).value();
}

auto to_keys(json const& it) -> key_range
{
    return {bytes(it, "key"), bytes(it, "range_end")};
}

auto to_range(json const& it) -> range_operation
{
    return {to_keys(it), it.value("keys_only", false)};
}

auto to_put(json const& it) -> put_operation
{
    return {bytes(it, "key"), bytes(it, "value"),
            lease_id{number(it, "lease")}};
}

auto to_delete(json const& it) -> delete_operation
{
    return {to_keys(it)};
}

auto to_operations(json const& list) -> std::vector<store_operation>
{
    auto operations = std::vector<store_operation>{};
    for (auto const& it : list)
    {
        if (it.contains("request_range"))
        {
            operations.emplace_back(to_range(it["request_range"]));
        }
        else if (it.contains("request_put"))
        {
            operations.emplace_back(to_put(it["request_put"]));
        }
        else
        {
            operations.emplace_back(to_delete(it.at("request_delete_range")));
        }
    }
    return operations;
}

auto to_result(std::string const& text) -> compare_result
{
    if (text == "GREATER")
    {
        return compare_result::greater;
    }
    if (text == "LESS")
    {
        return compare_result::less;
    }
    return text == "NOT_EQUAL" ? compare_result::not_equal
                               : compare_result::equal;
}

auto to_compare(json const& it) -> compare
{
    auto result = compare{};
    result.key = bytes(it, "key");
    result.result = to_result(it.value("result", "EQUAL"));
    auto const target = it.value("target", "VERSION");
    if (target == "VALUE")
    {
        result.target = compare_target::value;
        result.value = bytes(it, "value");
    }
    else if (target == "MOD")
    {
        result.target = compare_target::modified;
        result.number = number(it, "mod_revision");
    }
    else if (target == "CREATE")
    {
        result.target = compare_target::created;
        result.number = number(it, "create_revision");
    }
    else
    {
        result.target = compare_target::version;
        result.number = number(it, "version");
    }
    return result;
}

template <class Result, class Read>
auto parse(std::string_view body, Read read) -> std::optional<Result>
{
    try
    {
        return read(json::parse(body));
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

auto header(store_revision at) -> json
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"revision", std::to_string(at.value())},
            {"raft_term", "1"}};
}

auto with_header(json it, store_revision at) -> json
{
    it["header"] = header(at);
    return it;
}

auto value_json(stored_value const& it) -> json
{
    auto result = json{{"key", encode_base64(it.key)},
                       {"mod_revision", std::to_string(it.modified.value())}};
    if (!it.value.empty())
    {
        result["value"] = encode_base64(it.value);
    }
    if (it.created.value() != 0)
    {
        result["create_revision"] = std::to_string(it.created.value());
    }
    if (it.lease != lease_id{})
    {
        result["lease"] = std::to_string(it.lease.value());
    }
    return result;
}

auto range_json(std::vector<stored_value> const& values) -> json
{
    auto result = json::object();
    for (auto const& it : values)
    {
        result["kvs"].push_back(value_json(it));
    }
    if (!values.empty())
    {
        result["count"] = std::to_string(values.size());
    }
    return result;
}

auto delete_json(std::int64_t deleted) -> json
{
    auto result = json::object();
    if (deleted != 0)
    {
        result["deleted"] = std::to_string(deleted);
    }
    return result;
}

struct outcome_writer
{
    store_revision at;

    auto operator()(range_outcome const& it) const -> json
    {
        return {{"response_range", with_header(range_json(it.values), at)}};
    }

    auto operator()(put_outcome const&) const -> json
    {
        return {{"response_put", with_header(json::object(), at)}};
    }

    auto operator()(delete_outcome const& it) const -> json
    {
        return {{"response_delete_range",
                 with_header(delete_json(it.deleted), at)}};
    }
};

auto lease_json(lease_request const& it) -> json
{
    auto result = json{{"ID", std::to_string(it.id.value())}};
    if (it.ttl.count() != 0)
    {
        result["TTL"] = std::to_string(it.ttl.count());
    }
    return result;
}

} // namespace

auto parse_range(std::string_view body) -> std::optional<range_operation>
{
    return parse<range_operation>(body, to_range);
}

auto parse_put(std::string_view body) -> std::optional<put_operation>
{
    return parse<put_operation>(body, to_put);
}

auto parse_delete(std::string_view body) -> std::optional<delete_operation>
{
    return parse<delete_operation>(body, to_delete);
}

auto parse_transaction(std::string_view body)
    -> std::optional<store_transaction>
{
    auto const read = [](json const& it)
    {
        auto result = store_transaction{};
        for (auto const& each : it.value("compare", json::array()))
        {
            result.compares.push_back(to_compare(each));
        }
        result.success = to_operations(it.value("success", json::array()));
        result.failure = to_operations(it.value("failure", json::array()));
        return result;
    };
    return parse<store_transaction>(body, read);
}

auto parse_lease(std::string_view body) -> std::optional<lease_request>
{
    auto const read = [](json const& it)
    {
        return lease_request{lease_id{number(it, "ID")},
                             std::chrono::seconds{number(it, "TTL")}};
    };
    return parse<lease_request>(body, read);
}

auto parse_watch(std::string_view body) -> std::optional<watch_request>
{
    auto const read = [](json const& it)
    {
        auto const& request = it.at("create_request");
        return watch_request{to_keys(request),
                             store_revision{number(request, "start_revision")}};
    };
    return parse<watch_request>(body, read);
}

auto range_body(std::vector<stored_value> const& values, store_revision at)
    -> std::string
{
    return with_header(range_json(values), at).dump();
}

auto put_body(store_revision at) -> std::string
{
    return with_header(json::object(), at).dump();
}

auto delete_body(std::int64_t deleted, store_revision at) -> std::string
{
    return with_header(delete_json(deleted), at).dump();
}

auto transaction_body(transaction_outcome const& it, store_revision at)
    -> std::string
{
    auto result = json::object();
    if (it.succeeded)
    {
        result["succeeded"] = true;
    }
    for (auto const& each : it.outcomes)
    {
        result["responses"].push_back(std::visit(outcome_writer{at}, each));
    }
    return with_header(std::move(result), at).dump();
}

auto lease_body(lease_request const& it, store_revision at) -> std::string
{
    return with_header(lease_json(it), at).dump();
}

auto keep_alive_body(lease_request const& it, store_revision at) -> std::string
{
    return json{{"result", with_header(lease_json(it), at)}}.dump() + "\n";
}

auto watch_created_line(store_revision at) -> std::string
{
    return json{{"result", with_header({{"created", true}}, at)}}.dump() + "\n";
}

auto watch_line(std::vector<store_event> const& events, store_revision at)
    -> std::string
{
    auto list = json::array();
    for (auto const& it : events)
    {
        auto event = json{{"kv", value_json(it.value)}};
        if (it.deleted)
        {
            event["type"] = "DELETE";
        }
        list.push_back(std::move(event));
    }
    return json{{"result", with_header({{"events", list}}, at)}}.dump() + "\n";
}

} // namespace primrosedeal::standins
