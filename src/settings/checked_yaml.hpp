#pragma once

#include "core/units.hpp"
#include "net/http_message.hpp"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// YAML maps in which every key is checked: a key that nobody read, a wrong
/// type or a wrong unit is an error with file, line, key and what was
/// expected.
namespace primrosedeal::settings
{

/// `what()` is one line: `FILE:LINE: KEY: EXPECTED was expected`.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class checked_map
{
public:
    /// `path` is the dotted key of `node`, empty for the whole file.
    checked_map(std::string file, std::string path, YAML::Node const& node);

    /// A nested map; an absent one reads as empty.
    auto map(std::string const& key) -> checked_map;

    [[nodiscard]] auto has(std::string const& key) const -> bool;

    auto text(std::string const& key, std::optional<std::string> fallback = {})
        -> std::string;
    auto texts(std::string const& key) -> std::vector<std::string>;
    auto number(std::string const& key, std::uint64_t least, std::uint64_t most,
                std::optional<std::uint64_t> fallback = {}) -> std::uint64_t;
    /// `250ms`, `3s`, `5min` or `1h`.
    auto time(std::string const& key, duration least, duration most,
              std::optional<duration> fallback = {}) -> duration;
    /// `512B`, `16KiB` or `4MiB`.
    auto bytes(std::string const& key, std::uint64_t most,
               std::optional<std::uint64_t> fallback = {}) -> std::uint64_t;
    /// `IPV4:PORT`.
    auto address(std::string const& key) -> net::endpoint;
    auto addresses(std::string const& key) -> std::vector<net::endpoint>;

    /// Throws for the first key that was not read.
    void expect_no_more() const;

    /// Throws a settings_error about `key`.
    [[noreturn]] void fail(std::string const& key,
                           std::string_view expected) const;

private:
    auto take(std::string const& key) -> YAML::Node;
    auto scalar(std::string const& key, std::string_view expected)
        -> std::optional<std::string>;

    std::string file_;
    std::string path_;
    YAML::Node node_;
    std::set<std::string> read_;
};

/// Loads a YAML file whose top is a map. Throws settings_error.
auto load_file(std::string const& file) -> checked_map;

/// Nothing unless `text` is a whole number followed by ms, s, min or h.
auto parse_duration(std::string_view text) -> std::optional<duration>;

/// Nothing unless `text` is a whole number followed by B, KiB or MiB.
auto parse_bytes(std::string_view text) -> std::optional<std::uint64_t>;

} // namespace primrosedeal::settings
