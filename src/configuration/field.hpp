#pragma once

#include "configuration/policy.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

/// The fields of a policy by their written names, for example
/// `generation.silence_floor`: their types, bounds and text forms.
namespace primrosedeal::configuration
{

/// The value `none` of an optional field.
struct no_value
{
    friend auto operator==(no_value, no_value) -> bool = default;
};

/// A value of any field; which alternative fits is the field's matter.
using field_value =
    std::variant<no_value, duration, std::uint64_t, double, resume_side>;

/// A duration between two bounds; `none` too where `optional`.
struct duration_field
{
    duration low{};
    duration high{};
    bool optional = false;
    field_value (*get)(policy const&) = nullptr;
    void (*set)(policy&, field_value const&) = nullptr;
};

struct count_field
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;
    field_value (*get)(policy const&) = nullptr;
    void (*set)(policy&, field_value const&) = nullptr;
};

struct ratio_field
{
    double low = 0;
    double high = 0;
    field_value (*get)(policy const&) = nullptr;
    void (*set)(policy&, field_value const&) = nullptr;
};

struct side_field
{
    field_value (*get)(policy const&) = nullptr;
    void (*set)(policy&, field_value const&) = nullptr;
};

struct field
{
    /// `GROUP.NAME`, both lower case.
    std::string_view name;
    std::variant<duration_field, count_field, ratio_field, side_field> kind;
};

/// All fields, in the order in which they are written.
auto all_fields() -> std::span<field const>;

/// The field called `name`, or null.
auto find_field(std::string_view name) -> field const*;

/// What a valid value looks like, for example `a duration from 20ms to 3s`.
auto expected(field const& it) -> std::string;

/// The value written as `text`; nothing unless type and bounds fit.
auto parse_value(field const& it, std::string_view text)
    -> std::optional<field_value>;

/// The shortest text that `parse_value` reads back as `value`.
auto format_value(field_value const& value) -> std::string;

auto get(field const& it, policy const& from) -> field_value;

/// `value` must come from `parse_value` of the same field.
void set(field const& it, policy& to, field_value const& value);

/// `250ms`, `3s`, `1.5s`, `5m`, `2h` or `40us`; nothing if it is not that.
auto parse_duration(std::string_view text) -> std::optional<duration>;

/// The largest unit that gives a whole number.
auto format_duration(duration it) -> std::string;

} // namespace primrosedeal::configuration
