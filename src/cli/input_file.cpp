#include "cli/input_file.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace primrosedeal::cli
{

auto read_file(std::string const& name) -> declare::input_file
{
    auto in = std::ifstream{name, std::ios::binary};
    if (!in)
    {
        throw std::invalid_argument{name + ":1: a readable file was expected"};
    }
    auto text = std::ostringstream{};
    text << in.rdbuf();
    return {name, text.str()};
}

} // namespace primrosedeal::cli
