#include "external/key_value.hpp"

namespace primrosedeal::external
{

auto prefix_end(std::string prefix) -> std::string
{
    // The next string of the same length; a last byte of 0xff is carried.
    while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff)
    {
        prefix.pop_back();
    }
    if (!prefix.empty())
    {
        prefix.back() = static_cast<char>(prefix.back() + 1);
    }
    return prefix;
}

} // namespace primrosedeal::external
