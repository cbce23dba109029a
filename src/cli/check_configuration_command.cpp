#include "cli/subcommands.hpp"

#include "configuration_check/check.hpp"
#include "configuration_check/differences.hpp"
#include "platform/configuration_document.hpp"

#include <absl/flags/flag.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>

ABSL_FLAG(std::string, in_force, "",
          "check-configuration: file of the configuration in force, of which "
          "the differences are listed");

namespace primrosedeal::cli
{

namespace
{

/// Bytes that a file may have: a document is far smaller, and some names stand
/// for files without end.
constexpr auto max_file_bytes = std::size_t{64} << 20U;

auto read_text(std::string const& name) -> std::optional<std::string>
{
    auto in = std::ifstream{name, std::ios::binary};
    auto out = std::string{};
    char buf[65536];
    while (in.read(buf, sizeof buf) || in.gcount() > 0)
    {
        out.append(buf, static_cast<std::size_t>(in.gcount()));
        if (out.size() > max_file_bytes)
        {
            return std::nullopt;
        }
    }
    return in.eof() ? std::optional{std::move(out)} : std::nullopt;
}

/// Names in a document may contain what a terminal takes for a command.
auto printable(std::string text) -> std::string
{
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char c) { return c < ' ' || c == 0x7F; }, '?');
    return text;
}

/// Prints why if `file` is no configuration.
auto read_document(std::string const& file)
    -> std::optional<platform::configuration_document>
{
    auto const text = read_text(file);
    if (!text)
    {
        std::cerr << file << ": cannot be read, or is above "
                  << (max_file_bytes >> 20U) << " MiB\n";
        return std::nullopt;
    }
    auto out = platform::read_configuration_document(*text);
    if (!out.parsed)
    {
        std::cerr << file << ":";
        if (out.error_line)
        {
            std::cerr << *out.error_line << ":";
        }
        std::cerr << " " << printable(out.error) << "\n";
        return std::nullopt;
    }
    return out;
}

void print(std::string const& file, platform::configuration_document const& in,
           configuration_check::finding const& it)
{
    std::cout << file << ": " << platform::to_pointer(in, it.at) << ": "
              << printable(it.text);
    if (it.because)
    {
        std::cout << " (" << platform::to_pointer(in, *it.because) << ")";
    }
    std::cout << "\n";
}

void print(configuration_check::difference const& it)
{
    std::cout << to_string(it.what) << ": " << printable(it.entry);
    auto const* separator = ": ";
    for (auto const& member : it.members)
    {
        std::cout << separator << member;
        separator = ", ";
    }
    std::cout << "\n";
}

} // namespace

auto check_configuration(arguments const& words) -> exit_code
{
    if (words.size() != 1)
    {
        std::cerr << "check-configuration: one file was expected\n";
        return exit_code::usage;
    }
    auto const& file = words.front();
    auto const checked = read_document(file);
    auto const other = absl::GetFlag(FLAGS_in_force);
    auto const in_force = other.empty() ? std::nullopt : read_document(other);
    if (!checked || (!other.empty() && !in_force))
    {
        return exit_code::usage;
    }
    auto clean = checked->unreadable.empty();
    for (auto const& pointer : checked->unreadable)
    {
        std::cout << file << ": " << pointer
                  << ": missing or of another type; hosts use its default or "
                     "leave the entry out\n";
    }
    for (auto const& it : configuration_check::check(*checked->parsed))
    {
        clean = false;
        print(file, *checked, it);
    }
    if (in_force)
    {
        auto const it = configuration_check::compare(
            in_force->parsed->configuration, checked->parsed->configuration);
        if (it.version)
        {
            clean = false;
            print(file, *checked, *it.version);
        }
        for (auto const& each : it.differences)
        {
            print(each);
        }
    }
    if (clean)
    {
        std::cout << file << ": no findings\n";
    }
    return clean ? exit_code::success : exit_code::failed;
}

} // namespace primrosedeal::cli
