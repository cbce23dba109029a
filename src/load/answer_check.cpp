#include "load/answer_check.hpp"

#include <algorithm>

// A token that starts below the next offset is repeated, a gap above it is
// missing, and one that is not the reference's at its place is mixed in.
namespace primrosedeal::load
{

void answer_check::note(std::string text)
{
    if (first_fault_.empty())
    {
        first_fault_ = std::move(text);
    }
}

void answer_check::take(std::uint64_t offset, std::span<token_id const> tokens,
                        std::string_view text)
{
    auto const next = tokens_.size();
    if (offset < next)
    {
        auto const n = std::min<std::uint64_t>(next - offset, tokens.size());
        faults_.repeated += n;
        note("repeated at " + std::to_string(offset));
        tokens = tokens.subspan(n);
    }
    else if (offset > next)
    {
        faults_.missing += offset - next;
        note("missing before " + std::to_string(offset));
    }
    text_.append(text);
    for (auto const& it : tokens)
    {
        auto const place = tokens_.size();
        if (place >= reference_.tokens.size() || reference_.tokens[place] != it)
        {
            ++faults_.mixed;
            note("foreign token at " + std::to_string(place));
        }
        tokens_.push_back(it);
    }
}

auto answer_check::text_is_right() const -> bool
{
    // A character that the last token only begins cannot be sent as text.
    constexpr std::size_t unfinished = 2;
    auto const& whole = reference_.text;
    return text_ == whole ||
           (whole.size() >= text_.size() &&
            whole.size() - text_.size() <= unfinished &&
            whole.starts_with(text_) &&
            (static_cast<unsigned char>(whole[text_.size()]) & 0x80U) != 0);
}

void answer_check::end(std::uint64_t count, std::string_view digest,
                       std::string_view finish)
{
    auto const wanted = reference_.tokens.size();
    if (tokens_.size() < wanted)
    {
        faults_.missing += wanted - tokens_.size();
        note("ends after " + std::to_string(tokens_.size()) + " of " +
             std::to_string(wanted));
        return;
    }
    auto const right_digest =
        standins::to_hex(standins::token_digest(reference_.tokens));
    if (count != wanted || digest != right_digest)
    {
        note("count or digest differs");
    }
    if (finish != to_string(reference_.finish))
    {
        note("finish reason differs");
    }
    if (!text_is_right())
    {
        note("text differs");
    }
    complete_ = first_fault_.empty();
}

} // namespace primrosedeal::load
