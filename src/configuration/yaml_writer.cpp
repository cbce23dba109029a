#include "configuration/yaml.hpp"

#include <yaml-cpp/yaml.h>

// The writer goes through the table of fields like the reader, so a field
// added there is read and written. All fields are written, also those that
// hold their built-in default: the file says what governs.
namespace primrosedeal::configuration
{
namespace
{

void write_defaults(YAML::Emitter& out, policy const& it)
{
    out << YAML::Key << "defaults" << YAML::Value << YAML::BeginMap;
    auto group = std::string_view{};
    for (auto const& field : all_fields())
    {
        auto const dot = field.name.find('.');
        if (field.name.substr(0, dot) != group)
        {
            if (!group.empty())
            {
                out << YAML::EndMap;
            }
            group = field.name.substr(0, dot);
            out << YAML::Key << std::string{group} << YAML::Value
                << YAML::BeginMap;
        }
        out << YAML::Key << std::string{field.name.substr(dot + 1)}
            << YAML::Value << format_value(get(field, it));
    }
    out << YAML::EndMap << YAML::EndMap;
}

void write_service(YAML::Emitter& out, service const& it)
{
    out << YAML::Key << it.name.value() << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "kind" << YAML::Value
        << (it.kind == service_kind::engine ? "engine" : "plain");
    out << YAML::Key << "checks_fencing" << YAML::Value << it.checks_fencing;
    if (!it.order_paths.empty())
    {
        out << YAML::Key << "orders" << YAML::Value << YAML::Flow
            << it.order_paths;
    }
    out << YAML::EndMap;
}

void write_model(YAML::Emitter& out, declared_model const& it)
{
    out << YAML::Key << it.name.value() << YAML::Value << YAML::BeginMap;
    out << YAML::Key << "service" << YAML::Value << it.service.value();
    out << YAML::Key << "version" << YAML::Value << YAML::DoubleQuoted
        << it.version.value();
    out << YAML::Key << "adapters" << YAML::Value << YAML::Flow
        << YAML::BeginSeq;
    for (auto const& adapter : it.adapters)
    {
        out << adapter.value();
    }
    out << YAML::EndSeq;
    out << YAML::Key << "replica_floor" << YAML::Value << YAML::Flow
        << YAML::BeginMap;
    for (auto const& [domain, floor] : it.replica_floor)
    {
        out << YAML::Key << domain.value() << YAML::Value << floor;
    }
    out << YAML::EndMap << YAML::EndMap;
}

void write_organisation(YAML::Emitter& out, organisation const& it)
{
    out << YAML::Key << it.name.value() << YAML::Value << YAML::BeginMap
        << YAML::Key << "keys" << YAML::Value << YAML::BeginSeq;
    for (auto const& hash : it.keys)
    {
        out << YAML::DoubleQuoted << format_key_hash(hash);
    }
    out << YAML::EndSeq << YAML::EndMap;
}

void write_scope(YAML::Emitter& out, exception_scope const& it)
{
    out << YAML::Key << "scope" << YAML::Value << YAML::Flow << YAML::BeginMap;
    if (it.organisation)
    {
        out << YAML::Key << "organisation" << YAML::Value
            << it.organisation->value();
    }
    if (it.service)
    {
        out << YAML::Key << "service" << YAML::Value << it.service->value();
    }
    if (it.domain)
    {
        out << YAML::Key << "failure_domain" << YAML::Value
            << it.domain->value();
    }
    out << YAML::EndMap;
}

void write_exception(YAML::Emitter& out, exception_entry const& it)
{
    out << YAML::BeginMap;
    write_scope(out, it.scope);
    out << YAML::Key << "field" << YAML::Value << it.field;
    out << YAML::Key << "value" << YAML::Value << format_value(it.value);
    out << YAML::Key << "reason" << YAML::Value << YAML::DoubleQuoted
        << it.reason;
    out << YAML::Key << "author" << YAML::Value << YAML::DoubleQuoted
        << it.author;
    if (it.expires)
    {
        out << YAML::Key << "expires" << YAML::Value
            << format_wall_time(*it.expires);
    }
    if (it.overrides)
    {
        out << YAML::Key << "overrides" << YAML::Value << true;
    }
    out << YAML::EndMap;
}

template <class Items, class Write>
void write_map(YAML::Emitter& out, char const* key, Items const& items,
               Write write)
{
    out << YAML::Key << key << YAML::Value << YAML::BeginMap;
    for (auto const& it : items)
    {
        write(out, it);
    }
    out << YAML::EndMap;
}

} // namespace

auto write_yaml(document const& it) -> std::string
{
    auto out = YAML::Emitter{};
    out << YAML::BeginMap;
    out << YAML::Key << "revision" << YAML::Value << it.number.value();
    out << YAML::Key << "failure_domains" << YAML::Value << YAML::Flow
        << YAML::BeginSeq;
    for (auto const& domain : it.domains)
    {
        out << domain.value();
    }
    out << YAML::EndSeq;
    write_defaults(out, it.defaults);
    write_map(out, "services", it.services, write_service);
    write_map(out, "models", it.models, write_model);
    write_map(out, "organisations", it.organisations, write_organisation);
    out << YAML::Key << "exceptions" << YAML::Value << YAML::BeginSeq;
    for (auto const& each : it.exceptions)
    {
        write_exception(out, each);
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string{out.c_str()} + "\n";
}

} // namespace primrosedeal::configuration
