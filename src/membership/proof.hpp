#pragma once

#include <string>
#include <string_view>

/// Proofs that a host holds the fleet's secret, without sending it.
namespace primrosedeal::membership
{

/// Random text for one connection. Throws std::runtime_error if the system
/// gives no randomness.
auto make_nonce() -> std::string;

/// `role` keeps a client's proof from serving as a server's.
auto make_proof(std::string_view secret, std::string_view role,
                std::string_view host, std::string_view nonce) -> std::string;

/// Takes the same time wherever the texts differ. False if either is empty.
auto same_proof(std::string_view a, std::string_view b) -> bool;

} // namespace primrosedeal::membership
