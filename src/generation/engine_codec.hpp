#pragma once

#include "generation/model.hpp"

#include <string>
#include <string_view>
#include <variant>

/// The engine's wire format: a JSON request, answered by server-sent events.
/// Specified in docs/design/engine-protocol.md. To support another engine
/// protocol, add another pair of these functions.
namespace primrosedeal::generation
{

/// Body of `POST /generate` for one attempt of `what`.
auto encode_generate(spec const& what, action::start_attempt const& attempt)
    -> std::string;

/// An event that violates the protocol, with a description of the violation.
struct malformed_event
{
    std::string text;
};

using engine_event =
    std::variant<event::chunk, event::attempt_finished, malformed_event>;

/// Decodes the data of one server-sent event. An event of another request or
/// attempt, as after mixed-up responses, is a `malformed_event`.
auto decode_event(std::string_view data, request_id const& request,
                  attempt_id attempt) -> engine_event;

/// Splits a byte stream into the `data:` parts of server-sent events.
class event_splitter
{
public:
    /// Maximum length of one event; a longer one makes `feed` fail.
    static constexpr auto max_event_bytes = std::size_t{1} << 20U;

    /// Calls `on_data(std::string_view)` for each complete event. Returns false
    /// if an event is too long; the stream cannot be used any further then.
    template <class OnData>
    auto feed(std::string_view bytes, OnData on_data) -> bool
    {
        buffer_.append(bytes);
        auto start = std::size_t{0};
        auto end = buffer_.find("\n\n", start);
        while (end != std::string::npos)
        {
            auto const event_text =
                std::string_view{buffer_}.substr(start, end - start);
            if (event_text.starts_with(data_prefix))
            {
                on_data(event_text.substr(data_prefix.size()));
            }
            start = end + 2;
            end = buffer_.find("\n\n", start);
        }
        buffer_.erase(0, start);
        return buffer_.size() <= max_event_bytes;
    }

private:
    static constexpr auto data_prefix = std::string_view{"data: "};
    std::string buffer_;
};

} // namespace primrosedeal::generation
