#include "load/event_parser.hpp"

#include <utility>

// Lines are cut at line feeds; a carriage return before one is dropped. An
// event ends with an empty line.
namespace primrosedeal::load
{

void event_parser::take(
    std::string_view bytes,
    std::function<void(server_event const&)> const& on_event)
{
    buffer_.append(bytes);
    auto begin = std::size_t{0};
    for (auto end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', begin))
    {
        auto line = std::string_view{buffer_}.substr(begin, end - begin);
        begin = end + 1;
        if (line.ends_with('\r'))
        {
            line.remove_suffix(1);
        }
        if (!line.empty())
        {
            take_line(line);
        }
        else if (!current_.data.empty())
        {
            on_event(std::exchange(current_, {}));
        }
    }
    buffer_.erase(0, begin);
}

void event_parser::take_line(std::string_view line)
{
    auto const colon = line.find(':');
    auto const name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view{}
                                                 : line.substr(colon + 1);
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    if (name == "event")
    {
        current_.type = value;
    }
    else if (name == "id")
    {
        current_.id = value;
    }
    else if (name == "data")
    {
        current_.data.append(current_.data.empty() ? "" : "\n").append(value);
    }
}

} // namespace primrosedeal::load
