#include "net/http_message.hpp"

#include "core/parse_number.hpp"

#include <arpa/inet.h>
#include <strings.h>

#include <algorithm>

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
    auto const port = parse_number<std::uint16_t>(text.substr(colon + 1));
    auto it = endpoint{std::string{text.substr(0, colon)}, port.value_or(0)};
    auto parsed = in_addr{};
    auto const valid =
        port && inet_pton(AF_INET, it.address.c_str(), &parsed) == 1;
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
