#include "membership/proof.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

// A proof is the HMAC-SHA256 of role, host and nonce in hexadecimal. The client
// chooses the nonce, so an eavesdropped client proof can be replayed but a
// server proof cannot. Neither reveals the secret.
namespace primrosedeal::membership
{

namespace
{

auto to_hex(unsigned char const* bytes, std::size_t n) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    constexpr auto low = 15U;
    auto out = std::string{};
    for (auto at = std::size_t{0}; at < n; ++at)
    {
        out.push_back(digits[bytes[at] >> 4U]);
        out.push_back(digits[bytes[at] & low]);
    }
    return out;
}

} // namespace

auto make_nonce() -> std::string
{
    constexpr auto nonce_bytes = std::size_t{16};
    auto bytes = std::array<unsigned char, nonce_bytes>{};
    if (RAND_bytes(bytes.data(), nonce_bytes) != 1)
    {
        throw std::runtime_error("cannot generate a random connection nonce");
    }
    return to_hex(bytes.data(), bytes.size());
}

auto make_proof(std::string_view secret, std::string_view role,
                std::string_view host, std::string_view nonce) -> std::string
{
    auto text = std::string{role};
    text.append("\n").append(host).append("\n").append(nonce);
    auto out = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto n = 0U;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto const* data = reinterpret_cast<unsigned char const*>(text.data());
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data,
         text.size(), out.data(), &n);
    return to_hex(out.data(), n);
}

auto same_proof(std::string_view a, std::string_view b) -> bool
{
    return !a.empty() && a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace primrosedeal::membership
