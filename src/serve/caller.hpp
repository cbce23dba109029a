#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_server.hpp"
#include "serve/messages.hpp"

#include <memory>

/// Who asks, and what holds for them.
namespace primrosedeal::serve
{

/// A request of a known organisation.
struct caller_request
{
    net::server_request http;
    std::shared_ptr<net::responder> answer;
    organisation_id organisation;
    std::shared_ptr<configuration_view const> configuration;
    time_point arrived{};
};

/// The organisation that the bearer key of `it` belongs to. Throws
/// request_error (unauthenticated, not_run) for a missing or unknown key.
auto authenticate(net::server_request const& it,
                  configuration_view const& configuration) -> organisation_id;

} // namespace primrosedeal::serve
