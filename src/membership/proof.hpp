#pragma once

#include <string>
#include <string_view>

/// Proofs of possession of the fleet's shared secret (HMAC over a nonce).
namespace primrosedeal::membership
{

/// Returns a random nonce for one connection. Throws std::runtime_error if the
/// system's random generator fails.
auto make_nonce() -> std::string;

/// Computes the proof of `host`. `role` prevents a client's proof from being
/// replayed as a server's.
auto make_proof(std::string_view secret, std::string_view role,
                std::string_view host, std::string_view nonce) -> std::string;

/// Compares two proofs in constant time. Returns false if either is empty.
auto same_proof(std::string_view a, std::string_view b) -> bool;

} // namespace primrosedeal::membership
