#pragma once

#include "settings/host_settings.hpp"

/// The `serve` subcommand: one entry host.
namespace primrosedeal::serve
{

/// Runs until a graceful shutdown (SIGTERM or SIGINT) is complete. Returns
/// the process's exit code: 0 after a complete drain, 4 if requests were
/// still open when `longest_drain` had passed. Throws std::runtime_error if a
/// port cannot be opened.
auto run_host(settings::host_settings const& settings) -> int;

} // namespace primrosedeal::serve
