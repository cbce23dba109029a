#include "configuration/yaml.hpp"
#include "configuration/yaml_reader.hpp"

// One function for each section of the file; each collects its findings and
// goes on with what it could read.
namespace primrosedeal::configuration
{
namespace
{

constexpr auto max_replica_floor = 10'000U;

} // namespace

void yaml_reader::read_service(std::string const& key, YAML::Node const& it)
{
    auto const index = document_.services.size();
    remember(section::services, index, "", line_of(it));
    auto entry = service{};
    entry.name = service_id{key};
    if (!is_name(key))
    {
        fail(it, key, name_text);
    }
    auto has_kind = false;
    auto const member = [&](std::string const& part, YAML::Node const& value)
    {
        remember(section::services, index, part, line_of(value));
        if (part == "kind")
        {
            has_kind = true;
            auto const kind = text(value, part);
            if (kind && *kind != "engine" && *kind != "plain")
            {
                fail(value, part, "engine or plain");
            }
            entry.kind =
                kind == "engine" ? service_kind::engine : service_kind::plain;
        }
        else if (part == "checks_fencing")
        {
            entry.checks_fencing = flag(value, part);
        }
        else if (part == "orders")
        {
            auto const add = [&](YAML::Node const& node)
            {
                entry.order_paths.push_back(path(node));
            };
            each_of_list(value, part, add);
        }
        else
        {
            unknown(value, part);
        }
    };
    each(it, key, member);
    if (!has_kind)
    {
        fail(it, key + ".kind", "engine or plain");
    }
    document_.services.push_back(std::move(entry));
}

void yaml_reader::read_floor(declared_model& to, YAML::Node const& it)
{
    auto const add = [&](std::string const& key, YAML::Node const& value)
    {
        auto floor = 0U;
        if (!value.IsScalar() ||
            !YAML::convert<unsigned>::decode(value, floor) ||
            floor > max_replica_floor)
        {
            fail(value, "replica_floor." + key,
                 "a whole number from 0 to " +
                     std::to_string(max_replica_floor));
        }
        to.replica_floor.emplace(domain_id{key}, floor);
    };
    each(it, "replica_floor", add);
}

void yaml_reader::read_model(std::string const& key, YAML::Node const& it)
{
    auto const index = document_.models.size();
    remember(section::models, index, "", line_of(it));
    auto entry = declared_model{};
    entry.name = model_id{key};
    if (!is_name(key))
    {
        fail(it, key, name_text);
    }
    auto const member = [&](std::string const& part, YAML::Node const& value)
    {
        remember(section::models, index, part, line_of(value));
        if (part == "service")
        {
            entry.service = service_id{name(value, part)};
        }
        else if (part == "version")
        {
            entry.version = model_version{name(value, part)};
        }
        else if (part == "adapters")
        {
            auto const add = [&](YAML::Node const& node)
            {
                entry.adapters.emplace_back(name(node, "adapters"));
            };
            each_of_list(value, part, add);
        }
        else if (part == "replica_floor")
        {
            read_floor(entry, value);
        }
        else
        {
            unknown(value, part);
        }
    };
    each(it, key, member);
    if (entry.version.value().empty())
    {
        fail(it, key + ".version", name_text);
    }
    document_.models.push_back(std::move(entry));
}

void yaml_reader::read_organisation(std::string const& key,
                                    YAML::Node const& it)
{
    remember(section::organisations, document_.organisations.size(), "",
             line_of(it));
    auto entry = organisation{organisation_id{key}, {}};
    if (!is_name(key))
    {
        fail(it, key, name_text);
    }
    auto const add = [&](YAML::Node const& node)
    {
        auto const written = text(node, "keys");
        auto const hash = written ? parse_key_hash(*written) : std::nullopt;
        if (written && !hash)
        {
            fail(node, "keys", "SHA-256 as 64 lower-case hexadecimal digits");
        }
        entry.keys.push_back(hash.value_or(key_hash{}));
    };
    auto const member = [&](std::string const& part, YAML::Node const& value)
    {
        if (part != "keys")
        {
            unknown(value, part);
            return;
        }
        each_of_list(value, part, add);
    };
    each(it, key, member);
    document_.organisations.push_back(std::move(entry));
}

void yaml_reader::read_scope(exception_scope& to, YAML::Node const& it)
{
    auto const index = document_.exceptions.size();
    auto const member = [&](std::string const& part, YAML::Node const& value)
    {
        remember(section::exceptions, index, "scope." + part, line_of(value));
        if (part == "service")
        {
            to.service = service_id{name(value, part)};
        }
        else if (part == "organisation")
        {
            to.organisation = organisation_id{name(value, part)};
        }
        else if (part == "failure_domain")
        {
            to.domain = domain_id{name(value, part)};
        }
        else
        {
            unknown(value, part);
        }
    };
    each(it, "scope", member);
}

void yaml_reader::read_value(exception_entry& to, YAML::Node const& value)
{
    auto const* known = find_field(to.field);
    auto const written = text(value, "value");
    if (known == nullptr || !written)
    {
        return;
    }
    auto const parsed = parse_value(*known, *written);
    if (!parsed)
    {
        fail(value, "value", expected(*known));
        return;
    }
    to.value = *parsed;
}

void yaml_reader::read_exception(YAML::Node const& it)
{
    auto const index = document_.exceptions.size();
    remember(section::exceptions, index, "", line_of(it));
    auto entry = exception_entry{};
    auto value_node = std::optional<YAML::Node>{};
    auto const member = [&](std::string const& part, YAML::Node const& value)
    {
        remember(section::exceptions, index, part, line_of(value));
        if (part == "scope")
        {
            read_scope(entry.scope, value);
        }
        else if (part == "value")
        {
            value_node.emplace(value);
        }
        else if (part == "overrides")
        {
            entry.overrides = flag(value, part);
        }
        else if (part == "field" || part == "reason" || part == "author" ||
                 part == "expires")
        {
            auto const written = text(value, part).value_or("");
            if (written.size() > max_text_bytes)
            {
                fail(value, part,
                     "at most " + std::to_string(max_text_bytes) + " bytes");
            }
            if (part == "field")
            {
                entry.field = written;
            }
            else if (part == "reason")
            {
                entry.reason = written;
            }
            else if (part == "author")
            {
                entry.author = written;
            }
            else
            {
                entry.expires = parse_wall_time(written);
                if (!entry.expires)
                {
                    fail(value, part, "a time such as 2027-01-31T00:00:00Z");
                }
            }
        }
        else
        {
            unknown(value, part);
        }
    };
    each(it, "exceptions", member);
    if (find_field(entry.field) == nullptr)
    {
        fail(it, "field", "the name of a field of the defaults");
        return;
    }
    if (!value_node)
    {
        fail(it, "value", expected(*find_field(entry.field)));
        return;
    }
    read_value(entry, *value_node);
    document_.exceptions.push_back(std::move(entry));
}

} // namespace primrosedeal::configuration
