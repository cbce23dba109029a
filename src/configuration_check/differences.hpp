#pragma once

#include "configuration_check/check.hpp"
#include "routes/configuration.hpp"

#include <string>
#include <vector>

/// Tells what a configuration changes of the one in force.
///
/// Load pattern: as of `check`. Routes are told apart by host and prefix,
/// services and organisations by their names; the order does not count. Keys
/// are compared and counted, and appear in no text.
namespace primrosedeal::configuration_check
{

enum class change
{
    added,
    removed,
    changed,
};

auto to_string(change it) -> std::string_view;

struct difference
{
    change what = change::changed;
    /// The entry, as its kind and name.
    std::string entry;
    /// Members that differ, of one that was changed.
    std::vector<std::string> members = {};
};

struct comparison
{
    std::vector<difference> differences;
    /// The version is not above that in force, which hosts do not take.
    std::optional<finding> version;
};

auto compare(routes::configuration const& in_force,
             routes::configuration const& next) -> comparison;

} // namespace primrosedeal::configuration_check
