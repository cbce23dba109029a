#pragma once

#include "membership/record.hpp"

#include <set>
#include <vector>

/// Selection of the hosts that a host keeps links to.
namespace primrosedeal::membership
{

/// Returns the neighbours of `self` on two rings of its failure domain and on
/// two rings of all hosts: at most eight, whatever the size of the fleet. Hosts
/// with the same view select the same links. O(hosts).
auto neighbours_of(member const& self, std::vector<member> const& others)
    -> std::set<host_id>;

} // namespace primrosedeal::membership
