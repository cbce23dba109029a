#include "http1/tunnel.hpp"

#include "core/parse_number.hpp"
#include "http1/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace primrosedeal::http1
{

namespace
{

constexpr auto method = std::string_view{"CONNECT "};
constexpr auto version = std::string_view{"HTTP/1.1"};
constexpr auto ok = 200;
/// A word and its value, as a line of a head.
constexpr auto lease_line = std::string_view{"Lease: 1\r\n"};
/// A length that no frame of bytes has.
constexpr auto renewal_length = std::size_t{0xffffffff};
constexpr auto hex_digits = std::string_view{"0123456789ABCDEF"};

constexpr auto refusals = std::array{
    std::pair{404, tunnel_refusal::not_listed},
    std::pair{503, tunnel_refusal::no_capacity},
    std::pair{502, tunnel_refusal::target_refused},
    std::pair{504, tunnel_refusal::target_timed_out},
};

/// Ids are any text; a head has no spaces or controls inside its words.
auto escape(std::string_view text) -> std::string
{
    auto out = std::string{};
    for (auto const c : text)
    {
        auto const n = static_cast<unsigned char>(c);
        if (std::isalnum(n) != 0 || c == '-' || c == '_' || c == '.')
        {
            out += c;
            continue;
        }
        constexpr auto nibble = 4U;
        constexpr auto low = 0xfU;
        out += '%';
        out += hex_digits[n >> nibble];
        out += hex_digits[n & low];
    }
    return out;
}

auto unescape(std::string_view text) -> std::optional<std::string>
{
    auto out = std::string{};
    for (auto i = std::size_t{0}; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            out += text[i];
            continue;
        }
        if (i + 2 >= text.size())
        {
            return std::nullopt;
        }
        auto const high = hex_digits.find(text[i + 1]);
        auto const low = hex_digits.find(text[i + 2]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        constexpr auto base = 16U;
        out += static_cast<char>(high * base + low);
        i += 2;
    }
    return out;
}

auto first_line(std::string_view head) -> std::string_view
{
    return head.substr(0, head.find("\r\n"));
}

} // namespace

auto to_string(tunnel_refusal it) -> std::string_view
{
    switch (it)
    {
    case tunnel_refusal::not_listed:
        return "not_listed";
    case tunnel_refusal::no_capacity:
        return "no_capacity";
    case tunnel_refusal::target_refused:
        return "target_refused";
    case tunnel_refusal::target_timed_out:
        return "target_timed_out";
    case tunnel_refusal::helper_unreachable:
        return "helper_unreachable";
    case tunnel_refusal::no_answer:
        return "no_answer";
    }
    return "unknown";
}

auto write_connect(target_id const& target, bool leased) -> std::string
{
    return std::string{method} + escape(target.value()) + ' ' +
           std::string{version} + "\r\n" +
           std::string{leased ? lease_line : ""} + "\r\n";
}

auto names_lease(std::string_view head) -> bool
{
    return head.find("\r\n" + std::string{lease_line}) !=
           std::string_view::npos;
}

auto read_connect(std::string_view head) -> std::optional<target_id>
{
    auto line = first_line(head);
    if (!line.starts_with(method))
    {
        return std::nullopt;
    }
    line.remove_prefix(method.size());
    auto const n = line.find(' ');
    if (n == 0 || n == std::string_view::npos || line.substr(n + 1) != version)
    {
        return std::nullopt;
    }
    auto id = unescape(line.substr(0, n));
    return id ? std::optional{target_id{std::move(*id)}} : std::nullopt;
}

auto write_connect_answer(std::optional<tunnel_refusal> const& it, bool leased)
    -> std::string
{
    auto status = ok;
    if (it)
    {
        constexpr auto failed = 500;
        auto const* const found =
            std::find_if(refusals.begin(), refusals.end(),
                         [&](auto const& each) { return each.second == *it; });
        status = found == refusals.end() ? failed : found->first;
    }
    return std::string{version} + ' ' + std::to_string(status) + ' ' +
           std::string{reason_phrase(status)} + "\r\n" +
           std::string{leased ? lease_line : ""} + "\r\n";
}

auto read_connect_answer(std::string_view head) -> std::optional<tunnel_refusal>
{
    auto line = first_line(head);
    if (!line.starts_with(version) || line.size() <= version.size())
    {
        return tunnel_refusal::helper_unreachable;
    }
    line.remove_prefix(version.size() + 1);
    auto const status = parse_number<int>(line.substr(0, line.find(' ')));
    if (status == ok)
    {
        return std::nullopt;
    }
    auto const* const found =
        std::find_if(refusals.begin(), refusals.end(),
                     [&](auto const& each) { return each.first == status; });
    return found == refusals.end() ? tunnel_refusal::helper_unreachable
                                   : found->second;
}

auto write_frame_head(std::size_t n) -> std::string
{
    constexpr auto byte = 8U;
    auto out = std::string(frame_head_bytes, '\0');
    for (auto i = frame_head_bytes; i > 0; --i)
    {
        out[i - 1] = static_cast<char>(n & 0xffU);
        n >>= byte;
    }
    return out;
}

auto write_frames(std::string_view bytes) -> std::string
{
    auto out = std::string{};
    while (!bytes.empty())
    {
        auto const n = std::min(bytes.size(), max_frame_bytes);
        out += write_frame_head(n);
        out += bytes.substr(0, n);
        bytes.remove_prefix(n);
    }
    return out;
}

auto write_renewal() -> std::string
{
    return write_frame_head(renewal_length);
}

auto frame_decoder::feed(std::string_view bytes) -> progress
{
    auto out = progress{};
    while (!bytes.empty() && !malformed_)
    {
        if (ended_)
        {
            malformed_ = true;
            break;
        }
        if (left_ > 0)
        {
            auto const n = std::min(left_, bytes.size());
            out.bytes += bytes.substr(0, n);
            bytes.remove_prefix(n);
            left_ -= n;
            continue;
        }
        auto const n = std::min(frame_head_bytes - head_.size(), bytes.size());
        head_ += bytes.substr(0, n);
        bytes.remove_prefix(n);
        if (head_.size() < frame_head_bytes)
        {
            break;
        }
        constexpr auto byte = 8U;
        for (auto const c : std::exchange(head_, {}))
        {
            left_ = left_ << byte | static_cast<unsigned char>(c);
        }
        if (leased_ && left_ == renewal_length)
        {
            out.renewed = true;
            left_ = 0;
            continue;
        }
        ended_ = left_ == 0;
        malformed_ = left_ > max_frame_bytes;
    }
    out.ended = ended_;
    out.malformed = malformed_;
    return out;
}

} // namespace primrosedeal::http1
