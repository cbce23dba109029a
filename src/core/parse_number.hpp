#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace primrosedeal
{

/// Parses all of `text` as a decimal number; nothing if it is not one.
template <class Number>
auto parse_number(std::string_view text) -> std::optional<Number>
{
    auto out = Number{};
    auto const [at, ec] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc{} && at == text.data() + text.size()
               ? std::optional{out}
               : std::nullopt;
}

} // namespace primrosedeal
