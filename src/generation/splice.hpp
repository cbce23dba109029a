#pragma once

#include "core/ids.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// The tokens of one generation, joined from several attempts.
namespace primrosedeal::generation
{

/// What became of an offered run of tokens.
enum class splice_result
{
    /// Some or all were new and are now part of the generation.
    accepted,
    /// All were there already, with equal ids.
    duplicate,
    /// Starts behind the next offset: something is missing in between.
    gap,
    /// An id differs from the one already accepted at that offset.
    mismatch,
};

/// Tokens ready for the caller. The text ends on a character boundary.
struct ready_tokens
{
    std::uint64_t offset = 0;
    std::vector<token_id> tokens;
    std::string text;
};

/// Accepts tokens strictly in order and gives them out in whole characters.
/// Invariant: the tokens given out are a prefix of the accepted ones.
class splice
{
public:
    /// `already` are tokens that the caller has; they are not given out.
    explicit splice(std::vector<token_id> already);

    /// Offers `tokens[0..n)` at `offset`; `bytes[i]` is the text of
    /// `tokens[i]`. Changes nothing unless the result is `accepted`.
    auto offer(std::uint64_t offset, std::vector<token_id> const& tokens,
               std::vector<std::string> const& bytes) -> splice_result;

    /// Takes what can be given out. With `last` also an incomplete
    /// character, shown as U+FFFD.
    auto take_ready(bool last) -> ready_tokens;

    /// All tokens of the generation so far, given out or not.
    [[nodiscard]] auto tokens() const -> std::vector<token_id> const&
    {
        return tokens_;
    }

    [[nodiscard]] auto next_offset() const -> std::uint64_t
    {
        return tokens_.size();
    }

    /// Offset behind the last token given out.
    [[nodiscard]] auto given_offset() const -> std::uint64_t
    {
        return given_;
    }

    /// XXH64 (seed 0) over the tokens given out, as little-endian 32-bit
    /// numbers, `already` included.
    [[nodiscard]] auto digest_of_given() const -> std::uint64_t;

private:
    std::vector<token_id> tokens_;
    /// Text of the tokens from `given_` on, one entry each.
    std::vector<std::string> held_bytes_;
    std::uint64_t given_;
};

/// Length of the longest prefix of `text` that does not end inside a UTF-8
/// character. Invalid bytes count as whole characters.
auto whole_characters(std::string_view text) -> std::size_t;

/// `text` with every invalid UTF-8 sequence replaced by U+FFFD.
auto replace_invalid_utf8(std::string_view text) -> std::string;

} // namespace primrosedeal::generation
