#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <map>
#include <string>
#include <vector>

/// Where a revision is in force: accepted is what the key-value service
/// holds, in force is what a host serves by.
namespace primrosedeal::declare
{

/// What one host's operators' port says, or that it can't be reached.
struct host_status
{
    host_id host;
    domain_id domain;
    revision number;
    bool reachable = false;
};

struct domain_report
{
    std::vector<host_id> in_force;
    /// Reachable, but still on an older revision.
    std::vector<host_id> behind;
    /// Can't be reached, so nothing is known of them.
    std::vector<host_id> cut_off;
};

struct force_report
{
    revision number;
    std::map<domain_id, domain_report> domains;
};

/// A later revision counts too: it holds all that `number` does, or what
/// others accepted in its place.
auto report_force(revision number, std::vector<host_status> const& hosts)
    -> force_report;

/// In force on every host, none cut off.
auto everywhere(force_report const& it) -> bool;
/// In force on every host that can be reached, and there is one.
auto on_all_reachable(force_report const& it) -> bool;

/// One line per failure domain.
auto to_text(force_report const& it) -> std::string;
auto to_json(force_report const& it) -> std::string;

} // namespace primrosedeal::declare
