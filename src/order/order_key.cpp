#include "order/order_key.hpp"

#include "core/parse_number.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

// The digest is HMAC-SHA256, truncated to 128 bits, over the ticket's other
// fields followed by the organisation. The input is unambiguous: neither a host
// name nor a number contains the separator '~', and the organisation is last.

namespace primrosedeal::order
{
namespace
{

constexpr auto separator = '~';
constexpr auto prefix = std::string_view{"t1~"};
constexpr std::size_t field_count = 6;
constexpr std::size_t digest_bytes = 16;

auto to_hex(unsigned char const* bytes, std::size_t n) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    for (std::size_t i = 0; i < n; ++i)
    {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

auto digest_of(std::string_view signed_part,
               organisation_id const& organisation, ticket_secret const& secret)
    -> std::string
{
    auto data = std::string{signed_part};
    data += separator;
    data += organisation.value();
    auto full = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto size = 0U;
    auto const* done =
        HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
             reinterpret_cast<unsigned char const*>(data.data()), data.size(),
             full.data(), &size);
    if (done == nullptr)
    {
        throw std::runtime_error("ticket digest: HMAC-SHA256 failed");
    }
    return to_hex(full.data(), digest_bytes);
}

auto split(std::string_view text) -> std::vector<std::string_view>
{
    auto fields = std::vector<std::string_view>{};
    while (fields.size() <= field_count)
    {
        auto const end = text.find(separator);
        fields.push_back(text.substr(0, end));
        if (end == std::string_view::npos)
        {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return fields;
}

auto is_key_character(char c) -> bool
{
    return c > ' ' && c < '\x7f';
}

} // namespace

auto format_ticket(ticket const& it, organisation_id const& organisation,
                   ticket_secret const& secret) -> std::string
{
    auto text = std::string{prefix};
    text += it.owner.host.value();
    text += separator;
    text += std::to_string(it.owner.start.value());
    text += separator;
    text += std::to_string(it.serial.value());
    text += separator;
    text += std::to_string(it.expires.time_since_epoch().count());
    auto const digest = digest_of(text, organisation, secret);
    text += separator;
    text += digest;
    return text;
}

auto has_ticket_prefix(std::string_view key) -> bool
{
    return key.starts_with(prefix);
}

auto parse_ticket(std::string_view key) -> std::optional<ticket>
{
    if (key.size() > max_key_bytes || !has_ticket_prefix(key) ||
        !std::all_of(key.begin(), key.end(), is_key_character))
    {
        return std::nullopt;
    }
    auto const fields = split(key);
    if (fields.size() != field_count || fields[1].empty() ||
        fields[5].size() != 2 * digest_bytes)
    {
        return std::nullopt;
    }
    auto const start = parse_number<std::uint64_t>(fields[2]);
    auto const serial = parse_number<std::uint64_t>(fields[3]);
    auto const expiry = parse_number<std::int64_t>(fields[4]);
    if (!start || !serial || !expiry)
    {
        return std::nullopt;
    }
    return ticket{
        process_id{host_id{std::string{fields[1]}}, incarnation{*start}},
        ticket_serial{*serial}, wall_time{std::chrono::seconds{*expiry}}};
}

auto is_authentic(idempotency_key const& key, ticket const& parsed,
                  ticket_secret const& secret) -> bool
{
    auto const expected = format_ticket(parsed, key.organisation, secret);
    return expected.size() == key.text.size() &&
           CRYPTO_memcmp(expected.data(), key.text.data(), expected.size()) ==
               0;
}

auto is_valid_chosen_key(std::string_view key) -> bool
{
    return !key.empty() && key.size() <= max_key_bytes &&
           !has_ticket_prefix(key) &&
           std::all_of(key.begin(), key.end(), is_key_character);
}

} // namespace primrosedeal::order
