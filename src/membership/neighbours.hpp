#pragma once

#include "membership/record.hpp"

#include <set>
#include <vector>

/// Whom a host keeps a link with.
namespace primrosedeal::membership
{

/// Hosts next to `self` on two rings of its failure domain and two rings of
/// all hosts: at most eight, however large the fleet. Hosts with the same
/// view agree on their links. O(hosts).
auto neighbours_of(member const& self, std::vector<member> const& others)
    -> std::set<host_id>;

} // namespace primrosedeal::membership
