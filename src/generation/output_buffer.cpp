#include "generation/output_buffer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>

// A token is held back while the text up to it ends inside a character. The
// tokens with which a caller resumes at another entry host therefore always end
// on a character boundary, and the token ids suffice to resume: no partial
// bytes have to be transferred.
namespace primrosedeal::generation
{

namespace
{

constexpr auto replacement = std::string_view{"\xEF\xBF\xBD"};

/// Length in bytes of a multi-byte character that starts with `lead`; 1 if
/// `lead` cannot start one.
auto expected_length(unsigned char lead) -> std::size_t
{
    if (lead >= 0xC2U && lead <= 0xDFU)
    {
        return 2;
    }
    if (lead >= 0xE0U && lead <= 0xEFU)
    {
        return 3;
    }
    if (lead >= 0xF0U && lead <= 0xF4U)
    {
        return 4;
    }
    return 1;
}

auto is_continuation(char it) -> bool
{
    return (static_cast<unsigned char>(it) & 0xC0U) == 0x80U;
}

/// Whether the second byte is allowed after the first (no overlong forms,
/// surrogates or values above U+10FFFF).
auto second_byte_fits(unsigned char lead, unsigned char second) -> bool
{
    switch (lead)
    {
    case 0xE0U:
        return second >= 0xA0U;
    case 0xEDU:
        return second <= 0x9FU;
    case 0xF0U:
        return second >= 0x90U;
    case 0xF4U:
        return second <= 0x8FU;
    default:
        return true;
    }
}

/// Length in bytes of the valid character at the start of `text`, or 0.
auto valid_length(std::string_view text) -> std::size_t
{
    auto const lead = static_cast<unsigned char>(text[0]);
    if (lead < 0x80U)
    {
        return 1;
    }
    auto const n = expected_length(lead);
    if (n == 1 || n > text.size())
    {
        return 0;
    }
    auto const rest = text.substr(1, n - 1);
    auto const fits =
        second_byte_fits(lead, static_cast<unsigned char>(rest.front()));
    return fits && std::all_of(rest.begin(), rest.end(), is_continuation) ? n
                                                                          : 0;
}

/// Whether `tail` is the valid beginning of an incomplete character.
auto is_incomplete(std::string_view tail) -> bool
{
    auto const lead = static_cast<unsigned char>(tail[0]);
    auto const n = expected_length(lead);
    if (n == 1 || tail.size() >= n)
    {
        return false;
    }
    auto const rest = tail.substr(1);
    auto const fits =
        rest.empty() ||
        second_byte_fits(lead, static_cast<unsigned char>(rest.front()));
    return fits && std::all_of(rest.begin(), rest.end(), is_continuation);
}

} // namespace

auto whole_characters(std::string_view text) -> std::size_t
{
    constexpr auto max_tail_bytes = std::size_t{3};
    auto const n = std::min(max_tail_bytes, text.size());
    for (auto back = n; back > 0; --back)
    {
        if (is_incomplete(text.substr(text.size() - back)))
        {
            return text.size() - back;
        }
    }
    return text.size();
}

auto replace_invalid_utf8(std::string_view text) -> std::string
{
    auto out = std::string{};
    out.reserve(text.size());
    while (!text.empty())
    {
        auto const n = valid_length(text);
        out.append(n == 0 ? replacement : text.substr(0, n));
        text.remove_prefix(std::max<std::size_t>(n, 1));
    }
    return out;
}

output_buffer::output_buffer(std::vector<token_id> prior_tokens)
    : tokens_(std::move(prior_tokens)), released_(tokens_.size())
{
}

auto output_buffer::offer(std::uint64_t offset,
                          std::vector<token_id> const& tokens,
                          std::vector<std::string> const& bytes) -> offer_result
{
    auto const next = next_offset();
    if (offset > next || tokens.size() != bytes.size())
    {
        return offer_result::gap;
    }
    auto const overlap = std::min<std::uint64_t>(next - offset, tokens.size());
    auto const existing = tokens_.begin() + static_cast<std::ptrdiff_t>(offset);
    auto const first_new = static_cast<std::ptrdiff_t>(overlap);
    if (!std::equal(tokens.begin(), tokens.begin() + first_new, existing))
    {
        return offer_result::mismatch;
    }
    if (overlap == tokens.size())
    {
        return offer_result::duplicate;
    }
    tokens_.insert(tokens_.end(), tokens.begin() + first_new, tokens.end());
    pending_bytes_.insert(pending_bytes_.end(), bytes.begin() + first_new,
                          bytes.end());
    return offer_result::accepted;
}

auto output_buffer::take_ready(bool last) -> ready_tokens
{
    auto text = std::string{};
    auto whole_tokens = std::size_t{0};
    auto whole_bytes = std::size_t{0};
    for (auto i = std::size_t{0}; i < pending_bytes_.size(); ++i)
    {
        text += pending_bytes_[i];
        if (whole_characters(text) == text.size())
        {
            whole_tokens = i + 1;
            whole_bytes = text.size();
        }
    }
    if (last)
    {
        whole_tokens = pending_bytes_.size();
        whole_bytes = text.size();
    }
    auto it = ready_tokens{};
    it.offset = released_;
    auto const first = tokens_.begin() + static_cast<std::ptrdiff_t>(released_);
    auto const n = static_cast<std::ptrdiff_t>(whole_tokens);
    it.tokens.assign(first, first + n);
    it.text =
        replace_invalid_utf8(std::string_view{text}.substr(0, whole_bytes));
    pending_bytes_.erase(pending_bytes_.begin(), pending_bytes_.begin() + n);
    released_ += whole_tokens;
    return it;
}

auto output_buffer::released_digest() const -> std::uint64_t
{
    auto* const state = XXH64_createState();
    XXH64_reset(state, 0);
    for (auto i = std::uint64_t{0}; i < released_; ++i)
    {
        auto const value = tokens_[i].value();
        auto const le = std::array<unsigned char, 4>{
            static_cast<unsigned char>(value),
            static_cast<unsigned char>(value >> 8U),
            static_cast<unsigned char>(value >> 16U),
            static_cast<unsigned char>(value >> 24U)};
        XXH64_update(state, le.data(), le.size());
    }
    auto const value = XXH64_digest(state);
    XXH64_freeState(state);
    return value;
}

} // namespace primrosedeal::generation
