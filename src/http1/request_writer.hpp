#pragma once

#include "http1/message.hpp"

#include <string>

struct evbuffer;

/// Writes requests to targets.
///
/// Load pattern: many large bodies are sent at once, and targets read slowly.
/// The body is not copied: the buffer refers to the bytes of the request until
/// they are sent.
namespace primrosedeal::http1
{

class request_writer
{
public:
    request_writer() = default;
    /// Sets `Content-Length`; other headers go as they are.
    explicit request_writer(request const& it);

    /// Adds the request to `out`; `framed`: in the frames of a tunnel.
    void write(evbuffer* out, bool framed) const;

private:
    std::string head_;
    body body_;
};

} // namespace primrosedeal::http1
