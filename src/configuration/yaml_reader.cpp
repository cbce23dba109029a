#include "configuration/yaml_reader.hpp"

#include "configuration/yaml.hpp"

#include <algorithm>

// The reader walks the file once and collects findings instead of stopping at
// the first. It remembers the line of each key, so that findings of `check`,
// which knows no lines, can be placed too.
namespace primrosedeal::configuration
{
namespace
{

constexpr auto max_name_bytes = std::size_t{64};

} // namespace

auto line_of(YAML::Node const& it) -> int
{
    return it.Mark().line + 1;
}

auto is_name(std::string const& it) -> bool
{
    auto const fits = [](char ch)
    {
        return (ch >= 'a' && ch <= 'z') || (ch >= 'A' && ch <= 'Z') ||
               (ch >= '0' && ch <= '9') || ch == '-' || ch == '_' || ch == '.';
    };
    return !it.empty() && it.size() <= max_name_bytes &&
           std::ranges::all_of(it, fits);
}

void yaml_reader::each(YAML::Node const& it, std::string const& name,
                       visitor const& visit)
{
    if (!it.IsMap())
    {
        fail(it, name, "a map");
        return;
    }
    auto seen = std::set<std::string>{};
    for (auto const& entry : it)
    {
        auto const key = text(entry.first, name);
        if (!key)
        {
            continue;
        }
        if (!seen.insert(*key).second)
        {
            fail(entry.first, *key, "each key once");
            continue;
        }
        visit(*key, entry.second);
    }
}

void yaml_reader::each_of_list(
    YAML::Node const& it, std::string const& name,
    std::function<void(YAML::Node const&)> const& visit)
{
    if (!it.IsSequence())
    {
        fail(it, name, "a list");
        return;
    }
    for (auto const& entry : it)
    {
        visit(entry);
    }
}

auto yaml_reader::text(YAML::Node const& it, std::string const& key)
    -> std::optional<std::string>
{
    if (!it.IsScalar())
    {
        fail(it, key, "a single value");
        return std::nullopt;
    }
    return it.Scalar();
}

auto yaml_reader::name(YAML::Node const& it, std::string const& key)
    -> std::string
{
    auto const value = text(it, key);
    if (value && !is_name(*value))
    {
        fail(it, key, name_text);
    }
    return value.value_or("");
}

auto yaml_reader::flag(YAML::Node const& it, std::string const& key) -> bool
{
    auto const value = text(it, key);
    if (value && *value != "true" && *value != "false")
    {
        fail(it, key, "true or false");
    }
    return value == "true";
}

auto yaml_reader::path(YAML::Node const& it) -> std::string
{
    auto const value = text(it, "orders");
    if (value && (!value->starts_with('/') || value->size() > max_text_bytes))
    {
        fail(it, "orders", "a path that begins with '/'");
    }
    return value.value_or("");
}

void yaml_reader::read_revision(YAML::Node const& it)
{
    auto const value = text(it, "revision");
    auto number = std::uint64_t{0};
    if (value && !YAML::convert<std::uint64_t>::decode(it, number))
    {
        fail(it, "revision", "the revision that this file was taken from");
    }
    document_.number = revision{number};
}

void yaml_reader::read_domains(YAML::Node const& it)
{
    remember(section::defaults, 0, "failure_domains", line_of(it));
    auto const add = [&](YAML::Node const& entry)
    {
        document_.domains.emplace_back(name(entry, "failure_domains"));
    };
    each_of_list(it, "failure_domains", add);
}

void yaml_reader::read_defaults(YAML::Node const& it)
{
    auto const group = [&](std::string const& key, YAML::Node const& value)
    {
        auto const prefix = key + ".";
        auto const known = [&](field const& f)
        {
            return f.name.starts_with(prefix);
        };
        if (std::ranges::none_of(all_fields(), known))
        {
            unknown(value, key);
            return;
        }
        auto const entry = [&](std::string const& rest, YAML::Node const& node)
        {
            read_default(prefix + rest, node);
        };
        each(value, key, entry);
    };
    each(it, "defaults", group);
}

void yaml_reader::read_default(std::string const& key, YAML::Node const& it)
{
    remember(section::defaults, 0, key, line_of(it));
    auto const* known = find_field(key);
    if (known == nullptr)
    {
        unknown(it, key);
        return;
    }
    auto const written = text(it, key);
    if (!written)
    {
        return;
    }
    auto const value = parse_value(*known, *written);
    if (!value)
    {
        fail(it, key, expected(*known));
        return;
    }
    set(*known, document_.defaults, *value);
}

void yaml_reader::place(finding const& it)
{
    auto found = lines_.find({it.where, it.index, it.key});
    if (found == lines_.end())
    {
        found = lines_.find({it.where, it.index, ""});
    }
    fail_at(found == lines_.end() ? 1 : found->second, it.key, it.text);
}

auto yaml_reader::read(YAML::Node const& root) -> document
{
    auto const member = [&](std::string const& key, YAML::Node const& value)
    {
        auto const named = [&](auto visit)
        {
            each(value, key,
                 [&](std::string const& name, YAML::Node const& node)
                 { (this->*visit)(name, node); });
        };
        if (key == "revision")
        {
            read_revision(value);
        }
        else if (key == "failure_domains")
        {
            read_domains(value);
        }
        else if (key == "defaults")
        {
            read_defaults(value);
        }
        else if (key == "services")
        {
            named(&yaml_reader::read_service);
        }
        else if (key == "models")
        {
            named(&yaml_reader::read_model);
        }
        else if (key == "organisations")
        {
            named(&yaml_reader::read_organisation);
        }
        else if (key == "exceptions")
        {
            each_of_list(value, key,
                         [&](YAML::Node const& node) { read_exception(node); });
        }
        else
        {
            unknown(value, key);
        }
    };
    each(root, "document", member);
    if (findings_.empty())
    {
        for (auto const& it : check(document_))
        {
            place(it);
        }
    }
    if (!findings_.empty())
    {
        auto lines = std::vector<std::string>{};
        for (auto const& [line, text] : findings_)
        {
            lines.push_back(file_ + ":" + std::to_string(line) + ": " + text);
        }
        throw yaml_error{std::move(lines)};
    }
    return std::move(document_);
}

} // namespace primrosedeal::configuration
