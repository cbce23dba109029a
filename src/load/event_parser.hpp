#pragma once

#include <functional>
#include <string>
#include <string_view>

/// Server-sent events from bytes that arrive in pieces.
namespace primrosedeal::load
{

struct server_event
{
    std::string type;
    std::string id;
    std::string data;
};

class event_parser
{
public:
    /// Takes the next bytes; runs `on_event` for each event they complete.
    void take(std::string_view bytes,
              std::function<void(server_event const&)> const& on_event);

private:
    void take_line(std::string_view line);

    std::string buffer_;
    server_event current_;
};

} // namespace primrosedeal::load
