#include "configuration/yaml.hpp"

#include "configuration/yaml_reader.hpp"

#include <array>
#include <cstdio>

// The reading itself is yaml_reader's; here are its bounds and the form of
// times.
namespace primrosedeal::configuration
{
namespace
{

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
        return yaml_reader{file}.read(YAML::Load(std::string{text}));
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
