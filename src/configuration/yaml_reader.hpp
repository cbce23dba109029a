#pragma once

#include "configuration/check.hpp"
#include "configuration/document.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <yaml-cpp/yaml.h>

/// The inside of `read_yaml`; other slices use yaml.hpp.
namespace primrosedeal::configuration
{

/// The line of `it`, counted from 1.
auto line_of(YAML::Node const& it) -> int;

/// Reads one file and collects what is wrong with it, line by line. The
/// readers of the sections are in yaml_sections.cpp.
class yaml_reader
{
public:
    explicit yaml_reader(std::string_view file) : file_(file) {}

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

/// Longest reason, author, field or path, in bytes.
constexpr auto max_text_bytes = std::size_t{400};

constexpr auto name_text = "a name of up to 64 letters, digits, '-', '_', '.'";

/// Whether `it` may be a name.
auto is_name(std::string const& it) -> bool;

} // namespace primrosedeal::configuration
