#pragma once

#include "load/options.hpp"
#include "load/report.hpp"

/// An open-loop load driver: calls leave at their planned times whatever the
/// system does, and every answer is compared with the reference.
namespace primrosedeal::load
{

/// Runs the whole load on a loop of its own and returns when every call is
/// over. Throws std::invalid_argument on options without hosts or keys.
/// net::initialise_process must have run.
auto run(load_options const& options) -> load_report;

} // namespace primrosedeal::load
