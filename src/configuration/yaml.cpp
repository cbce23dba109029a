#include "configuration/yaml.hpp"

#include "configuration/check.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <set>
#include <tuple>
#include <yaml-cpp/yaml.h>

// The reader walks the file once and collects findings instead of stopping at
// the first. It remembers the line of each key, so that findings of `check`,
// which knows no lines, can be placed too.
namespace primrosedeal::configuration
{
namespace
{

constexpr auto max_name_bytes = std::size_t{64};
constexpr auto max_text_bytes = std::size_t{400};
constexpr auto max_replica_floor = 10'000U;

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

constexpr auto name_text = "a name of up to 64 letters, digits, '-', '_', '.'";

class reader
{
public:
    explicit reader(std::string_view file) : file_(file) {}

    auto read(YAML::Node const& root) -> document;

private:
    using visitor =
        std::function<void(std::string const& key, YAML::Node const& value)>;

    void fail(YAML::Node const& at, std::string const& key,
              std::string const& text)
    {
        fail_at(line_of(at), key, text);
    }

    void fail_at(int line, std::string const& key, std::string const& text)
    {
        findings_.emplace(line, key + ": expected " + text);
    }

    void unknown(YAML::Node const& at, std::string const& key)
    {
        fail(at, key, "no such key here");
    }

    /// Calls `visit` for each entry of the map `it`.
    void each(YAML::Node const& it, std::string const& name,
              visitor const& visit);
    void each_of_list(YAML::Node const& it, std::string const& name,
                      std::function<void(YAML::Node const&)> const& visit);
    /// A scalar's text, or nothing and a finding.
    auto text(YAML::Node const& it, std::string const& key)
        -> std::optional<std::string>;
    auto name(YAML::Node const& it, std::string const& key) -> std::string;
    auto flag(YAML::Node const& it, std::string const& key) -> bool;
    auto path(YAML::Node const& it) -> std::string;

    void read_revision(YAML::Node const& it);
    void read_domains(YAML::Node const& it);
    void read_defaults(YAML::Node const& it);
    void read_default(std::string const& key, YAML::Node const& it);
    void read_service(std::string const& key, YAML::Node const& it);
    void read_model(std::string const& key, YAML::Node const& it);
    void read_floor(declared_model& to, YAML::Node const& it);
    void read_organisation(std::string const& key, YAML::Node const& it);
    void read_exception(YAML::Node const& it);
    void read_scope(exception_scope& to, YAML::Node const& it);
    void read_value(exception_entry& to, YAML::Node const& value);

    void remember(section where, std::size_t index, std::string const& key,
                  int line)
    {
        lines_.emplace(std::tuple{where, index, key}, line);
    }
    void place(finding const& it);

    std::string file_;
    document document_;
    std::set<std::pair<int, std::string>> findings_;
    std::map<std::tuple<section, std::size_t, std::string>, int> lines_;
};

void reader::each(YAML::Node const& it, std::string const& name,
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

void reader::each_of_list(YAML::Node const& it, std::string const& name,
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

auto reader::text(YAML::Node const& it, std::string const& key)
    -> std::optional<std::string>
{
    if (!it.IsScalar())
    {
        fail(it, key, "a single value");
        return std::nullopt;
    }
    return it.Scalar();
}

auto reader::name(YAML::Node const& it, std::string const& key) -> std::string
{
    auto const value = text(it, key);
    if (value && !is_name(*value))
    {
        fail(it, key, name_text);
    }
    return value.value_or("");
}

auto reader::flag(YAML::Node const& it, std::string const& key) -> bool
{
    auto const value = text(it, key);
    if (value && *value != "true" && *value != "false")
    {
        fail(it, key, "true or false");
    }
    return value == "true";
}

auto reader::path(YAML::Node const& it) -> std::string
{
    auto const value = text(it, "orders");
    if (value && (!value->starts_with('/') || value->size() > max_text_bytes))
    {
        fail(it, "orders", "a path that begins with '/'");
    }
    return value.value_or("");
}

void reader::read_revision(YAML::Node const& it)
{
    auto const value = text(it, "revision");
    auto number = std::uint64_t{0};
    if (value && !YAML::convert<std::uint64_t>::decode(it, number))
    {
        fail(it, "revision", "the revision that this file was taken from");
    }
    document_.number = revision{number};
}

void reader::read_domains(YAML::Node const& it)
{
    remember(section::defaults, 0, "failure_domains", line_of(it));
    auto const add = [&](YAML::Node const& entry)
    {
        document_.domains.emplace_back(name(entry, "failure_domains"));
    };
    each_of_list(it, "failure_domains", add);
}

void reader::read_defaults(YAML::Node const& it)
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

void reader::read_default(std::string const& key, YAML::Node const& it)
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

void reader::read_service(std::string const& key, YAML::Node const& it)
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

void reader::read_floor(declared_model& to, YAML::Node const& it)
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

void reader::read_model(std::string const& key, YAML::Node const& it)
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

void reader::read_organisation(std::string const& key, YAML::Node const& it)
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

void reader::read_scope(exception_scope& to, YAML::Node const& it)
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

void reader::read_value(exception_entry& to, YAML::Node const& value)
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

void reader::read_exception(YAML::Node const& it)
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

void reader::place(finding const& it)
{
    auto found = lines_.find({it.where, it.index, it.key});
    if (found == lines_.end())
    {
        found = lines_.find({it.where, it.index, ""});
    }
    fail_at(found == lines_.end() ? 1 : found->second, it.key, it.text);
}

auto reader::read(YAML::Node const& root) -> document
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
            named(&reader::read_service);
        }
        else if (key == "models")
        {
            named(&reader::read_model);
        }
        else if (key == "organisations")
        {
            named(&reader::read_organisation);
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

auto join(std::vector<std::string> const& lines) -> std::string
{
    auto text = std::string{};
    for (auto const& it : lines)
    {
        text += (text.empty() ? "" : "\n") + it;
    }
    return text;
}

} // namespace

yaml_error::yaml_error(std::vector<std::string> lines)
    : std::runtime_error(join(lines)), lines_(std::move(lines))
{
}

auto read_yaml(std::string_view text, std::string_view file) -> document
{
    auto const name = std::string{file};
    if (text.size() > max_yaml_bytes)
    {
        throw yaml_error{{name + ":1: document: expected at most " +
                          std::to_string(max_yaml_bytes) + " bytes"}};
    }
    try
    {
        return reader{file}.read(YAML::Load(std::string{text}));
    }
    catch (YAML::Exception const& ex)
    {
        throw yaml_error{{name + ":" + std::to_string(ex.mark.line + 1) +
                          ": document: expected YAML (" + ex.msg + ")"}};
    }
}

auto parse_wall_time(std::string_view text) -> std::optional<wall_time>
{
    auto y = 0;
    auto mo = 0U;
    auto d = 0U;
    auto h = 0;
    auto mi = 0;
    auto s = 0;
    auto end = 0;
    auto const copy = std::string{text};
    auto const n = std::sscanf(copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2dZ%n", &y,
                               &mo, &d, &h, &mi, &s, &end);
    auto const day = std::chrono::year_month_day{
        std::chrono::year{y}, std::chrono::month{mo}, std::chrono::day{d}};
    if (n != 6 || static_cast<std::size_t>(end) != text.size() || !day.ok() ||
        h < 0 || h > 23 || mi < 0 || mi > 59 || s < 0 || s > 59)
    {
        return std::nullopt;
    }
    return std::chrono::sys_days{day} + std::chrono::hours{h} +
           std::chrono::minutes{mi} + std::chrono::seconds{s};
}

auto format_wall_time(wall_time it) -> std::string
{
    auto const days = std::chrono::floor<std::chrono::days>(it);
    auto const day = std::chrono::year_month_day{days};
    auto const time = std::chrono::hh_mm_ss{it - days};
    auto buf = std::array<char, 64>{};
    std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ",
                  static_cast<int>(day.year()),
                  static_cast<unsigned>(day.month()),
                  static_cast<unsigned>(day.day()),
                  static_cast<int>(time.hours().count()),
                  static_cast<int>(time.minutes().count()),
                  static_cast<int>(time.seconds().count()));
    return buf.data();
}

} // namespace primrosedeal::configuration
