#include "external/host_list.hpp"

#include <nlohmann/json.hpp>

// One unreadable entry must not blind a host to all others, so entries are
// judged one by one.
namespace primrosedeal::external
{
namespace
{

using nlohmann::json;

auto text(json const& it, char const* name) -> std::string
{
    auto const found = it.find(name);
    return found != it.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string{};
}

auto number(json const& it, char const* name) -> std::uint64_t
{
    auto const found = it.find(name);
    return found != it.end() && found->is_number_unsigned()
               ? found->get<std::uint64_t>()
               : 0;
}

auto read_target(json const& it) -> std::optional<listed_target>
{
    if (!it.is_object())
    {
        return std::nullopt;
    }
    auto const address = net::parse_endpoint(text(it, "address"));
    auto result = listed_target{};
    result.id = target_id{text(it, "id")};
    result.service = service_id{text(it, "service")};
    result.domain = domain_id{text(it, "domain")};
    if (!address || result.id == target_id{} ||
        result.service == service_id{} || result.domain == domain_id{})
    {
        return std::nullopt;
    }
    result.address = *address;
    result.leaving = text(it, "state") == "leaving";
    result.started = incarnation{number(it, "incarnation")};
    result.model = model_id{text(it, "model")};
    result.version = model_version{text(it, "version")};
    result.slots = static_cast<std::uint32_t>(number(it, "slots"));
    auto const adapters = it.find("adapters");
    if (adapters != it.end() && adapters->is_array())
    {
        for (auto const& each : *adapters)
        {
            if (each.is_string())
            {
                result.adapters.emplace_back(each.get<std::string>());
            }
        }
    }
    return result;
}

auto read_entry_host(json const& it) -> std::optional<listed_host>
{
    if (!it.is_object())
    {
        return std::nullopt;
    }
    auto const address = net::parse_endpoint(text(it, "address"));
    auto const id = host_id{text(it, "id")};
    auto const domain = domain_id{text(it, "domain")};
    if (!address || id == host_id{} || domain == domain_id{})
    {
        return std::nullopt;
    }
    return listed_host{id, *address, domain};
}

template <class Item>
auto read_items(json const& it, char const* name,
                std::optional<Item> (*read)(json const&)) -> std::vector<Item>
{
    auto items = std::vector<Item>{};
    auto const found = it.find(name);
    if (found == it.end() || !found->is_array())
    {
        return items;
    }
    for (auto const& each : *found)
    {
        if (auto item = read(each))
        {
            items.push_back(std::move(*item));
        }
    }
    return items;
}

} // namespace

auto read_host_list(std::string_view body) -> std::optional<host_list>
{
    auto const it = json::parse(body, nullptr, false);
    if (!it.is_object() || !it.contains("version"))
    {
        return std::nullopt;
    }
    return host_list{number(it, "version"),
                     read_items(it, "targets", read_target),
                     read_items(it, "entry_hosts", read_entry_host)};
}

void http_host_list::read(answer_handler<host_list> done)
{
    auto request = net::http_request{};
    request.path = "/hosts";
    auto const on_response = [done](net::http_response const& it)
    {
        auto list = it.status == 200 ? read_host_list(it.body) : std::nullopt;
        if (!list)
        {
            done(call_failure{call_fault::refused, "no readable host list"});
            return;
        }
        done(std::move(*list));
    };
    auto const on_error = [done](net::call_error, bool may_have_sent)
    {
        done(call_failure{may_have_sent ? call_fault::lost
                                        : call_fault::not_sent,
                          "no answer from the host list"});
    };
    call_ =
        net::fetch(loop_, address_, request, timeout_, on_response, on_error);
}

} // namespace primrosedeal::external
