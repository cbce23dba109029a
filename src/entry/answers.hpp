#pragma once

#include "core/verdict.hpp"
#include "generation/model.hpp"
#include "net/http_message.hpp"

#include <string>

/// What callers read: server-sent events, whole answers and errors.
namespace primrosedeal::entry
{

/// First event of a stream: what a caller brings back to resume elsewhere.
auto start_event(generation::spec const& what, model_version const& version)
    -> std::string;

/// Tokens of one event; its id is the offset of the first of them.
auto token_event(generation::action::relay const& it) -> std::string;

/// Last event, with the token count and the digest over all tokens.
auto end_event(generation::action::finish const& it) -> std::string;

/// The answer to a request that did not ask for a stream.
auto whole_answer(generation::spec const& what, model_version const& version,
                  std::vector<token_id> const& tokens, std::string const& text,
                  generation::action::finish const& end) -> net::http_response;

/// JSON with the stable reason and the verdict; `Retry-After` in whole
/// seconds, at least 1, where `it` says when to come back.
auto error_response(failure const& it) -> net::http_response;

} // namespace primrosedeal::entry
