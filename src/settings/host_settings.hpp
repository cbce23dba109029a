#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <vector>

/// What one entry host is told by its own settings file. Everything that
/// holds for the whole fleet is in the configuration instead.
namespace primrosedeal::settings
{

struct host_settings
{
    host_id host;
    domain_id domain;

    net::endpoint listen_callers;
    net::endpoint listen_operators;
    net::endpoint listen_peers;

    std::vector<net::endpoint> seeds;
    std::string peer_secret;
    std::string operator_secret;

    net::endpoint key_value;
    net::endpoint host_list;
    std::optional<net::endpoint> weight_store;

    std::size_t max_body_bytes = 0;
    std::size_t max_header_bytes = 0;
    std::size_t max_open_requests = 0;
    std::size_t caller_buffer_bytes = 0;
    duration receive_timeout{0};
    duration send_timeout{0};

    /// After SIGTERM: not ready, but still serving new connections.
    duration readiness_grace{0};
    /// Then: time for what is in flight.
    duration longest_drain{0};
};

/// Reads and checks `file`. Throws settings_error.
auto load_host_settings(std::string const& file) -> host_settings;

} // namespace primrosedeal::settings
