#include "net/http_message.hpp"

#include <arpa/inet.h>
#include <strings.h>

#include <algorithm>
#include <charconv>

namespace primrosedeal::net
{

auto to_string(endpoint const& it) -> std::string
{
    return it.address + ":" + std::to_string(it.port);
}

auto parse_endpoint(std::string_view text) -> std::optional<endpoint>
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto it = endpoint{std::string{text.substr(0, colon)}, 0};
    auto const digits = text.substr(colon + 1);
    auto const* const last = digits.data() + digits.size();
    auto const [end, ec] = std::from_chars(digits.data(), last, it.port);
    auto parsed = in_addr{};
    auto const valid = ec == std::errc{} && end == last &&
                       inet_pton(AF_INET, it.address.c_str(), &parsed) == 1;
    return valid ? std::optional{it} : std::nullopt;
}

auto find_header(std::vector<http_header> const& headers, std::string_view name)
    -> std::optional<std::string_view>
{
    auto const same_name = [&](http_header const& it)
    {
        return it.name.size() == name.size() &&
               strncasecmp(it.name.data(), name.data(), name.size()) == 0;
    };
    auto const it = std::find_if(headers.begin(), headers.end(), same_name);
    return it == headers.end() ? std::nullopt
                               : std::optional<std::string_view>{it->value};
}

} // namespace primrosedeal::net
