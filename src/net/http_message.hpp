#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as plain values, between the adapters and libevent.
namespace primrosedeal::net
{

/// A TCP address by IP number, as settings give it: `127.0.0.1:8080`.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator==(endpoint const&, endpoint const&) -> bool = default;
    // clang-tidy 14 takes the defaulted comparison with 0 for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

auto to_string(endpoint const& it) -> std::string;

/// Nothing if `text` is not `IPV4:PORT`.
auto parse_endpoint(std::string_view text) -> std::optional<endpoint>;

struct http_header
{
    std::string name;
    std::string value;
};

enum class http_method
{
    get,
    post,
    put,
    remove,
};

struct http_request
{
    http_method method = http_method::get;
    std::string path;
    std::vector<http_header> headers;
    std::string body;
};

struct http_response
{
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

/// Value of the first header called `name` (any case), or nothing.
auto find_header(std::vector<http_header> const& headers, std::string_view name)
    -> std::optional<std::string_view>;

} // namespace primrosedeal::net
