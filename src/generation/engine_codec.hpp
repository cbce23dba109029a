#pragma once

#include "generation/model.hpp"

#include <string>
#include <string_view>
#include <variant>

/// The engine's wire format: one JSON request, server-sent events back.
/// docs/design/engine-protocol.md describes it; another engine protocol is
/// another pair of these functions.
namespace primrosedeal::generation
{

/// Body of `POST /generate` for one attempt of `what`.
auto encode_generate(spec const& what, action::start_attempt const& attempt)
    -> std::string;

/// An event that is not what the protocol says, with the reason.
struct bad_event
{
    std::string text;
};

using engine_event =
    std::variant<event::chunk, event::attempt_finished, bad_event>;

/// Decodes the data of one server-sent event. An event that names another
/// request or attempt is a `bad_event`: a crossed answer.
auto decode_event(std::string_view data, request_id const& request,
                  attempt_id attempt) -> engine_event;

/// Splits a byte stream into the `data:` parts of server-sent events.
class event_splitter
{
public:
    /// An event longer than this breaks the stream.
    static constexpr auto max_event_bytes = std::size_t{1} << 20U;

    /// Calls `on_data(std::string_view)` for each complete event. False once
    /// an event is too long; the stream is then useless.
    template <class OnData>
    auto feed(std::string_view bytes, OnData on_data) -> bool
    {
        buffer_.append(bytes);
        auto start = std::size_t{0};
        auto end = buffer_.find("\n\n", start);
        while (end != std::string::npos)
        {
            auto const whole =
                std::string_view{buffer_}.substr(start, end - start);
            if (whole.starts_with(field))
            {
                on_data(whole.substr(field.size()));
            }
            start = end + 2;
            end = buffer_.find("\n\n", start);
        }
        buffer_.erase(0, start);
        return buffer_.size() <= max_event_bytes;
    }

private:
    static constexpr auto field = std::string_view{"data: "};
    std::string buffer_;
};

} // namespace primrosedeal::generation
