#include "configuration/stored_form.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

// CBOR throughout. An organisation's part is chosen by the hash of its name,
// so an edit of one organisation rewrites one part; the count of parts is the
// power of two that keeps them near `organisations_per_part`, and changes
// seldom. Key hashes are random bytes that nothing compresses: 32 bytes each.
namespace primrosedeal::configuration
{
namespace
{

using nlohmann::json;

constexpr auto organisations_per_part = std::size_t{1000};
constexpr auto hash_bytes = std::size_t{32};
constexpr auto name_bytes = std::size_t{16};

auto to_text(std::vector<std::uint8_t> const& bytes) -> std::string
{
    return {bytes.begin(), bytes.end()};
}

auto check_size(std::string value, char const* what) -> std::string
{
    if (value.size() > external::max_value_bytes)
    {
        throw stored_form_error(std::string{what} + ": expected at most " +
                                std::to_string(external::max_value_bytes) +
                                " bytes, not " + std::to_string(value.size()));
    }
    return value;
}

auto part_count(std::size_t organisations) -> std::size_t
{
    auto count = std::size_t{1};
    while (count < max_parts && organisations > count * organisations_per_part)
    {
        count *= 2;
    }
    return count;
}

auto write_part(std::vector<organisation const*> const& members) -> std::string
{
    auto names = json::array();
    auto counts = json::array();
    auto keys = std::vector<std::uint8_t>{};
    for (auto const* it : members)
    {
        names.push_back(it->name.value());
        counts.push_back(it->keys.size());
        for (auto const& hash : it->keys)
        {
            keys.insert(keys.end(), hash.begin(), hash.end());
        }
    }
    auto const body = json{{"n", std::move(names)},
                           {"c", std::move(counts)},
                           {"k", json::binary(std::move(keys))}};
    return check_size(to_text(json::to_cbor(body)), "organisations");
}

auto write_parts(document const& it, json& names)
    -> std::map<part_name, std::string>
{
    auto const count = part_count(it.organisations.size());
    auto groups = std::vector<std::vector<organisation const*>>(count);
    for (auto const& each : it.organisations)
    {
        auto const& name = each.name.value();
        groups[XXH64(name.data(), name.size(), 0) % count].push_back(&each);
    }
    auto parts = std::map<part_name, std::string>{};
    for (auto& group : groups)
    {
        if (group.empty())
        {
            continue;
        }
        std::ranges::sort(group, {}, &organisation::name);
        auto content = write_part(group);
        auto name = part_name_of(content);
        names.push_back(name.value());
        parts.emplace(std::move(name), std::move(content));
    }
    return parts;
}

auto write_change(change_record const& it) -> json
{
    auto cells = json::array();
    for (auto const& cell : it.cells)
    {
        cells.push_back(cell.name_hash);
        cells.push_back(cell.before_hash);
    }
    return {{"id", it.id.value()}, {"r", it.made.value()},
            {"a", it.author},      {"t", it.at.time_since_epoch().count()},
            {"w", it.wide},        {"c", std::move(cells)}};
}

auto read_change(json const& it) -> change_record
{
    auto result = change_record{};
    result.id = change_id{it.at("id").get<std::string>()};
    result.made = revision{it.at("r").get<std::uint64_t>()};
    result.author = it.at("a").get<std::string>();
    result.at = wall_time{std::chrono::seconds{it.at("t").get<std::int64_t>()}};
    result.wide = it.at("w").get<bool>();
    auto const numbers = it.at("c").get<std::vector<std::uint64_t>>();
    for (auto i = std::size_t{0}; i + 1 < numbers.size(); i += 2)
    {
        result.cells.push_back({numbers[i], numbers[i + 1]});
    }
    return result;
}

void read_part(document& to, std::string const& content)
{
    auto const body = json::from_cbor(content);
    auto const& names = body.at("n");
    auto const& counts = body.at("c");
    auto const& keys = body.at("k").get_binary();
    auto next = std::size_t{0};
    for (auto i = std::size_t{0}; i < names.size(); ++i)
    {
        auto entry =
            organisation{organisation_id{names[i].get<std::string>()}, {}};
        for (auto n = counts.at(i).get<std::size_t>(); n > 0; --n)
        {
            if (keys.size() - next < hash_bytes)
            {
                throw stored_form_error("part: keys are missing");
            }
            auto hash = key_hash{};
            std::copy_n(keys.begin() + static_cast<std::ptrdiff_t>(next),
                        hash_bytes, hash.begin());
            entry.keys.push_back(hash);
            next += hash_bytes;
        }
        to.organisations.push_back(std::move(entry));
    }
}

auto parse_head(std::string_view head) -> json
{
    auto body = json::from_cbor(head, true, false);
    if (!body.is_object() || !body.contains("r") || !body.contains("p") ||
        !body.contains("c"))
    {
        throw stored_form_error("head: no configuration");
    }
    return body;
}

auto summary_of(json const& body) -> head_summary
{
    auto result = head_summary{};
    result.number = revision{body.at("r").get<std::uint64_t>()};
    result.format = body.value("f", stored_format);
    for (auto const& each : body.at("p"))
    {
        result.parts.emplace_back(each.get<std::string>());
    }
    return result;
}

auto cells_of_head(json const& body) -> cells
{
    auto result = cells{};
    for (auto const& [name, text] : body.at("c").items())
    {
        result.emplace(name, text.get<std::string>());
    }
    return result;
}

/// All that the head's document holds but the organisations.
auto without_organisations(document const& it) -> document
{
    auto result = document{};
    result.domains = it.domains;
    result.defaults = it.defaults;
    result.services = it.services;
    result.models = it.models;
    result.exceptions = it.exceptions;
    return result;
}

} // namespace

auto part_key(part_name const& it) -> std::string
{
    return part_prefix + it.value();
}

auto part_name_of(std::string_view content) -> part_name
{
    auto const hash = hash_key(content);
    return part_name{format_key_hash(hash).substr(0, 2 * name_bytes)};
}

auto encode(document const& it) -> encoded_document
{
    auto names = json::array();
    auto parts = write_parts(it, names);
    auto changes = json::array();
    auto const skip =
        it.changes.size() - std::min(it.changes.size(), max_changes);
    for (auto i = skip; i < it.changes.size(); ++i)
    {
        changes.push_back(write_change(it.changes[i]));
    }
    auto const body = json{{"f", stored_format},
                           {"r", it.number.value()},
                           {"p", std::move(names)},
                           {"c", to_cells(without_organisations(it))},
                           {"h", std::move(changes)}};
    return {it.number, check_size(to_text(json::to_cbor(body)), "document"),
            std::move(parts)};
}

auto read_head(std::string_view head) -> head_summary
{
    try
    {
        return summary_of(parse_head(head));
    }
    catch (json::exception const& ex)
    {
        throw stored_form_error(std::string{"head: "} + ex.what());
    }
}

auto decode(std::string_view head,
            std::map<part_name, std::string> const& parts) -> document
{
    try
    {
        auto const body = parse_head(head);
        auto const summary = summary_of(body);
        auto result = from_cells(cells_of_head(body));
        result.number = summary.number;
        for (auto const& name : summary.parts)
        {
            auto const found = parts.find(name);
            if (found == parts.end())
            {
                throw stored_form_error("part " + name.value() + " missing");
            }
            read_part(result, found->second);
        }
        std::ranges::sort(result.organisations, {}, &organisation::name);
        for (auto const& each : body.value("h", json::array()))
        {
            result.changes.push_back(read_change(each));
        }
        return result;
    }
    catch (stored_form_error const&)
    {
        throw;
    }
    catch (std::exception const& ex)
    {
        throw stored_form_error(std::string{"document: "} + ex.what());
    }
}

} // namespace primrosedeal::configuration
