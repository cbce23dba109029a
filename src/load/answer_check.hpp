#pragma once

#include "standins/token_model.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// Compares one answer, as its pieces arrive, with the reference answer.
namespace primrosedeal::load
{

/// Tokens by how they are wrong.
struct token_faults
{
    std::uint64_t missing = 0;
    std::uint64_t repeated = 0;
    /// Tokens that the reference has not at their place.
    std::uint64_t mixed = 0;

    friend auto operator==(token_faults const&, token_faults const&)
        -> bool = default;
};

class answer_check
{
public:
    explicit answer_check(standins::generation_request const& request)
        : reference_(standins::reference_answer(request))
    {
    }

    /// Tokens that claim to begin at `offset`.
    void take(std::uint64_t offset, std::span<token_id const> tokens,
              std::string_view text);

    /// The end event.
    void end(std::uint64_t count, std::string_view digest,
             std::string_view finish);

    /// Tokens that the caller has, to bring back after a break.
    [[nodiscard]] auto tokens() const -> standins::token_list const&
    {
        return tokens_;
    }

    [[nodiscard]] auto faults() const -> token_faults const&
    {
        return faults_;
    }

    /// Whether the whole answer came and equals the reference in tokens,
    /// text, digest, count and reason.
    [[nodiscard]] auto complete() const -> bool
    {
        return complete_;
    }

    /// The first thing that was wrong, for a report.
    [[nodiscard]] auto first_fault() const -> std::string const&
    {
        return first_fault_;
    }

private:
    void note(std::string text);
    [[nodiscard]] auto text_is_right() const -> bool;

    standins::whole_answer reference_;
    standins::token_list tokens_;
    std::string text_;
    token_faults faults_;
    std::string first_fault_;
    bool complete_ = false;
};

} // namespace primrosedeal::load
