#include "configuration/cells.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

// Cells of one value hold its text; cells of a group hold JSON with short
// member names, since they are stored and sent to every host. The key of an
// exception is its scope and field, so that two operators who add the same
// one meet in one cell and conflict there.
namespace primrosedeal::configuration
{
namespace
{

using nlohmann::json;

constexpr auto defaults_prefix = std::string_view{"defaults."};
constexpr auto service_prefix = std::string_view{"service."};
constexpr auto model_prefix = std::string_view{"model."};
constexpr auto organisation_prefix = std::string_view{"organisation."};
constexpr auto exception_prefix = std::string_view{"exception."};
constexpr auto domains_name = "domains";

auto join(std::string_view prefix, std::string const& name) -> std::string
{
    return std::string{prefix} + name;
}

auto split(std::string const& text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>{};
    auto from = std::size_t{0};
    while (from < text.size())
    {
        auto const to = std::min(text.find(' ', from), text.size());
        parts.push_back(text.substr(from, to - from));
        from = to + 1;
    }
    return parts;
}

auto write(service const& it) -> std::string
{
    return json{{"kind", it.kind == service_kind::engine ? "engine" : "plain"},
                {"fencing", it.checks_fencing},
                {"orders", it.order_paths}}
        .dump();
}

auto read_service(std::string const& name, json const& it) -> service
{
    return {service_id{name},
            it.at("kind") == "engine" ? service_kind::engine
                                      : service_kind::plain,
            it.value("fencing", false),
            it.value("orders", std::vector<std::string>{})};
}

auto write(declared_model const& it) -> std::string
{
    auto adapters = json::array();
    for (auto const& each : it.adapters)
    {
        adapters.push_back(each.value());
    }
    auto floors = json::object();
    for (auto const& [domain, floor] : it.replica_floor)
    {
        floors[domain.value()] = floor;
    }
    return json{{"service", it.service.value()},
                {"version", it.version.value()},
                {"adapters", std::move(adapters)},
                {"floor", std::move(floors)}}
        .dump();
}

auto read_model(std::string const& name, json const& it) -> declared_model
{
    auto result = declared_model{};
    result.name = model_id{name};
    result.service = service_id{it.at("service").get<std::string>()};
    result.version = model_version{it.at("version").get<std::string>()};
    for (auto const& each : it.value("adapters", std::vector<std::string>{}))
    {
        result.adapters.emplace_back(each);
    }
    auto const floors =
        it.value("floor", std::map<std::string, std::uint32_t>{});
    for (auto const& [domain, floor] : floors)
    {
        result.replica_floor.emplace(domain_id{domain}, floor);
    }
    return result;
}

auto write(organisation const& it) -> std::string
{
    auto text = std::string{};
    for (auto const& hash : it.keys)
    {
        text += (text.empty() ? "" : " ") + format_key_hash(hash);
    }
    return text;
}

auto read_organisation(std::string const& name, std::string const& text)
    -> organisation
{
    auto result = organisation{organisation_id{name}, {}};
    for (auto const& part : split(text))
    {
        auto const hash = parse_key_hash(part);
        if (!hash)
        {
            throw std::runtime_error("organisation " + name + ": no key hash");
        }
        result.keys.push_back(*hash);
    }
    return result;
}

auto exception_key(exception_entry const& it) -> std::string
{
    auto const& scope = it.scope;
    auto key = std::string{};
    if (scope.organisation)
    {
        key += "organisation=" + scope.organisation->value() + ",";
    }
    if (scope.service)
    {
        key += "service=" + scope.service->value() + ",";
    }
    if (scope.domain)
    {
        key += "domain=" + scope.domain->value() + ",";
    }
    if (!key.empty())
    {
        key.pop_back();
    }
    return key + "/" + it.field;
}

auto write(exception_entry const& it) -> std::string
{
    auto result = json{{"field", it.field},
                       {"value", format_value(it.value)},
                       {"reason", it.reason},
                       {"author", it.author}};
    if (it.scope.organisation)
    {
        result["organisation"] = it.scope.organisation->value();
    }
    if (it.scope.service)
    {
        result["service"] = it.scope.service->value();
    }
    if (it.scope.domain)
    {
        result["domain"] = it.scope.domain->value();
    }
    if (it.expires)
    {
        result["expires"] = it.expires->time_since_epoch().count();
    }
    if (it.overrides)
    {
        result["overrides"] = true;
    }
    return result.dump();
}

template <class Id>
auto read_id(json const& it, char const* name) -> std::optional<Id>
{
    auto const found = it.find(name);
    return found == it.end() ? std::nullopt
                             : std::optional{Id{found->get<std::string>()}};
}

/// Nothing for a field that only a later release knows.
auto read_exception(json const& it) -> std::optional<exception_entry>
{
    auto result = exception_entry{};
    result.field = it.at("field").get<std::string>();
    auto const* known = find_field(result.field);
    if (known == nullptr)
    {
        return std::nullopt;
    }
    auto const value = parse_value(*known, it.at("value").get<std::string>());
    if (!value)
    {
        return std::nullopt;
    }
    result.value = *value;
    result.reason = it.at("reason").get<std::string>();
    result.author = it.at("author").get<std::string>();
    result.scope = {read_id<organisation_id>(it, "organisation"),
                    read_id<service_id>(it, "service"),
                    read_id<domain_id>(it, "domain")};
    if (it.contains("expires"))
    {
        result.expires =
            wall_time{std::chrono::seconds{it["expires"].get<std::int64_t>()}};
    }
    result.overrides = it.value("overrides", false);
    return result;
}

void read_default(document& to, std::string const& name,
                  std::string const& text)
{
    auto const* known = find_field(name);
    auto const value = known ? parse_value(*known, text) : std::nullopt;
    if (value)
    {
        set(*known, to.defaults, *value);
    }
}

void read_cell(document& to, std::string const& name, std::string const& text)
{
    auto const rest = [&](std::string_view prefix)
    {
        return name.substr(prefix.size());
    };
    if (name.starts_with(defaults_prefix))
    {
        read_default(to, rest(defaults_prefix), text);
    }
    else if (name.starts_with(service_prefix))
    {
        to.services.push_back(
            read_service(rest(service_prefix), json::parse(text)));
    }
    else if (name.starts_with(model_prefix))
    {
        to.models.push_back(read_model(rest(model_prefix), json::parse(text)));
    }
    else if (name.starts_with(organisation_prefix))
    {
        to.organisations.push_back(
            read_organisation(rest(organisation_prefix), text));
    }
    else if (name.starts_with(exception_prefix))
    {
        if (auto entry = read_exception(json::parse(text)))
        {
            to.exceptions.push_back(std::move(*entry));
        }
    }
    else if (name == domains_name)
    {
        for (auto const& part : split(text))
        {
            to.domains.emplace_back(part);
        }
    }
}

} // namespace

auto to_cells(document const& it) -> cells
{
    auto result = cells{};
    for (auto const& field : all_fields())
    {
        result.emplace(join(defaults_prefix, std::string{field.name}),
                       format_value(get(field, it.defaults)));
    }
    auto domains = std::string{};
    for (auto const& each : it.domains)
    {
        domains += (domains.empty() ? "" : " ") + each.value();
    }
    result.emplace(domains_name, domains);
    for (auto const& each : it.services)
    {
        result.emplace(join(service_prefix, each.name.value()), write(each));
    }
    for (auto const& each : it.models)
    {
        result.emplace(join(model_prefix, each.name.value()), write(each));
    }
    for (auto const& each : it.organisations)
    {
        result.emplace(join(organisation_prefix, each.name.value()),
                       write(each));
    }
    for (auto const& each : it.exceptions)
    {
        result.emplace(join(exception_prefix, exception_key(each)),
                       write(each));
    }
    return result;
}

auto from_cells(cells const& it) -> document
{
    auto result = document{};
    for (auto const& [name, text] : it)
    {
        try
        {
            read_cell(result, name, text);
        }
        catch (json::exception const& ex)
        {
            throw std::runtime_error(name + ": " + ex.what());
        }
    }
    return result;
}

} // namespace primrosedeal::configuration
