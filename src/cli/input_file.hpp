#pragma once

#include "declare/commands.hpp"

#include <string>

/// Files that commands read.
namespace primrosedeal::cli
{

/// Throws std::invalid_argument if `name` cannot be read.
auto read_file(std::string const& name) -> declare::input_file;

} // namespace primrosedeal::cli
