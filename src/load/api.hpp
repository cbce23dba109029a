#pragma once

#include "load/options.hpp"
#include "net/http_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

/// Small parts of the callers' interface, as its users write them.
namespace primrosedeal::load
{

auto post(std::string path, std::string const& key, std::string body)
    -> net::http_request;
auto get(std::string path, std::string const& key) -> net::http_request;

/// The stable reason in an error body, or the status if there is none.
auto refusal_reason(std::string_view body, int status) -> std::string;

/// The verdict in an error body; `may_have_run` if there is none.
auto refusal_verdict(std::string_view body) -> std::string;

/// Wait before the reconnect number `n`, from 1 up.
auto retry_delay(load_options const& options, std::uint32_t n) -> duration;

} // namespace primrosedeal::load
