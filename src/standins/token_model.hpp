#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The deterministic language model of the stand-in engines.
///
/// Each token depends on the prompt, the seed, the model and all tokens
/// before it, so a reader that knows the request can verify a whole answer: a
/// missing, repeated or foreign token breaks all that follow.
namespace primrosedeal::standins
{

using token_list = std::vector<token_id>;

/// What fixes an answer.
struct generation_request
{
    model_id model;
    model_version version;
    adapter_id adapter;
    token_list prompt;
    std::uint64_t seed = 0;
    /// Limit of the whole generation, tokens of a prefix included.
    std::uint64_t max_tokens = 0;
    std::vector<std::string> stop;
};

enum class finish_reason
{
    /// `max_tokens` was reached.
    length,
    /// The end token or a stop text came; it is part of the answer.
    stop,
};

auto to_string(finish_reason it) -> std::string_view;

/// Whether the model ends a generation with `it`.
auto is_end_token(token_id it) -> bool;

/// Bytes of `it` when it follows `previous` (nothing at the start). A token
/// may end, or begin, in the middle of a UTF-8 character.
auto token_bytes(std::optional<token_id> previous, token_id it) -> std::string;

/// The model's state between two tokens.
class token_chain
{
public:
    explicit token_chain(generation_request const& request);

    /// The token that the model gives here.
    [[nodiscard]] auto next() const -> token_id;

    /// Goes on as if `it` had been given, whether it was or not.
    void advance(token_id it);

private:
    std::uint64_t chain_;
};

/// One generation, token by token, from a prefix on.
class token_stream
{
public:
    struct token
    {
        token_id id;
        std::string bytes;
    };

    token_stream(generation_request const& request,
                 std::span<token_id const> prefix);

    /// Set as soon as the last token was given.
    [[nodiscard]] auto finished() const -> std::optional<finish_reason>
    {
        return finished_;
    }

    /// Tokens so far, the prefix included.
    [[nodiscard]] auto count() const -> std::uint64_t
    {
        return count_;
    }

    /// Only while not `finished()`.
    auto next() -> token;

private:
    auto take(token_id it) -> std::string;

    token_chain chain_;
    std::uint64_t max_tokens_;
    std::vector<std::string> stop_;
    std::size_t longest_stop_ = 0;
    std::string tail_;
    std::optional<token_id> previous_;
    std::uint64_t count_ = 0;
    std::optional<finish_reason> finished_;
};

struct whole_answer
{
    token_list tokens;
    std::string text;
    finish_reason finish = finish_reason::length;
};

/// The one right answer to `request`.
auto reference_answer(generation_request const& request) -> whole_answer;

/// Digest of an answer's tokens, as the last event to a caller carries it:
/// xxh64 of the ids as little-endian 32 bits, seed 0.
auto token_digest(std::span<token_id const> tokens) -> std::uint64_t;

/// Tokens in one block of an engine's prefix cache.
constexpr std::size_t block_tokens = 16;

/// Chained hashes of the whole blocks of `tokens`.
auto block_hashes(std::span<token_id const> tokens)
    -> std::vector<std::uint64_t>;

/// Hash of the block that follows `previous` (0 at the start).
auto block_hash(std::uint64_t previous, std::span<token_id const> block)
    -> std::uint64_t;

/// Sixteen lower-case hex digits.
auto to_hex(std::uint64_t it) -> std::string;

} // namespace primrosedeal::standins
