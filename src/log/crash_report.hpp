#pragma once

/// Last line of a process that ends abnormally: `process_failed`, with the
/// exception's text or the number of the fatal signal. Without it, the end can
/// only be inferred from the next `started`.
namespace primrosedeal::log
{

/// Reports fatal signals and uncaught exceptions on descriptor `fd`; each still
/// ends the process as it would have without this call. Call once, early in
/// main.
void install_crash_report(int fd = 1);

} // namespace primrosedeal::log
