#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

/// Strong typedef: a value of type `Rep` that converts to no type with another
/// `Tag`.
///
/// Use it for ids and units, so that a target id cannot be passed where a
/// host id is expected. It has no run-time cost.
namespace primrosedeal
{

template <class Tag, class Rep>
class strong
{
public:
    using rep = Rep;

    constexpr strong() = default;

    constexpr explicit strong(Rep value) : value_(std::move(value)) {}

    [[nodiscard]] constexpr auto value() const -> Rep const&
    {
        return value_;
    }

    friend constexpr auto operator==(strong const&, strong const&)
        -> bool = default;
    // clang-tidy 14 mistakes the defaulted comparison with 0 for a null
    // pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(strong const&, strong const&) = default;

    friend auto operator<<(std::ostream& os, strong const& it) -> std::ostream&
    {
        return os << it.value_;
    }

private:
    Rep value_{};
};

} // namespace primrosedeal

template <class Tag, class Rep>
struct std::hash<primrosedeal::strong<Tag, Rep>>
{
    auto operator()(primrosedeal::strong<Tag, Rep> const& it) const noexcept
        -> std::size_t
    {
        return std::hash<Rep>{}(it.value());
    }
};
