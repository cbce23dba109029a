#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>

/// The bytes of a message's body, one copy of them for all that hold it.
///
/// Load pattern: many large bodies arrive at once, stay with their requests for
/// a further attempt, and go to targets meanwhile. Copies of a `body` share its
/// bytes, and growth takes little more than the bytes that have arrived: a
/// string that doubles takes up to three times as much while it grows.
namespace primrosedeal::http1
{

class body
{
public:
    body() = default;
    body(std::string_view bytes);
    body(std::string const& bytes) : body(std::string_view{bytes}) {}
    body(char const* text) : body(std::string_view{text}) {}

    /// Copies made before keep the bytes that they had.
    void append(std::string_view bytes);

    auto operator+=(std::string_view bytes) -> body&
    {
        append(bytes);
        return *this;
    }

    [[nodiscard]] auto view() const -> std::string_view;

    operator std::string_view() const
    {
        return view();
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return view().size();
    }

    [[nodiscard]] auto empty() const -> bool
    {
        return view().empty();
    }

    [[nodiscard]] auto begin() const
    {
        return view().begin();
    }

    [[nodiscard]] auto end() const
    {
        return view().end();
    }

    /// Keeps the bytes of `view` as they are for as long as it is held.
    [[nodiscard]] auto hold() const -> std::shared_ptr<void const>
    {
        return bytes_;
    }

    friend auto operator==(body const& a, body const& b) -> bool
    {
        return a.view() == b.view();
    }

    friend auto operator==(body const& a, std::string const& b) -> bool
    {
        return a.view() == b;
    }

    friend auto operator==(body const& a, char const* b) -> bool
    {
        return a.view() == b;
    }

    friend auto operator<<(std::ostream& out, body const& it) -> std::ostream&
    {
        return out << it.view();
    }

private:
    struct block;

    std::shared_ptr<block> bytes_;
};

} // namespace primrosedeal::http1
