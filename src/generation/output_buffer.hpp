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

/// Result of offering a run of tokens.
enum class offer_result
{
    /// At least one token was new; all new ones were appended.
    accepted,
    /// All tokens were accepted earlier, with equal ids.
    duplicate,
    /// Starts after the next offset, so tokens in between are missing.
    gap,
    /// A token differs from the one accepted earlier at the same offset.
    mismatch,
};

/// Tokens ready for the caller. The text ends on a character boundary.
struct ready_tokens
{
    std::uint64_t offset = 0;
    std::vector<token_id> tokens;
    std::string text;
};

/// Accepts tokens strictly in order and releases them in complete characters.
/// Invariant: the released tokens are a prefix of the accepted ones.
class output_buffer
{
public:
    /// `prior_tokens` are tokens that the caller has received earlier; they
    /// count as released.
    explicit output_buffer(std::vector<token_id> prior_tokens);

    /// Offers `tokens[0..n)` at `offset`; `bytes[i]` is the text of
    /// `tokens[i]`. Changes nothing unless the result is `accepted`.
    auto offer(std::uint64_t offset, std::vector<token_id> const& tokens,
               std::vector<std::string> const& bytes) -> offer_result;

    /// Releases all tokens that end on a character boundary. With `last` also
    /// those of an incomplete character, whose text becomes U+FFFD.
    auto take_ready(bool last) -> ready_tokens;

    /// All accepted tokens, released or not.
    [[nodiscard]] auto tokens() const -> std::vector<token_id> const&
    {
        return tokens_;
    }

    [[nodiscard]] auto next_offset() const -> std::uint64_t
    {
        return tokens_.size();
    }

    /// Offset after the last released token.
    [[nodiscard]] auto released_offset() const -> std::uint64_t
    {
        return released_;
    }

    /// XXH64 (seed 0) over the released tokens, `prior_tokens` included, as
    /// little-endian 32-bit numbers.
    [[nodiscard]] auto released_digest() const -> std::uint64_t;

private:
    std::vector<token_id> tokens_;
    /// Text of the tokens from offset `released_` on, one entry for each token.
    std::vector<std::string> pending_bytes_;
    std::uint64_t released_;
};

/// Length in bytes of the longest prefix of `text` that does not end inside a
/// UTF-8 character. Each invalid byte counts as a complete character.
auto whole_characters(std::string_view text) -> std::size_t;

/// `text` with every invalid UTF-8 sequence replaced by U+FFFD.
auto replace_invalid_utf8(std::string_view text) -> std::string;

} // namespace primrosedeal::generation
