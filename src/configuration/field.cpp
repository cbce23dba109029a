#include "configuration/field.hpp"

#include "core/overloaded.hpp"
#include "core/parse_number.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

// One table row per field. A row's accessors are made from two member
// pointers, so that a field can't be read from one member and written to
// another. Everything that treats fields alike (YAML, the stored form,
// exceptions, differences) walks this table.
namespace primrosedeal::configuration
{
namespace
{

template <auto Group, auto Member>
auto member_of(auto& it) -> auto&
{
    return it.*Group.*Member;
}

template <auto Group, auto Member>
auto duration_of(duration low, duration high) -> duration_field
{
    return {low, high, false,
            [](policy const& it) -> field_value
            { return member_of<Group, Member>(it); },
            [](policy& to, field_value const& value)
            {
                member_of<Group, Member>(to) = std::get<duration>(value);
            }};
}

template <auto Group, auto Member>
auto optional_of(duration low, duration high) -> duration_field
{
    return {low, high, true,
            [](policy const& it) -> field_value
            {
                auto const& member = member_of<Group, Member>(it);
                return member ? field_value{*member} : no_value{};
            },
            [](policy& to, field_value const& value)
            {
                auto& member = member_of<Group, Member>(to);
                auto const* given = std::get_if<duration>(&value);
                member = given ? std::optional{*given} : std::nullopt;
            }};
}

auto number_of(std::uint64_t it) -> std::uint64_t
{
    return it;
}

template <class Tag>
auto number_of(strong<Tag, std::uint64_t> const& it) -> std::uint64_t
{
    return it.value();
}

template <auto Group, auto Member>
auto count_of(std::uint64_t low, std::uint64_t high) -> count_field
{
    return {low, high,
            [](policy const& it) -> field_value
            { return number_of(member_of<Group, Member>(it)); },
            [](policy& to, field_value const& value)
            {
                auto& member = member_of<Group, Member>(to);
                using type = std::remove_reference_t<decltype(member)>;
                member = type{std::get<std::uint64_t>(value)};
            }};
}

template <auto Group, auto Member>
auto ratio_of(double low, double high) -> ratio_field
{
    return {low, high,
            [](policy const& it) -> field_value
            { return member_of<Group, Member>(it); },
            [](policy& to, field_value const& value)
            {
                member_of<Group, Member>(to) = std::get<double>(value);
            }};
}

template <auto Group, auto Member>
auto side_of() -> side_field
{
    return {[](policy const& it) -> field_value
            { return member_of<Group, Member>(it); },
            [](policy& to, field_value const& value)
            {
                member_of<Group, Member>(to) = std::get<resume_side>(value);
            }};
}

constexpr auto generation = &policy::generation;
constexpr auto admission = &policy::admission;
constexpr auto routing = &policy::routing;
constexpr auto retry = &policy::retry;
using gen = generation_policy;
using adm = admission_policy;

auto const table = std::array{
    field{"generation.resume_side", side_of<generation, &gen::side>()},
    field{"generation.silence_floor",
          duration_of<generation, &gen::silence_floor>(20ms, 2500ms)},
    field{"generation.silence_ceiling",
          duration_of<generation, &gen::silence_ceiling>(100ms, 2500ms)},
    field{
        "generation.early_second_attempt_after",
        optional_of<generation, &gen::early_second_attempt_after>(50ms, 10min)},
    field{"generation.max_engine_failures",
          count_of<generation, &gen::max_engine_failures>(1, 10)},
    field{"generation.default_deadline",
          duration_of<generation, &gen::default_deadline>(1s, 1h)},
    field{"generation.max_prompt_tokens",
          count_of<generation, &gen::max_prompt_tokens>(1, 1'000'000)},
    field{"generation.max_output_tokens",
          count_of<generation, &gen::max_output_tokens>(1, 1'000'000)},
    field{"generation.journal_after",
          optional_of<generation, &gen::journal_after>(1s, 1h)},
    field{"admission.organisation_concurrency",
          count_of<admission, &adm::organisation_concurrency>(1, 100'000)},
    field{"admission.organisation_tokens_per_second",
          count_of<admission, &adm::organisation_tokens_per_second>(
              1, 10'000'000)},
    field{"admission.weight", ratio_of<admission, &adm::weight>(0.01, 100)},
    field{"admission.priority", count_of<admission, &adm::priority>(0, 9)},
    field{"routing.cross_domain_cost",
          ratio_of<routing, &routing_policy::cross_domain_cost>(0, 1000)},
    field{"routing.affinity_load_bound",
          ratio_of<routing, &routing_policy::affinity_load_bound>(1, 10)},
    field{"retry.attempt_ratio",
          ratio_of<retry, &retry_policy::attempt_ratio>(0, 2)},
    field{"retry.burst", count_of<retry, &retry_policy::burst>(0, 10'000)},
};

struct unit
{
    std::string_view suffix;
    duration size;
};

/// Largest first, so that formatting picks the largest that divides.
constexpr auto units = std::array{
    unit{"h", 1h},   unit{"m", 1min}, unit{"s", 1s},
    unit{"ms", 1ms}, unit{"us", 1us},
};

auto format_ratio(double it) -> std::string
{
    auto buf = std::array<char, 32>{};
    auto const [end, ec] = std::to_chars(buf.data(), buf.data() + 32, it);
    return ec == std::errc{} ? std::string{buf.data(), end} : std::string{};
}

auto parse_of(duration_field const& it, std::string_view text)
    -> std::optional<field_value>
{
    if (it.optional && text == "none")
    {
        return no_value{};
    }
    auto const value = parse_duration(text);
    if (!value || *value < it.low || *value > it.high)
    {
        return std::nullopt;
    }
    return *value;
}

auto parse_of(count_field const& it, std::string_view text)
    -> std::optional<field_value>
{
    auto const value = parse_number<std::uint64_t>(text);
    if (!value || *value < it.low || *value > it.high)
    {
        return std::nullopt;
    }
    return *value;
}

auto parse_of(ratio_field const& it, std::string_view text)
    -> std::optional<field_value>
{
    auto const value = parse_number<double>(text);
    if (!value || !(*value >= it.low && *value <= it.high))
    {
        return std::nullopt;
    }
    return *value;
}

auto parse_of(side_field const&, std::string_view text)
    -> std::optional<field_value>
{
    if (text == "latency")
    {
        return resume_side::latency;
    }
    if (text == "resources")
    {
        return resume_side::resources;
    }
    return std::nullopt;
}

} // namespace

auto all_fields() -> std::span<field const>
{
    return table;
}

auto find_field(std::string_view name) -> field const*
{
    auto const it = std::ranges::find(table, name, &field::name);
    return it == table.end() ? nullptr : &*it;
}

auto expected(field const& it) -> std::string
{
    return std::visit(
        overloaded{[](duration_field const& f)
                   {
                       return "a duration from " + format_duration(f.low) +
                              " to " + format_duration(f.high) +
                              (f.optional ? ", or none" : "");
                   },
                   [](count_field const& f)
                   {
                       return "a whole number from " + std::to_string(f.low) +
                              " to " + std::to_string(f.high);
                   },
                   [](ratio_field const& f)
                   {
                       return "a number from " + format_ratio(f.low) + " to " +
                              format_ratio(f.high);
                   },
                   [](side_field const&)
                   {
                       return std::string{"latency or resources"};
                   }},
        it.kind);
}

auto parse_value(field const& it, std::string_view text)
    -> std::optional<field_value>
{
    return std::visit([&](auto const& f) { return parse_of(f, text); },
                      it.kind);
}

auto format_value(field_value const& value) -> std::string
{
    return std::visit(
        overloaded{[](no_value) { return std::string{"none"}; },
                   [](duration it) { return format_duration(it); },
                   [](std::uint64_t it) { return std::to_string(it); },
                   [](double it) { return format_ratio(it); },
                   [](resume_side it)
                   {
                       return std::string{it == resume_side::latency
                                              ? "latency"
                                              : "resources"};
                   }},
        value);
}

auto get(field const& it, policy const& from) -> field_value
{
    return std::visit([&](auto const& f) { return f.get(from); }, it.kind);
}

void set(field const& it, policy& to, field_value const& value)
{
    std::visit([&](auto const& f) { f.set(to, value); }, it.kind);
}

auto parse_duration(std::string_view text) -> std::optional<duration>
{
    auto const digits = text.find_first_not_of("0123456789.");
    if (digits == 0 || digits == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const size =
        std::ranges::find(units, text.substr(digits), &unit::suffix);
    auto const number = parse_number<double>(text.substr(0, digits));
    if (size == units.end() || !number)
    {
        return std::nullopt;
    }
    auto const value = *number * static_cast<double>(size->size.count());
    if (!(value < 9e15) || value != std::floor(value))
    {
        return std::nullopt;
    }
    return duration{static_cast<duration::rep>(value)};
}

auto format_duration(duration it) -> std::string
{
    if (it == duration{})
    {
        return "0s";
    }
    auto const fits = [&](unit const& u)
    {
        return it % u.size == 0us;
    };
    auto const& best = *std::ranges::find_if(units, fits);
    return std::to_string(it / best.size) + std::string{best.suffix};
}

} // namespace primrosedeal::configuration
