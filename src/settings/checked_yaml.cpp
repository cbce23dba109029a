#include "settings/checked_yaml.hpp"

#include "core/parse_number.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <filesystem>
#include <limits>

namespace primrosedeal::settings
{

namespace
{

struct unit
{
    std::string_view suffix;
    std::uint64_t factor;
};

constexpr auto time_units = std::array<unit, 4>{{{"ms", 1'000},
                                                 {"min", 60'000'000},
                                                 {"s", 1'000'000},
                                                 {"h", 3'600'000'000}}};
constexpr auto byte_units =
    std::array<unit, 3>{{{"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"B", 1}}};

/// Number and unit multiplied; nothing on overflow or an unknown unit.
template <std::size_t N>
auto parse_with_unit(std::string_view text, std::array<unit, N> const& units)
    -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t{0};
    auto const* const last = text.data() + text.size();
    auto const [end, ec] = std::from_chars(text.data(), last, value);
    if (ec != std::errc{})
    {
        return std::nullopt;
    }
    auto const suffix =
        std::string_view(end, static_cast<std::size_t>(last - end));
    constexpr auto most = std::uint64_t{1} << 62U;
    for (auto const& it : units)
    {
        if (suffix == it.suffix && value <= most / it.factor)
        {
            return value * it.factor;
        }
    }
    return std::nullopt;
}

} // namespace

auto parse_duration(std::string_view text) -> std::optional<duration>
{
    auto const us = parse_with_unit(text, time_units);
    return us ? std::optional{duration{static_cast<duration::rep>(*us)}}
              : std::nullopt;
}

auto parse_bytes(std::string_view text) -> std::optional<std::uint64_t>
{
    return parse_with_unit(text, byte_units);
}

checked_map::checked_map(std::string file, std::string path,
                         YAML::Node const& node)
    : file_(std::move(file)), path_(std::move(path)), node_(node)
{
    if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap())
    {
        fail("", "a map");
    }
}

auto checked_map::map(std::string const& key) -> checked_map
{
    auto const path = path_.empty() ? key : path_ + "." + key;
    auto const child = take(key);
    return {file_, path, child.IsDefined() ? child : YAML::Node{}};
}

auto checked_map::has(std::string const& key) const -> bool
{
    return node_.IsMap() && node_[key].IsDefined();
}

auto checked_map::text(std::string const& key,
                       std::optional<std::string> fallback) -> std::string
{
    auto const value = scalar(key, "a text");
    if (!value && !fallback)
    {
        fail(key, "a text");
    }
    return value ? *value : *fallback;
}

auto checked_map::texts(std::string const& key) -> std::vector<std::string>
{
    auto const node = take(key);
    if (!node.IsDefined() || node.IsNull())
    {
        return {};
    }
    if (!node.IsSequence())
    {
        fail(key, "a list of texts");
    }
    auto list = std::vector<std::string>{};
    for (auto const& it : node)
    {
        if (!it.IsScalar())
        {
            fail(key, "a list of texts");
        }
        list.push_back(it.Scalar());
    }
    return list;
}

auto checked_map::number(std::string const& key, std::uint64_t least,
                         std::uint64_t most,
                         std::optional<std::uint64_t> fallback) -> std::uint64_t
{
    auto const expected = "a whole number from " + std::to_string(least) +
                          " to " + std::to_string(most);
    auto const value = scalar(key, expected);
    if (!value && fallback)
    {
        return *fallback;
    }
    auto const n = parse_number<std::uint64_t>(value.value_or(""));
    if (!n || *n < least || *n > most)
    {
        fail(key, expected);
    }
    return *n;
}

auto checked_map::time(std::string const& key, duration least, duration most,
                       std::optional<duration> fallback) -> duration
{
    auto const expected = "a time with unit (ms, s, min, h) from " +
                          std::to_string(least.count() / 1000) + "ms to " +
                          std::to_string(most.count() / 1000) + "ms";
    auto const value = scalar(key, expected);
    if (!value && fallback)
    {
        return *fallback;
    }
    auto const parsed = parse_duration(value.value_or(""));
    if (!parsed || *parsed < least || *parsed > most)
    {
        fail(key, expected);
    }
    return *parsed;
}

auto checked_map::bytes(std::string const& key, std::uint64_t most,
                        std::optional<std::uint64_t> fallback) -> std::uint64_t
{
    auto const expected =
        "a size with unit (B, KiB, MiB) up to " + std::to_string(most) + "B";
    auto const value = scalar(key, expected);
    if (!value && fallback)
    {
        return *fallback;
    }
    auto const parsed = parse_bytes(value.value_or(""));
    if (!parsed || *parsed > most)
    {
        fail(key, expected);
    }
    return *parsed;
}

auto checked_map::address(std::string const& key) -> net::endpoint
{
    auto const value = scalar(key, "an address IPV4:PORT");
    auto const parsed = net::parse_endpoint(value.value_or(""));
    if (!parsed)
    {
        fail(key, "an address IPV4:PORT");
    }
    return *parsed;
}

auto checked_map::addresses(std::string const& key)
    -> std::vector<net::endpoint>
{
    auto list = std::vector<net::endpoint>{};
    for (auto const& it : texts(key))
    {
        auto const parsed = net::parse_endpoint(it);
        if (!parsed)
        {
            fail(key, "a list of addresses IPV4:PORT");
        }
        list.push_back(*parsed);
    }
    return list;
}

void checked_map::expect_no_more() const
{
    for (auto const& it : node_)
    {
        auto const key = it.first.Scalar();
        if (read_.count(key) == 0)
        {
            fail(key, "no such key");
        }
    }
}

void checked_map::fail(std::string const& key, std::string_view expected) const
{
    auto const child = key.empty() || !node_.IsMap() ? node_ : node_[key];
    auto const& at = child.IsDefined() ? child : node_;
    auto const line = at.IsDefined() ? at.Mark().line + 1 : 1;
    auto const dot = path_.empty() || key.empty() ? "" : ".";
    throw settings_error{file_ + ":" + std::to_string(std::max(line, 1)) +
                         ": " + path_ + dot + key + ": " +
                         std::string{expected} + " was expected"};
}

auto checked_map::take(std::string const& key) -> YAML::Node
{
    read_.insert(key);
    return node_.IsMap() ? static_cast<YAML::Node const&>(node_)[key]
                         : YAML::Node{YAML::NodeType::Undefined};
}

auto checked_map::scalar(std::string const& key, std::string_view expected)
    -> std::optional<std::string>
{
    auto const node = take(key);
    if (!node.IsDefined() || node.IsNull())
    {
        return std::nullopt;
    }
    if (!node.IsScalar())
    {
        fail(key, expected);
    }
    return node.Scalar();
}

auto load_file(std::string const& file) -> checked_map
{
    constexpr auto max_file_bytes = std::uintmax_t{1} << 20U;
    auto ec = std::error_code{};
    auto const n = std::filesystem::file_size(file, ec);
    if (ec)
    {
        throw settings_error{file + ":1: a readable file was expected"};
    }
    if (n > max_file_bytes)
    {
        throw settings_error{file + ":1: a file of at most 1 MiB was expected"};
    }
    try
    {
        return {file, "", YAML::LoadFile(file)};
    }
    catch (YAML::Exception const& e)
    {
        throw settings_error{file + ":" + std::to_string(e.mark.line + 1) +
                             ": YAML was expected: " + e.msg};
    }
}

} // namespace primrosedeal::settings
