#include "standins/token_model.hpp"

#include "core/random.hpp"

#include <xxhash.h>

#include <algorithm>

// The chain is one 64-bit word mixed with each token. Stop texts are looked
// for in a tail of the text just long enough to hold the longest of them, so
// a long generation costs the same for each token.
namespace primrosedeal::standins
{

namespace
{

constexpr std::uint32_t vocabulary = 50000;
constexpr std::uint32_t end_token = 7;
constexpr std::uint32_t split_every = 97;
constexpr std::string_view split_character = "\xe2\x82\xac";

auto little_endian(std::span<token_id const> tokens) -> std::string
{
    auto buf = std::string{};
    buf.reserve(tokens.size() * sizeof(std::uint32_t));
    for (auto const& it : tokens)
    {
        for (auto shift = 0U; shift < 32U; shift += 8U)
        {
            buf.push_back(static_cast<char>(it.value() >> shift));
        }
    }
    return buf;
}

auto xxh64(std::string_view text) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), 0);
}

auto is_split(token_id it) -> bool
{
    return it.value() % split_every == 0;
}

auto base_36(std::uint32_t value) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdefghijklmnopqrstuvwxyz";
    auto text = std::string{};
    do
    {
        text.push_back(digits[value % digits.size()]);
        value /= digits.size();
    } while (value != 0);
    std::reverse(text.begin(), text.end());
    return text;
}

auto longest(std::vector<std::string> const& texts) -> std::size_t
{
    auto n = std::size_t{0};
    for (auto const& it : texts)
    {
        n = std::max(n, it.size());
    }
    return n;
}

} // namespace

auto to_string(finish_reason it) -> std::string_view
{
    return it == finish_reason::length ? "length" : "stop";
}

auto is_end_token(token_id it) -> bool
{
    return it.value() % vocabulary == end_token;
}

auto token_bytes(std::optional<token_id> previous, token_id it) -> std::string
{
    auto text = std::string{};
    if (previous && is_split(*previous))
    {
        text.append(split_character.substr(2));
    }
    if (is_split(it))
    {
        text.append(split_character.substr(0, 2));
    }
    else
    {
        text.append(" w").append(base_36(it.value()));
    }
    return text;
}

token_chain::token_chain(generation_request const& request)
    : chain_(mix64(xxh64(little_endian(request.prompt)) ^ mix64(request.seed) ^
                   xxh64(request.model.value() + "/" + request.version.value() +
                         "/" + request.adapter.value())))
{
}

auto token_chain::next() const -> token_id
{
    return token_id{static_cast<std::uint32_t>((chain_ >> 8U) % vocabulary)};
}

void token_chain::advance(token_id it)
{
    chain_ = mix64(chain_ ^ it.value());
}

token_stream::token_stream(generation_request const& request,
                           std::span<token_id const> prefix)
    : chain_(request), max_tokens_(request.max_tokens), stop_(request.stop),
      longest_stop_(longest(request.stop))
{
    if (max_tokens_ == 0)
    {
        finished_ = finish_reason::length;
    }
    for (auto const& it : prefix)
    {
        take(it);
    }
}

auto token_stream::next() -> token
{
    auto const id = chain_.next();
    return {id, take(id)};
}

auto token_stream::take(token_id it) -> std::string
{
    auto bytes = token_bytes(previous_, it);
    tail_.append(bytes);
    chain_.advance(it);
    previous_ = it;
    ++count_;
    auto const in_tail = [&](std::string const& text)
    {
        return !text.empty() && tail_.find(text) != std::string::npos;
    };
    if (is_end_token(it) || std::any_of(stop_.begin(), stop_.end(), in_tail))
    {
        finished_ = finish_reason::stop;
    }
    else if (count_ >= max_tokens_)
    {
        finished_ = finish_reason::length;
    }
    if (tail_.size() > longest_stop_)
    {
        tail_.erase(0, tail_.size() - longest_stop_);
    }
    return bytes;
}

auto reference_answer(generation_request const& request) -> whole_answer
{
    auto it = whole_answer{};
    auto stream = token_stream{request, {}};
    while (!stream.finished())
    {
        auto const token = stream.next();
        it.tokens.push_back(token.id);
        it.text.append(token.bytes);
    }
    it.finish = *stream.finished();
    return it;
}

auto token_digest(std::span<token_id const> tokens) -> std::uint64_t
{
    return xxh64(little_endian(tokens));
}

auto block_hash(std::uint64_t previous, std::span<token_id const> block)
    -> std::uint64_t
{
    auto buf = std::string{};
    for (auto shift = 0U; shift < 64U; shift += 8U)
    {
        buf.push_back(static_cast<char>(previous >> shift));
    }
    buf.append(little_endian(block));
    return xxh64(buf);
}

auto block_hashes(std::span<token_id const> tokens)
    -> std::vector<std::uint64_t>
{
    auto hashes = std::vector<std::uint64_t>{};
    auto previous = std::uint64_t{0};
    for (auto rest = tokens; rest.size() >= block_tokens;
         rest = rest.subspan(block_tokens))
    {
        previous = block_hash(previous, rest.first(block_tokens));
        hashes.push_back(previous);
    }
    return hashes;
}

auto to_hex(std::uint64_t it) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto text = std::string(16, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place)
    {
        *place = digits[it & 0xfU];
        it >>= 4U;
    }
    return text;
}

} // namespace primrosedeal::standins
