#pragma once

#include "core/units.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

/// Stand-ins that answer from a little state: the plain service, the host
/// list and the weight store. No socket, no clock.
namespace primrosedeal::standins
{

/// Counts how often each order ran, by `X-Call-Id`; look-ups are GET;
/// `GET /executions` tells the counts.
class plain_service
{
public:
    auto answer(net::server_request const& it) -> net::http_response;

    [[nodiscard]] auto executions() const
        -> std::map<std::string, std::uint64_t> const&
    {
        return executions_;
    }

private:
    std::map<std::string, std::uint64_t> executions_;
};

/// The list of hosts as it was `lag` ago; `POST /hosts` sets the JSON text.
class host_list
{
public:
    host_list(duration lag, std::string text)
        : lag_(lag), history_{{time_point{}, std::move(text)}}
    {
    }

    auto answer(net::server_request const& it, time_point now)
        -> net::http_response;

private:
    struct version
    {
        time_point since;
        std::string text;
    };

    duration lag_;
    std::deque<version> history_;
};

/// Gives so many loads a second, with bursts of as many.
class weight_store
{
public:
    explicit weight_store(double per_second)
        : per_second_(per_second), available_(per_second)
    {
    }

    auto answer(net::server_request const& it, time_point now)
        -> net::http_response;

private:
    double per_second_;
    double available_;
    time_point last_;
};

} // namespace primrosedeal::standins
