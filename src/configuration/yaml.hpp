#pragma once

#include "configuration/document.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// The operators' file: a document as YAML, without its last changes.
/// docs/operations/configuration.md describes each key.
namespace primrosedeal::configuration
{

/// Largest file that is read, in bytes.
constexpr auto max_yaml_bytes = std::size_t{32} << 20U;

/// The file is not acceptable. `what()` holds one line per finding:
/// `FILE:LINE: KEY: WHAT WAS EXPECTED`.
class yaml_error : public std::runtime_error
{
public:
    explicit yaml_error(std::vector<std::string> lines);

    [[nodiscard]] auto lines() const -> std::vector<std::string> const&
    {
        return lines_;
    }

private:
    std::vector<std::string> lines_;
};

/// Reads and checks `text`. `file` is the name for the findings. Every key
/// is checked, including by `check`; throws yaml_error with all findings.
auto read_yaml(std::string_view text, std::string_view file) -> document;

/// Writes `it` so that `read_yaml` gives it back, but for `changes`.
auto write_yaml(document const& it) -> std::string;

/// `2027-01-31T00:00:00Z`; nothing if `text` is not that.
auto parse_wall_time(std::string_view text) -> std::optional<wall_time>;
auto format_wall_time(wall_time it) -> std::string;

} // namespace primrosedeal::configuration
