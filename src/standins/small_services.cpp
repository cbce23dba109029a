#include "standins/small_services.hpp"

#include "standins/faulty_server.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

// An order counts as run as soon as it arrives; faults that lose the answer
// come after that, in faulty_server.
namespace primrosedeal::standins
{

namespace
{

using net::http_method;
using nlohmann::json;

constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;
constexpr auto too_many_requests = 429;

} // namespace

auto plain_service::answer(net::server_request const& it) -> net::http_response
{
    if (it.method == http_method::get)
    {
        if (it.path == "/executions")
        {
            return json_response(ok, json(executions_).dump());
        }
        return json_response(ok, json{{"path", it.path}}.dump());
    }
    auto const id = net::find_header(it.headers, "X-Call-Id");
    if (!id)
    {
        return json_response(bad_request, R"({"error":"no X-Call-Id"})");
    }
    ++executions_[std::string{*id}];
    return json_response(ok, json{{"done", true}, {"call", *id}}.dump());
}

auto host_list::answer(net::server_request const& it, time_point now)
    -> net::http_response
{
    if (it.path != "/hosts")
    {
        return json_response(not_found, "{}");
    }
    if (it.method == http_method::post)
    {
        history_.push_back({now, it.body});
        return json_response(ok, "{}");
    }
    while (history_.size() > 1 && history_[1].since + lag_ <= now)
    {
        history_.pop_front();
    }
    return json_response(ok, history_.front().text);
}

auto weight_store::answer(net::server_request const& it, time_point now)
    -> net::http_response
{
    if (it.path != "/weights")
    {
        return json_response(not_found, "{}");
    }
    auto const passed = to_seconds(now - last_);
    available_ = std::min(per_second_, available_ + passed * per_second_);
    last_ = now;
    if (available_ >= 1)
    {
        available_ -= 1;
        return json_response(ok, "{}");
    }
    auto const wait = std::ceil((1 - available_) / per_second_);
    auto response = json_response(too_many_requests, "{}");
    response.headers.push_back(
        {"Retry-After", std::to_string(static_cast<int>(wait))});
    return response;
}

} // namespace primrosedeal::standins
